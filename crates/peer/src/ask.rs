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
pub async fn ask(
    own: &Identity,
    address: SocketAddr,
    question: Body,
    timeout: Duration,
) -> Result<(Identity, Body), FrameError> {
    let exchange = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut framed = Framed::new(stream, PeerCodec::default());
        framed.feed(own.hello()).await?;
        let body = Some(question);
        framed.send(PeerMessage { body }).await?;
        let identity = read_hello(&mut framed).await?;
        let answer = framed.next().await.transpose()?;
        let answer = answer.and_then(|message| message.body);
        let answer = answer.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))?;
        Ok((identity, answer))
    };
    let exchanged = time::timeout(timeout, exchange).await;
    exchanged.unwrap_or_else(|_| Err(io::Error::from(io::ErrorKind::TimedOut).into()))
}
