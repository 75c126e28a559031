//! Server-sent events: encoder, parser, and framer for pass-through.

use std::fmt::Write as _;

use bytes::{Bytes, BytesMut};

/// Largest event that is accepted.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Size from which the buffer of an event has room for the largest one.
const LARGE_EVENT_BYTES: usize = 64 << 10;
/// Most bytes of comments and blank lines between two events.
const MAX_COMMENT_BYTES: usize = 64 << 10;

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
    /// Number of bytes after those consumed that were searched for the end of an event.
    searched: usize,
    /// Bytes of comments and blank lines since the last event.
    comment_bytes: usize,
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
    /// Returns a message if the stream is malformed, or if an event or what is between two
    /// events is too long.
    pub fn next_event(&mut self) -> Result<Option<SseEvent>, String> {
        let unread = &self.buffer[self.consumed..];
        let mut pairs = unread[self.searched..].windows(2);
        let Some(offset) = pairs.position(|pair| pair == b"\n\n") else {
            // The first half of the end may have arrived.
            self.searched = unread.len().saturating_sub(1);
            let too_long = unread.len() > MAX_EVENT_BYTES;
            return if too_long {
                Err("event exceeds the size limit".to_owned())
            } else {
                Ok(None)
            };
        };
        let length = self.searched + offset;
        let text = std::str::from_utf8(&unread[..length]).map_err(|error| error.to_string())?;
        let event = parse_event(text)?;
        self.consumed += length + 2;
        self.searched = 0;
        self.comment_bytes = match event == SseEvent::default() {
            true => self.comment_bytes + length + 2,
            false => 0,
        };
        if self.comment_bytes > MAX_COMMENT_BYTES {
            return Err("comments between events exceed the size limit".to_owned());
        }
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
    /// Start of the last line of the buffer whose end was not found yet.
    line_start: usize,
    /// Number of bytes that were searched for the ends of lines.
    searched: usize,
    /// Bytes of comments and blank lines since the last event.
    comment_bytes: usize,
}

impl EventFramer {
    /// Creates a framer with an empty buffer.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends a chunk of the stream to the buffer.
    pub fn push(&mut self, chunk: &[u8]) {
        let length = self.buffer.len() + chunk.len();
        if length > LARGE_EVENT_BYTES && length > self.buffer.capacity() {
            // A buffer that grows by doubling leaves holes that the allocator keeps.
            let missing = (MAX_EVENT_BYTES + LARGE_EVENT_BYTES).saturating_sub(self.buffer.len());
            self.buffer.reserve(missing.max(chunk.len()));
        }
        self.buffer.extend_from_slice(chunk);
    }

    /// Removes and returns the next complete event, if there is one. Comments and blank lines
    /// that arrived together are returned together.
    pub fn next_event(&mut self) -> Option<RawEvent> {
        let mut end = self.find_event_end(0)?;
        let has_field = has_field(&self.buffer[..end]);
        if !has_field {
            while let Some(next) = self.find_event_end(end)
                && !self::has_field(&self.buffer[end..next])
            {
                end = next;
            }
        }
        let bytes = self.take_bytes(end);
        (self.line_start, self.searched) = (0, 0);
        let id = event_id(&bytes);
        self.comment_bytes = match has_field {
            true => 0,
            false => self.comment_bytes + bytes.len(),
        };
        Some(RawEvent {
            bytes,
            id,
            has_field,
        })
    }

    /// Removes the first bytes of the buffer. Those of a large buffer are copied unless they
    /// need half of it.
    fn take_bytes(&mut self, end: usize) -> Bytes {
        let keeps_large_buffer = self.buffer.capacity() > 2 * end.max(LARGE_EVENT_BYTES);
        let bytes = self.buffer.split_to(end);
        match keeps_large_buffer {
            true => Bytes::copy_from_slice(&bytes),
            false => bytes.freeze(),
        }
    }

    /// Size of the buffer once `added` bytes are appended, at most.
    pub fn buffer_limit(&self, added: usize) -> usize {
        let length = self.buffer.len() + added;
        match length > LARGE_EVENT_BYTES {
            true => length.max(MAX_EVENT_BYTES + LARGE_EVENT_BYTES),
            false => 2 * length,
        }
    }

    /// Moves the buffered bytes to a buffer that takes no more than they need.
    pub fn shrink_buffer(&mut self) {
        self.buffer = BytesMut::from(&self.buffer[..]);
    }

    /// Number of buffered bytes; after the last complete event, those of an incomplete one.
    pub fn incomplete_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the incomplete event, or what came since the last event, is already longer
    /// than the limit.
    pub fn is_too_long(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES || self.comment_bytes > MAX_COMMENT_BYTES
    }

    /// Returns the end of the event at `start`, including the blank line that ends it.
    fn find_event_end(&mut self, start: usize) -> Option<usize> {
        while let Some(offset) = find_newline(&self.buffer[self.searched..]) {
            let end = self.searched + offset;
            let is_blank = matches!(self.buffer[self.line_start..end], [] | [b'\r']);
            let is_first = self.line_start == start;
            self.line_start = end + 1;
            self.searched = end + 1;
            if is_blank && !is_first {
                return Some(end + 1);
            }
        }
        self.searched = self.buffer.len();
        None
    }
}

fn find_newline(bytes: &[u8]) -> Option<usize> {
    bytes.iter().position(|byte| *byte == b'\n')
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
