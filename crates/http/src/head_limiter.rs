//! Limit on the bytes that a server may send before the head of its response is complete.
//!
//! The HTTP library skips informational responses in a loop for as long as bytes arrive.
//! A server that sends them without end would occupy the thread, so reading fails once
//! the limit is reached.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use tokio::io::{AsyncRead, AsyncWrite};

use crate::read_observer::ReadObserver;

/// Bytes that may arrive before a response head is complete.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Count while no response head is expected.
const NOT_COUNTED: usize = usize::MAX;

/// Number of bytes received in place of a response head, shared with its connection.
#[derive(Clone, Debug)]
pub struct ResponseHeadCount(Arc<AtomicUsize>);

impl ResponseHeadCount {
    /// Starts counting; the next bytes belong to a response head.
    pub fn expect_head(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    /// Stops counting until the next request.
    pub fn head_received(&self) {
        self.0.store(NOT_COUNTED, Ordering::Relaxed);
    }

    fn check(&self) -> io::Result<()> {
        let count = self.0.load(Ordering::Relaxed);
        if count == NOT_COUNTED || count < MAX_HEAD_BYTES {
            return Ok(());
        }
        let error = format!("no response head within {MAX_HEAD_BYTES} bytes");
        Err(io::Error::new(io::ErrorKind::InvalidData, error))
    }

    fn record(&self, bytes: usize) {
        let count = self.0.load(Ordering::Relaxed);
        if count != NOT_COUNTED {
            self.0.store(count + bytes, Ordering::Relaxed);
        }
    }
}

/// Wraps a connection whose response heads are limited; the second value tells it when a
/// head is expected.
pub fn limit_heads<Io>(
    io: Io,
) -> (
    impl AsyncRead + AsyncWrite + Send + Unpin,
    ResponseHeadCount,
)
where
    Io: AsyncRead + AsyncWrite + Send + Unpin,
{
    let count = ResponseHeadCount(Arc::new(AtomicUsize::new(NOT_COUNTED)));
    let (checked, recorded) = (count.clone(), count.clone());
    let observer = ReadObserver::new(
        io,
        move || checked.check(),
        move |bytes| recorded.record(bytes.len()),
    );
    (observer, count)
}
