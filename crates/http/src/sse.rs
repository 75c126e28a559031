//! Server-sent events: encoder, parser, and framer for pass-through.

use std::fmt::Write as _;

use bytes::{Bytes, BytesMut};

/// Largest event that is accepted.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Parsed event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SseEvent {
    /// Id; empty if the event has none.
    pub id: String,
    /// Type; empty if the event has none.
    pub event: String,
    /// Data.
    pub data: String,
}

/// Encodes an event; empty `id` and `event` fields are left out.
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

/// Parses events from a stream that arrives in chunks.
#[derive(Debug, Default)]
pub struct SseReader {
    buffer: Vec<u8>,
    consumed: usize,
}

impl SseReader {
    /// Creates a reader with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a chunk of the stream to the buffer.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        self.buffer.extend_from_slice(chunk);
    }

    /// Removes and returns the next complete event, if there is one.
    ///
    /// # Errors
    /// Returns a message if the stream is malformed or an event is too long.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, String> {
        let unread = &self.buffer[self.consumed..];
        let Some(length) = unread.windows(2).position(|pair| pair == b"\n\n") else {
            let too_long = unread.len() > MAX_EVENT_BYTES;
            return if too_long {
                Err("event exceeds the size limit".to_owned())
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
            .ok_or_else(|| format!("missing `:` in line `{line}`"))?;
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

/// Undecoded event for pass-through.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawEvent {
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// Id, if it is numeric.
    pub id: Option<u64>,
    /// Whether it has a field. Comments and blank lines alone are no event.
    pub has_field: bool,
}

/// Splits a stream of bytes into events without changing them.
#[derive(Debug, Default)]
pub struct EventFramer {
    buffer: BytesMut,
}

impl EventFramer {
    /// Creates a framer with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a chunk of the stream to the buffer.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Removes and returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let end = event_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let id = event_id(&bytes);
        let has_field = has_field(&bytes);
        Some(RawEvent {
            bytes,
            id,
            has_field,
        })
    }

    /// Number of buffered bytes; after the last complete event, those of an incomplete one.
    pub fn incomplete_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the incomplete event is already longer than the limit.
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }
}

/// Returns the length of the first event, including the blank line that ends it.
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

fn has_field(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    let text = std::str::from_utf8(ids.next()?).ok()?;
    text.trim().parse().ok()
}
