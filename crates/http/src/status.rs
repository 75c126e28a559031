//! Server for the pages of a process about itself, with bounds on its connections.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use hyper_util::{
    rt::{TokioExecutor, TokioTimer},
    server::conn::auto::Builder,
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{Sleep, sleep},
};
use viz::{Listener, Router};

use crate::listener::{NodelayListener, WRITE_BUFFER_BYTES};

/// Maximum number of connections; further ones wait in the kernel's queue.
const MAX_CONNECTIONS: usize = 64;
/// Time within which a client has to send the head of its first or next request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Serves the pages of a process about itself. Their number of connections is limited, and
/// those without a request are closed after a while.
pub fn serve_status(listener: NodelayListener, router: Router) -> viz::Server<StatusListener> {
    let mut builder = Builder::new(TokioExecutor::new()).http1_only();
    builder
        .http1()
        .max_buf_size(WRITE_BUFFER_BYTES)
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT);
    let listener = StatusListener {
        listener,
        places: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
    };
    viz::Server::with_builder(listener, router, builder)
}

/// Listener of [`serve_status`].
#[derive(Debug)]
pub struct StatusListener {
    listener: NodelayListener,
    places: Arc<Semaphore>,
}

impl Listener for StatusListener {
    type Io = StatusStream;
    type Addr = SocketAddr;

    async fn accept(&self) -> io::Result<(StatusStream, SocketAddr)> {
        let place = Arc::clone(&self.places).acquire_owned().await;
        let place = place.map_err(io::Error::other)?;
        let (stream, peer) = self.listener.accept().await?;
        let first_read = Some(Box::pin(sleep(HEAD_TIMEOUT)));
        let stream = StatusStream {
            stream,
            first_read,
            _place: place,
        };
        Ok((stream, peer))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }
}

/// Connection of [`serve_status`]. The timeout of the HTTP library begins with the first byte,
/// so the wait for that byte has its own.
#[derive(Debug)]
pub struct StatusStream {
    stream: TcpStream,
    first_read: Option<Pin<Box<Sleep>>>,
    _place: OwnedSemaphorePermit,
}

impl AsyncRead for StatusStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_ready() {
            self.first_read = None;
            return read;
        }
        let Some(timeout) = &mut self.first_read else {
            return Poll::Pending;
        };
        let timed_out = || Err(io::ErrorKind::TimedOut.into());
        timeout.as_mut().poll(context).map(|()| timed_out())
    }
}

impl AsyncWrite for StatusStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
