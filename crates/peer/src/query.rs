//! One question to another node, on a connection of its own.

use std::{io, net::SocketAddr, time::Duration};

use futures::{SinkExt, StreamExt};
use parsleylatch_wire::{
    FrameError, PeerCodec,
    peer::{PeerMessage, peer_message::Body},
};
use tokio::{net::TcpStream, time};
use tokio_util::codec::Framed;

use crate::link::{Identity, read_hello};

/// Asks whatever node is at an address; returns who it is and its answer.
///
/// # Errors
/// The connection or the exchange failed, or took longer than `timeout`.
pub async fn send_query(
    own: &Identity,
    address: SocketAddr,
    query: Body,
    timeout: Duration,
) -> Result<(Identity, Body), FrameError> {
    let exchange = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut framed = Framed::new(stream, PeerCodec::default());
        framed.feed(own.hello()).await?;
        let body = Some(query);
        framed.send(PeerMessage { body }).await?;
        let identity = read_hello(&mut framed).await?;
        let response = framed.next().await.transpose()?;
        let response = response.and_then(|message| message.body);
        let response = response.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        Ok((identity, response))
    };
    let result = time::timeout(timeout, exchange).await;
    result.unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut).into()))
}
