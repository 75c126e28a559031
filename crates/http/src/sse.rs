//! Server-sent events: writing one, and reading them from a stream of bytes.

use std::fmt::Write as _;

use bytes::Bytes;

/// Longest event that is read.
const EVENT_LIMIT_BYTES: usize = 1 << 20;

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
    read: usize,
}

impl SseReader {
    /// Reader without input.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.buffer.drain(..self.read);
        self.read = 0;
        self.buffer.extend_from_slice(piece);
    }

    /// Takes the next whole event.
    ///
    /// # Errors
    /// A reason, if the stream is not one of events.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, String> {
        let rest = &self.buffer[self.read..];
        let Some(length) = rest.windows(2).position(|pair| pair == b"\n\n") else {
            let too_long = rest.len() > EVENT_LIMIT_BYTES;
            return if too_long {
                Err("event too long".to_owned())
            } else {
                Ok(None)
            };
        };
        let text = std::str::from_utf8(&rest[..length]).map_err(|error| error.to_string())?;
        let event = parse_event(text)?;
        self.read += length + 2;
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
