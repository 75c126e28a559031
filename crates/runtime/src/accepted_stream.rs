//! An accepted connection that is closed for another while it rests.

use std::{
    future::Future,
    io,
    mem::MaybeUninit,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use futures::task::AtomicWaker;
use parsleylatch_types::ConnectionNumber;
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Sleep, sleep},
};

use crate::connections::Connections;

/// Time after which a connection fails whose client takes no bytes although some wait.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which a connection fails whose client sends no bytes of a message that it has begun.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// What a connection is doing, shared by its stream and the listener.
#[derive(Debug)]
pub(crate) struct Activity {
    connections: Arc<Connections>,
    number: ConnectionNumber,
    is_closing: AtomicBool,
    /// Whether a part of a message has arrived.
    is_in_message: AtomicBool,
    reader: AtomicWaker,
}

impl Activity {
    pub(crate) fn new(connections: Arc<Connections>, number: ConnectionNumber) -> Self {
        Self {
            connections,
            number,
            is_closing: AtomicBool::new(false),
            is_in_message: AtomicBool::new(false),
            reader: AtomicWaker::new(),
        }
    }

    /// Ends the input of the connection, unless a request arrives meanwhile.
    pub(crate) fn close(&self) {
        self.is_closing.store(true, Ordering::Release);
        self.reader.wake();
    }

    /// Withdraws an order to close.
    pub(crate) fn keep_open(&self) {
        self.is_closing.store(false, Ordering::Release);
    }

    fn begin_use(&self) {
        self.connections.begin_use(self.number);
    }

    fn end_use(&self) {
        self.connections.end_use(self.number);
    }
}

/// Marks the connection of a request as in use until it is dropped.
#[derive(Debug)]
pub struct ConnectionUse(Arc<Activity>);

impl Drop for ConnectionUse {
    fn drop(&mut self) {
        self.0.end_use();
    }
}

/// Marks a connection as in use; obtained from its stream.
#[derive(Clone, Debug)]
pub struct ConnectionHandle(Arc<Activity>);

impl ConnectionHandle {
    /// Marks the connection as in use until the returned value is dropped.
    pub fn begin_use(&self) -> ConnectionUse {
        self.0.begin_use();
        ConnectionUse(Arc::clone(&self.0))
    }

    /// Sets whether a part of a message has arrived. Until the rest is here, the connection is in
    /// use, and it fails if no bytes arrive for too long.
    pub fn set_in_message(&self, is_in_message: bool) {
        let was_in_message = self.0.is_in_message.swap(is_in_message, Ordering::AcqRel);
        match (was_in_message, is_in_message) {
            (false, true) => self.0.begin_use(),
            (true, false) => self.0.end_use(),
            _ => {}
        }
    }
}

/// Stream of an accepted connection. While it rests, its input may end at any time.
#[derive(Debug)]
pub struct AcceptedStream {
    stream: TcpStream,
    activity: Arc<Activity>,
    /// Set while the rest of a message is awaited.
    read_timeout: Option<Pin<Box<Sleep>>>,
    /// Set while bytes wait to be written.
    write_timeout: Option<Pin<Box<Sleep>>>,
}

impl AcceptedStream {
    pub(crate) fn new(stream: TcpStream, activity: Arc<Activity>) -> Self {
        Self {
            stream,
            activity,
            read_timeout: None,
            write_timeout: None,
        }
    }

    /// Sends small writes without delay.
    ///
    /// # Errors
    /// Returns the I/O error of the socket.
    pub fn set_nodelay(&self) -> io::Result<()> {
        self.stream.set_nodelay(true)
    }

    /// Returns the handle that marks the connection as in use.
    pub fn handle(&self) -> ConnectionHandle {
        ConnectionHandle(Arc::clone(&self.activity))
    }

    /// Whether the kernel holds bytes that were not read. The runtime learns of them only when
    /// it polls.
    fn has_unread(&self) -> bool {
        let received = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        received.is_ok_and(|count| count > 0)
    }

    /// Fails if the rest of a message is awaited for too long.
    fn await_message(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if !self.activity.is_in_message.load(Ordering::Acquire) {
            return Poll::Pending;
        }
        let timeout = self
            .read_timeout
            .get_or_insert_with(|| Box::pin(sleep(READ_TIMEOUT)));
        let timed_out = || Err(io::ErrorKind::TimedOut.into());
        timeout.as_mut().poll(context).map(|()| timed_out())
    }

    /// Keeps the connection in use while bytes wait, and fails if they wait for too long.
    fn track_write(
        &mut self,
        context: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            if self.write_timeout.take().is_some() {
                self.activity.end_use();
            }
            return written;
        }
        if self.write_timeout.is_none() {
            self.activity.begin_use();
        }
        let timeout = self
            .write_timeout
            .get_or_insert_with(|| Box::pin(sleep(WRITE_TIMEOUT)));
        let timed_out = || Err(io::ErrorKind::TimedOut.into());
        timeout.as_mut().poll(context).map(|()| timed_out())
    }
}

impl Drop for AcceptedStream {
    fn drop(&mut self) {
        self.activity.connections.remove(self.activity.number);
    }
}

impl AsyncRead for AcceptedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_ready() {
            self.read_timeout = None;
            return read;
        }
        self.activity.reader.register(context.waker());
        match self.activity.is_closing.load(Ordering::Acquire) && !self.has_unread() {
            true => Poll::Ready(Ok(())),
            false => self.await_message(context),
        }
    }
}

impl AsyncWrite for AcceptedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.track_write(context, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.track_write(context, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
