//! A single request to another node, over a dedicated connection.

use std::{io, net::SocketAddr, time::Duration};

use futures::{SinkExt, StreamExt};
use parsleylatch_wire::{
    FrameError,
    peer::{PeerMessage, peer_message::Body},
};
use tokio::{net::TcpStream, time};
use tokio_util::codec::Framed;

use crate::{
    codec::LinkCodec,
    link::{Identity, read_hello},
};

/// Sends a query to the node at an address, whichever node that is, and returns
/// its identity and its response.
///
/// # Errors
/// Fails if the connection or the exchange fails, or takes longer than `timeout`.
pub async fn send_query(
    own: &Identity,
    address: SocketAddr,
    query: Body,
    timeout: Duration,
) -> Result<(Identity, Body), FrameError> {
    let exchange = async {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut framed = Framed::new(stream, LinkCodec::default());
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
