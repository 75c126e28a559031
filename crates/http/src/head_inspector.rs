//! Detects conflicting body framing in request heads, against request smuggling.
//!
//! A head with both `Content-Length` and `Transfer-Encoding` can hide a second request
//! in its body. The HTTP library silently drops the length, so the inspector checks the
//! raw bytes before the library parses them, and the service rejects the request.
//!
//! The inspector follows the framing by itself, because the bytes of several requests
//! may arrive together. It stops after a request with a chunked body, whose length it
//! does not know; the service closes the connection after such a request.

use std::{cell::RefCell, collections::VecDeque, rc::Rc};

use tokio::io::{AsyncRead, AsyncWrite};

use crate::read_observer::ReadObserver;

/// Maximum number of bytes of a head that are inspected.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Result of the inspection of a connection, shared with its service.
#[derive(Clone, Debug, Default)]
pub struct HeadInspection(Rc<RefCell<InspectionState>>);

/// What the next bytes of a connection belong to.
#[derive(Debug)]
enum Position {
    /// A head, of which these bytes have arrived.
    Head(Vec<u8>),
    /// A body of which this many bytes are missing.
    Body(u64),
    /// Not known: the body is chunked, or the head is invalid or too long.
    Unknown,
}

#[derive(Debug)]
struct InspectionState {
    position: Position,
    /// Heads that the service has not asked for.
    inspected: VecDeque<InspectedHead>,
}

/// Result of the inspection of one head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InspectedHead {
    /// Whether it has both `Content-Length` and `Transfer-Encoding`.
    pub is_ambiguous: bool,
}

impl Default for InspectionState {
    fn default() -> Self {
        Self {
            position: Position::Head(Vec::new()),
            inspected: VecDeque::new(),
        }
    }
}

impl HeadInspection {
    /// Takes the result for the next request; `None` if its head was not inspected.
    pub fn take_head(&self) -> Option<InspectedHead> {
        self.0.borrow_mut().inspected.pop_front()
    }

    /// Whether a head has begun to arrive and is not complete.
    pub fn has_partial_head(&self) -> bool {
        matches!(&self.0.borrow().position, Position::Head(head) if !head.is_empty())
    }

    /// Whether a part of a request's body may be missing.
    pub fn has_partial_body(&self) -> bool {
        matches!(
            self.0.borrow().position,
            Position::Body(_) | Position::Unknown
        )
    }

    fn record(&self, mut bytes: &[u8]) {
        let mut state = self.0.borrow_mut();
        while !bytes.is_empty() {
            bytes = state.advance(bytes);
        }
    }
}

impl InspectionState {
    /// Processes the first bytes; returns the rest.
    fn advance<'bytes>(&mut self, bytes: &'bytes [u8]) -> &'bytes [u8] {
        match &mut self.position {
            Position::Unknown => &[],
            Position::Body(missing) => {
                let taken = bytes
                    .len()
                    .min(usize::try_from(*missing).unwrap_or(usize::MAX));
                *missing -= taken as u64;
                if *missing == 0 {
                    self.position = Position::Head(Vec::new());
                }
                &bytes[taken..]
            }
            Position::Head(head) if head.is_empty() && matches!(bytes[0], b'\r' | b'\n') => {
                &bytes[1..]
            }
            Position::Head(head) => {
                // The end may begin in the bytes that arrived before.
                let known = head.len();
                let searched_from = known.saturating_sub(3);
                head.extend_from_slice(bytes);
                let Some(end) = find_head_end(&head[searched_from..]) else {
                    if head.len() > MAX_HEAD_BYTES {
                        self.position = Position::Unknown;
                    }
                    return &[];
                };
                let end = searched_from + end;
                head.truncate(end);
                let head = std::mem::take(head);
                self.finish_head(&head);
                &bytes[end - known..]
            }
        }
    }

    fn finish_head(&mut self, head: &[u8]) {
        let is_chunked = field_values(head, b"transfer-encoding").next().is_some();
        let mut lengths = field_values(head, b"content-length");
        let length = lengths.next();
        self.inspected.push_back(InspectedHead {
            is_ambiguous: is_chunked && length.is_some(),
        });
        let body = match length {
            _ if is_chunked => None,
            None => Some(0),
            Some(text) => std::str::from_utf8(text)
                .ok()
                .and_then(|it| it.trim().parse().ok()),
        };
        self.position = match body {
            None => Position::Unknown,
            Some(0) => Position::Head(Vec::new()),
            Some(length) => Position::Body(length),
        };
    }
}

/// Length of a head up to and including the blank line that ends it. Either end of a
/// line may lack its carriage return.
fn find_head_end(bytes: &[u8]) -> Option<usize> {
    let ends = bytes.iter().enumerate().filter(|(_, byte)| **byte == b'\n');
    let mut blank_lines = ends.filter_map(|(end, _)| match &bytes[end + 1..] {
        [b'\n', ..] => Some(end + 2),
        [b'\r', b'\n', ..] => Some(end + 3),
        _ => None,
    });
    blank_lines.next()
}

/// Values of the fields of a head with a name.
fn field_values<'head>(
    head: &'head [u8],
    name: &'static [u8],
) -> impl Iterator<Item = &'head [u8]> {
    head.split(|byte| *byte == b'\n').filter_map(move |line| {
        let (start, rest) = line.split_at_checked(name.len())?;
        let rest = rest.trim_ascii_start().strip_prefix(b":")?;
        start.eq_ignore_ascii_case(name).then_some(rest)
    })
}

/// Wraps a connection whose request heads are inspected; the second value gives access to
/// the result.
pub fn inspect_heads<Io>(io: Io) -> (impl AsyncRead + AsyncWrite + Unpin, HeadInspection)
where
    Io: AsyncRead + AsyncWrite + Unpin,
{
    let inspection = HeadInspection::default();
    let recorded = inspection.clone();
    let observer = ReadObserver::new(io, || Ok(()), move |bytes| recorded.record(bytes));
    (observer, inspection)
}
