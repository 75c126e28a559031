//! Connection that shares its thread with others.
//!
//! A task runs for as long as its socket has bytes, and parsing them may take longer than
//! reading them. Here a task yields after a number of bytes, and goes on after the other
//! tasks and after the runtime has polled the sockets.
//!
//! A response without a length ends with its connection. If the peer ends it before the
//! request was sent completely, the peer can't have answered the whole request, so reading
//! fails in place of reporting the end. A response that is framed by a length or by chunks is
//! complete before the end is read.

use std::{
    future::Future,
    io,
    pin::{Pin, pin},
    task::{Context, Poll},
};

use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take},
    task::yield_now,
};

use crate::read_progress::ReadProgress;

/// Bytes that a connection reads before its task yields.
const MAX_TURN_BYTES: u64 = 8 << 10;
/// Same, for a connection that has read [`MAX_TURN_BYTES`] without progress. Parsing such
/// bytes takes many times as long as copying data.
const SMALL_TURN_BYTES: u64 = 1 << 10;

/// Connection that yields between reads, fails without progress, and passes the bytes that
/// were read to a function.
#[derive(Debug)]
pub(crate) struct LimitedReader<Io, Record> {
    /// Its limit is the number of bytes that are left of this turn.
    io: Take<Io>,
    progress: ReadProgress,
    record: Record,
    /// Whether bytes are left to write. Unused if the connection receives requests.
    has_unsent: bool,
}

impl<Io, Record> LimitedReader<Io, Record>
where
    Io: AsyncRead,
    Record: FnMut(&[u8]),
{
    pub(crate) fn new(io: Io, progress: ReadProgress, record: Record) -> Self {
        Self {
            io: io.take(MAX_TURN_BYTES),
            progress,
            record,
            has_unsent: false,
        }
    }

    pub(crate) fn get_ref(&self) -> &Io {
        self.io.get_ref()
    }

    pub(crate) fn progress(&self) -> &ReadProgress {
        &self.progress
    }

    /// Checks the end of what the peer sends.
    fn check_end(&self) -> io::Result<()> {
        if self.has_unsent && self.progress.is_of_responses() {
            let reason = "connection ended before the request was sent completely";
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, reason));
        }
        Ok(())
    }

    fn begin_turn(&mut self) {
        let turn_bytes = match self.progress.bytes_without() < MAX_TURN_BYTES {
            true => MAX_TURN_BYTES,
            false => SMALL_TURN_BYTES,
        };
        self.io.set_limit(turn_bytes);
    }
}

impl<Io, Record> AsyncRead for LimitedReader<Io, Record>
where
    Io: AsyncRead + Unpin,
    Record: FnMut(&[u8]) + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.progress.check()?;
        if self.io.limit() == 0 {
            self.begin_turn();
            // Registers the task to be woken; the future itself isn't needed any more.
            if pin!(yield_now()).poll(context).is_pending() {
                return Poll::Pending;
            }
        }
        let before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        let polled = Pin::new(&mut self.io).poll_read(context, buffer);
        match &polled {
            Poll::Ready(Ok(())) => {
                let read = &buffer.filled()[before..];
                if has_room && read.is_empty() {
                    self.check_end()?;
                }
                self.progress.record(read.len());
                (self.record)(read);
            }
            // The task has nothing to do until more bytes arrive.
            Poll::Pending => self.begin_turn(),
            Poll::Ready(Err(_)) => {}
        }
        polled
    }
}

impl<Io, Record> AsyncWrite for LimitedReader<Io, Record>
where
    Io: AsyncRead + AsyncWrite + Unpin,
    Record: Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.has_unsent = true;
        Pin::new(self.io.get_mut()).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.has_unsent = true;
        Pin::new(self.io.get_mut()).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The HTTP library flushes the connection once its own buffer is empty.
        self.has_unsent = false;
        Pin::new(self.io.get_mut()).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.io.get_mut()).poll_shutdown(context)
    }
}
