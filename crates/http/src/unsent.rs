//! Bound on the bytes of a request that the kernel holds without having sent them.
//!
//! A response without a length ends with its connection. Whether it is complete depends on
//! whether its request was sent by then, which is known only for what the kernel has not
//! taken yet. Without a bound the kernel takes several megabytes.

use std::io;

use socket2::SockRef;
use tokio::net::TcpStream;

/// Bytes that the kernel takes ahead of sending them (`TCP_NOTSENT_LOWAT`). Most requests fit,
/// so that they are written at once.
const MAX_UNSENT_BYTES: u32 = 32 << 10;

/// Sets the bound on a connection that carries requests.
///
/// # Errors
/// Returns the error of the system call.
pub fn limit_unsent(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES)
}
