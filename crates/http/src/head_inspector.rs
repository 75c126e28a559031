//! Detects conflicting body framing in request heads, against request smuggling.
//!
//! A head with both `Content-Length` and `Transfer-Encoding` can hide a second request
//! in its body. The HTTP library silently drops the length, so the inspector checks the
//! raw bytes before the library parses them, and the service rejects the request.

use std::{cell::RefCell, rc::Rc};

use tokio::io::{AsyncRead, AsyncWrite};

use crate::read_observer::ReadObserver;

/// Maximum number of bytes of a head that are inspected.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Result of the inspection of a connection, shared with its service.
#[derive(Clone, Debug, Default)]
pub struct HeadInspection(Rc<RefCell<InspectionState>>);

#[derive(Debug)]
struct InspectionState {
    head: Vec<u8>,
    in_head: bool,
    inspected_heads: u64,
    is_ambiguous: bool,
}

impl Default for InspectionState {
    fn default() -> Self {
        Self {
            head: Vec::new(),
            in_head: true,
            inspected_heads: 0,
            is_ambiguous: false,
        }
    }
}

impl HeadInspection {
    /// Number of heads inspected so far.
    pub fn inspected_heads(&self) -> u64 {
        self.0.borrow().inspected_heads
    }

    /// Whether the last head has both `Content-Length` and `Transfer-Encoding`.
    pub fn is_ambiguous(&self) -> bool {
        self.0.borrow().is_ambiguous
    }

    /// Marks the current request as fully read: the next bytes start a new head.
    pub fn expect_head(&self) {
        let mut state = self.0.borrow_mut();
        state.in_head = true;
        state.head.clear();
    }

    fn record(&self, bytes: &[u8]) {
        let mut state = self.0.borrow_mut();
        if !state.in_head || bytes.is_empty() {
            return;
        }
        state.head.extend_from_slice(bytes);
        let end = find_head_end(&state.head);
        if end.is_none() && state.head.len() < MAX_HEAD_BYTES {
            return;
        }
        let end = end.unwrap_or(state.head.len());
        state.is_ambiguous = has_conflicting_framing(&state.head[..end]);
        state.in_head = false;
        state.inspected_heads += 1;
        state.head = Vec::new();
    }
}

fn find_head_end(bytes: &[u8]) -> Option<usize> {
    let crlf = bytes.windows(4).position(|it| it == b"\r\n\r\n");
    let lf = bytes.windows(2).position(|it| it == b"\n\n");
    crlf.into_iter().chain(lf).min()
}

fn has_conflicting_framing(head: &[u8]) -> bool {
    let has = |name: &[u8]| {
        head.split(|byte| *byte == b'\n').any(|line| {
            line.get(..name.len())
                .is_some_and(|start| start.eq_ignore_ascii_case(name))
        })
    };
    has(b"transfer-encoding") && has(b"content-length")
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
