//! Connection whose reads are checked and observed.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Connection that calls one function before each read, which can make it fail, and
/// another one with the bytes that were read.
#[derive(Debug)]
pub(crate) struct ReadObserver<Io, Check, Record> {
    io: Io,
    check: Check,
    record: Record,
}

impl<Io, Check, Record> ReadObserver<Io, Check, Record>
where
    Check: FnMut() -> io::Result<()>,
    Record: FnMut(&[u8]),
{
    pub(crate) fn new(io: Io, check: Check, record: Record) -> Self {
        Self { io, check, record }
    }
}

impl<Io, Check, Record> AsyncRead for ReadObserver<Io, Check, Record>
where
    Io: AsyncRead + Unpin,
    Check: FnMut() -> io::Result<()> + Unpin,
    Record: FnMut(&[u8]) + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        (self.check)()?;
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.io).poll_read(context, buffer);
        if matches!(polled, Poll::Ready(Ok(()))) {
            (self.record)(&buffer.filled()[before..]);
        }
        polled
    }
}

impl<Io, Check, Record> AsyncWrite for ReadObserver<Io, Check, Record>
where
    Io: AsyncWrite + Unpin,
    Check: Unpin,
    Record: Unpin,
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
