//! Accepts connections from other nodes.

use std::time::Duration;

use futures::SinkExt;
use parsleylatch_wire::{FrameError, PeerCodec};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time,
};
use tokio_util::codec::Framed;

use crate::link::{self, Identity, LinkEvent};

/// Maximum time from accepting a connection to its first message.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before accepting again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Serves connections from other nodes until the receiver of `events` is dropped.
pub async fn serve(listener: TcpListener, own: Identity, events: mpsc::Sender<LinkEvent>) {
    while !events.is_closed() {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve_connection(stream, own.clone(), events.clone()));
            }
            Err(error) => {
                log::warn!("failed to accept a peer connection: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, own: Identity, events: mpsc::Sender<LinkEvent>) {
    let result = time::timeout(HELLO_TIMEOUT, handshake(stream, &own)).await;
    match result {
        Ok(Ok((framed, identity))) => {
            let (reply_sender, mut queue) = link::reply_queue();
            let peer_id = identity.node_id.clone();
            let error =
                link::run_connection(framed, identity, &mut queue, Some(reply_sender), &events)
                    .await;
            log::debug!("connection from {peer_id} closed: {error}");
        }
        Ok(Err(error)) => log::debug!("handshake on an accepted connection failed: {error}"),
        Err(_) => log::debug!("handshake on an accepted connection timed out"),
    }
}

async fn handshake(
    stream: TcpStream,
    own: &Identity,
) -> Result<(Framed<TcpStream, PeerCodec>, Identity), FrameError> {
    stream.set_nodelay(true)?;
    let mut framed = Framed::new(stream, PeerCodec::default());
    let identity = link::read_hello(&mut framed).await?;
    framed.send(own.hello()).await?;
    Ok((framed, identity))
}
