//! Connection that reports whether its caller takes the bytes that are written.

use std::{
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::connection_activity::ConnectionActivity;

/// Connection whose writes and flushes are recorded.
///
/// The HTTP library flushes a connection only when its own write buffer is empty.
pub(crate) struct FlushObserver<Io> {
    io: Io,
    activity: Rc<ConnectionActivity>,
}

impl<Io> FlushObserver<Io> {
    pub(crate) fn new(io: Io, activity: Rc<ConnectionActivity>) -> Self {
        Self { io, activity }
    }

    fn observe(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.activity.record_write(written.is_ready());
        written
    }
}

impl<Io> AsyncRead for FlushObserver<Io>
where
    Io: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl<Io> AsyncWrite for FlushObserver<Io>
where
    Io: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(context, bytes);
        self.observe(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(context, slices);
        self.observe(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.io).poll_flush(context);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.activity.record_flush();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(context)
    }
}
