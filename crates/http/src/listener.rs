//! Listening sockets with `TCP_NODELAY`, and groups of sockets that share one address.

use std::{io, net::SocketAddr};

use hyper_util::{rt::TokioExecutor, server::conn::auto::Builder};
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use viz::{Listener, Router};

/// Length of the queue of connections that are not accepted yet.
const ACCEPT_BACKLOG: i32 = 1_024;

/// Kernel send buffer of a connection; bounds the memory that a client takes up by not
/// reading its response.
const SEND_BUFFER_BYTES: usize = 32 << 10;
/// Kernel receive buffer of a connection; the kernel doubles it for its own data and receives
/// up to 16 KiB that are not read.
const RECEIVE_BUFFER_BYTES: usize = 9 << 10;
/// Write buffer of a connection in the process, bounded for the same reason.
pub(crate) const WRITE_BUFFER_BYTES: usize = 16 << 10;

/// Serves a router on a listener without a limit on connections, for processes whose clients
/// are known; with a bounded buffer for each connection.
pub fn serve(listener: NodelayListener, router: Router) -> viz::Server<NodelayListener> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder.http1().max_buf_size(WRITE_BUFFER_BYTES);
    viz::Server::with_builder(listener, router, builder)
}

/// TCP listener that sets `TCP_NODELAY` on the connections it accepts.
#[derive(Debug)]
pub struct NodelayListener(TcpListener);

impl NodelayListener {
    /// Registers a socket of [`bind_group`] with the current runtime, and bounds what the
    /// kernel receives for its connections.
    ///
    /// # Errors
    /// Returns the I/O error of the registration.
    pub fn from_std(listener: std::net::TcpListener) -> io::Result<Self> {
        // Accepted connections inherit the buffer size of the listener.
        SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        TcpListener::from_std(listener).map(Self)
    }

    /// Accepts the connections that wait in the socket's queue.
    ///
    /// Asks the kernel and not the runtime, which learns of new connections only when it
    /// polls.
    ///
    /// The second value is the last I/O error of a connection, or that which ended the
    /// search. A connection that fails is closed, and the others are returned.
    pub fn accept_waiting(&self) -> (Vec<TcpStream>, Option<io::Error>) {
        let socket = SockRef::from(&self.0);
        let mut waiting = Vec::new();
        let mut failure = None;
        loop {
            match socket.accept() {
                Ok((stream, _)) => match register(stream.into()) {
                    Ok(stream) => waiting.push(stream),
                    Err(error) => failure = Some(error),
                },
                Err(error) => match error.kind() {
                    io::ErrorKind::WouldBlock => return (waiting, failure),
                    io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted => {
                        failure = Some(error);
                    }
                    _ => return (waiting, Some(error)),
                },
            }
        }
    }
}

/// Registers an accepted connection with the current runtime.
fn register(stream: std::net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    stream.set_nodelay(true)?;
    TcpStream::from_std(stream)
}

impl Listener for NodelayListener {
    type Io = TcpStream;
    type Addr = SocketAddr;

    async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        let (stream, peer) = self.0.accept().await?;
        stream.set_nodelay(true)?;
        Ok((stream, peer))
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

/// Binds `count` sockets to the address in a settings field; an error names both.
///
/// # Errors
/// Same as [`bind_group`].
pub fn bind_field(
    field: &str,
    address: SocketAddr,
    count: usize,
) -> io::Result<(SocketAddr, Vec<std::net::TcpListener>)> {
    bind_group(address, count).map_err(|error| {
        io::Error::new(error.kind(), format!("binding {field} {address}: {error}"))
    })
}

/// Binds `count` sockets to one address; the kernel distributes connections among them.
///
/// With port 0, the kernel chooses a port for the whole group.
///
/// # Errors
/// Returns the I/O error of creating, binding or listening.
pub fn bind_group(
    address: SocketAddr,
    count: usize,
) -> io::Result<(SocketAddr, Vec<std::net::TcpListener>)> {
    let first = bind_reuse_port(address)?;
    let bound = first.local_addr()?;
    let others = (1..count).map(|_| bind_reuse_port(bound));
    let listeners = std::iter::once(Ok(first))
        .chain(others)
        .collect::<io::Result<_>>()?;
    Ok((bound, listeners))
}

fn bind_reuse_port(address: SocketAddr) -> io::Result<std::net::TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    // Accepted connections inherit the buffer size of the listener.
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}
