//! Server-sent events: writing one, and reading them from a stream of bytes.

use std::fmt::Write as _;

use bytes::{Bytes, BytesMut};

/// Longest event that is read.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// Id; empty if none was sent.
    pub id: String,
    /// Type; empty if none was sent.
    pub event: String,
    /// Data.
    pub data: String,
}

/// Writes an event; `id` and `event` are left out where they are empty.
pub fn encode_event(id: &str, event: &str, data: &str) -> Bytes {
    let mut text = String::with_capacity(id.len() + event.len() + data.len() + 24);
    if !id.is_empty() {
        let _ = writeln!(text, "id: {id}");
    }
    if !event.is_empty() {
        let _ = writeln!(text, "event: {event}");
    }
    for line in data.split('\n') {
        let _ = writeln!(text, "data: {line}");
    }
    text.push('\n');
    Bytes::from(text)
}

/// Reads events from pieces of a stream.
#[derive(Debug, Default)]
pub struct SseReader {
    buffer: Vec<u8>,
    consumed: usize,
}

impl SseReader {
    /// Reader without input.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a chunk of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        self.buffer.extend_from_slice(chunk);
    }

    /// Takes the next whole event.
    ///
    /// # Errors
    /// A reason, if the stream is not one of events.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, String> {
        let unread = &self.buffer[self.consumed..];
        let Some(length) = unread.windows(2).position(|pair| pair == b"\n\n") else {
            let too_long = unread.len() > MAX_EVENT_BYTES;
            return if too_long {
                Err("event too long".to_owned())
            } else {
                Ok(None)
            };
        };
        let text = std::str::from_utf8(&unread[..length]).map_err(|error| error.to_string())?;
        let event = parse_event(text)?;
        self.consumed += length + 2;
        Ok(Some(event))
    }
}

fn parse_event(text: &str) -> Result<SseEvent, String> {
    let mut event = SseEvent::default();
    let mut has_data = false;
    for line in text
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with(':'))
    {
        let (field, value) = line
            .split_once(':')
            .ok_or_else(|| format!("no field in `{line}`"))?;
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => value.clone_into(&mut event.id),
            "event" => value.clone_into(&mut event.event),
            "data" => {
                if has_data {
                    event.data.push('\n');
                }
                has_data = true;
                event.data.push_str(value);
            }
            "retry" => {}
            _ => return Err(format!("unknown field `{field}`")),
        }
    }
    Ok(event)
}

/// One event of a stream that is passed on as it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawEvent {
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
    /// Its id, if it has a numeric one.
    pub id: Option<u64>,
}

/// Cuts a stream of bytes at the ends of its events, without changing them.
#[derive(Debug, Default)]
pub struct EventFramer {
    buffer: BytesMut,
}

impl EventFramer {
    /// Framer without input.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a chunk of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Takes the next whole event.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let end = event_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(RawEvent { bytes, id })
    }

    /// Bytes of an event that is not whole.
    pub fn incomplete_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether more was read without an end of an event than is allowed.
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

/// Length of the first event with the blank line that ends it.
fn event_end(buffer: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    while let Some(length) = buffer[line_start..].iter().position(|byte| *byte == b'\n') {
        let line = &buffer[line_start..line_start + length];
        let next = line_start + length + 1;
        let is_blank = line.is_empty() || line == b"\r";
        if is_blank && line_start > 0 {
            return Some(next);
        }
        line_start = next;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
