//! Accepts connections from other nodes.

use std::{sync::Arc, time::Duration};

use futures::SinkExt;
use parsleylatch_types::ByteCount;
use parsleylatch_wire::{FrameError, MAX_FRAME_SIZE, PeerCodec};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc},
    time,
};
use tokio_util::codec::Framed;

use crate::link::{self, Identity, LinkEvent};

/// Maximum time from accepting a connection to its first message.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest first message of a connection.
const MAX_HELLO_SIZE: ByteCount = ByteCount::new(4 << 10);
/// Delay before accepting again after an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Limits on the connections from other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServeLimits {
    /// Maximum number of connections; further ones wait in the kernel's queue.
    pub connections: usize,
    /// Largest frame and message that is accepted.
    pub frame: ByteCount,
    /// Maximum number of replies that wait on one connection.
    pub replies: usize,
    /// Time after which a connection is closed; none if others keep their connections.
    pub lifetime: Option<Duration>,
}

impl Default for ServeLimits {
    /// Limits of a node to which others may send any message.
    fn default() -> Self {
        Self {
            connections: 1_024,
            frame: MAX_FRAME_SIZE,
            replies: 1_024,
            lifetime: None,
        }
    }
}

/// Serves connections from other nodes until the receiver of `events` is dropped.
pub async fn serve(
    listener: TcpListener,
    own: Identity,
    events: mpsc::Sender<LinkEvent>,
    limits: ServeLimits,
) {
    let places = Arc::new(Semaphore::new(limits.connections));
    while !events.is_closed() {
        // The semaphore is never closed.
        let Ok(place) = Arc::clone(&places).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let serving = serve_connection(stream, own.clone(), events.clone(), limits);
                tokio::spawn(async move {
                    serving.await;
                    drop(place);
                });
            }
            Err(error) => {
                log::warn!("failed to accept a peer connection: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    own: Identity,
    events: mpsc::Sender<LinkEvent>,
    limits: ServeLimits,
) {
    let result = time::timeout(HELLO_TIMEOUT, handshake(stream, &own)).await;
    match result {
        Ok(Ok((mut framed, identity))) => {
            framed.codec_mut().set_limit(limits.frame);
            let (reply_sender, mut queue) = mpsc::channel(limits.replies);
            let peer_id = identity.node_id.clone();
            let running =
                link::run_connection(framed, identity, &mut queue, Some(reply_sender), &events);
            let lifetime = limits.lifetime.unwrap_or(Duration::MAX);
            match time::timeout(lifetime, running).await {
                Ok(error) => log::debug!("connection from {peer_id} closed: {error}"),
                Err(_) => log::debug!("connection from {peer_id} closed after {lifetime:?}"),
            }
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
    let mut framed = Framed::new(stream, PeerCodec::with_limit(MAX_HELLO_SIZE));
    let identity = link::read_hello(&mut framed).await?;
    framed.send(own.hello()).await?;
    Ok((framed, identity))
}
