//! Limit on the bytes that a server may send before the head of its response is complete.
//!
//! The HTTP library skips informational responses in a loop for as long as bytes arrive.
//! A server that sends them without end would occupy the thread, so reading fails once
//! the limit is reached.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

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

    fn is_exceeded(&self) -> bool {
        let count = self.0.load(Ordering::Relaxed);
        count != NOT_COUNTED && count >= MAX_HEAD_BYTES
    }

    fn record(&self, bytes: usize) {
        let count = self.0.load(Ordering::Relaxed);
        if count != NOT_COUNTED {
            self.0.store(count + bytes, Ordering::Relaxed);
        }
    }
}

/// Connection that limits the response heads it reads.
#[derive(Debug)]
pub struct HeadLimiter<Io> {
    io: Io,
    count: ResponseHeadCount,
}

impl<Io> HeadLimiter<Io> {
    /// Wraps a connection; the second value tells it when a head is expected.
    pub fn new(io: Io) -> (Self, ResponseHeadCount) {
        let count = ResponseHeadCount(Arc::new(AtomicUsize::new(NOT_COUNTED)));
        let limiter = Self {
            io,
            count: count.clone(),
        };
        (limiter, count)
    }
}

impl<Io> AsyncRead for HeadLimiter<Io>
where
    Io: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.count.is_exceeded() {
            let error = format!("no response head within {MAX_HEAD_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, error)));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.io).poll_read(context, buffer);
        self.count.record(buffer.filled().len() - before);
        polled
    }
}

impl<Io> AsyncWrite for HeadLimiter<Io>
where
    Io: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}
