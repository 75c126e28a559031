//! Listening sockets: without Nagle's delay, and shared by several threads.

use std::{io, net::SocketAddr};

use hyper_util::{rt::TokioExecutor, server::conn::auto::Builder};
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpStream};
use viz::{Listener, Router};

/// Connections that may wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1_024;

/// What the kernel may hold for a caller that reads nothing.
const SEND_BUFFER_BYTES: usize = 32 << 10;
/// What a connection may hold for such a caller.
const WRITE_BUFFER_BYTES: usize = 16 << 10;

/// Serves a router on a listener, with a bounded buffer for each connection.
pub fn serve(listener: NodelayListener, router: Router) -> viz::Server<NodelayListener> {
    let mut builder = Builder::new(TokioExecutor::new());
    builder.http1().max_buf_size(WRITE_BUFFER_BYTES);
    viz::Server::with_builder(listener, router, builder)
}

/// Listener whose connections send small messages at once.
#[derive(Debug)]
pub struct NodelayListener(TcpListener);

impl NodelayListener {
    /// Registers a socket of [`bind_group`] with the current runtime.
    ///
    /// # Errors
    /// The system's reason.
    pub fn from_std(listener: std::net::TcpListener) -> io::Result<Self> {
        TcpListener::from_std(listener).map(Self)
    }
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

/// Binds the sockets of a settings field; an error names the field and its address.
///
/// # Errors
/// As [`bind_group`].
pub fn bind_field(
    field: &str,
    address: SocketAddr,
    count: usize,
) -> io::Result<(SocketAddr, Vec<std::net::TcpListener>)> {
    bind_group(address, count).map_err(|error| {
        io::Error::new(error.kind(), format!("binding {field} {address}: {error}"))
    })
}

/// Binds `count` sockets to one address; the kernel spreads connections over them.
///
/// Port 0 lets the kernel choose the port.
///
/// # Errors
/// The system's reason.
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
    // Connections inherit the size from the listener.
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    Ok(socket.into())
}
