//! Accepts connections from other nodes.
//!
//! At the limit, the connection that has been silent longest is closed for a new one. If all
//! wait for replies or have sent a part of a message, the new one is closed at once, so that its node asks another.

use std::time::Duration;

use futures::SinkExt;
use parsleylatch_runtime::{AcceptedStream, ConnectionEvent, Connections};
use parsleylatch_types::ByteCount;
use parsleylatch_wire::{FrameError, MAX_FRAME_SIZE};
use tokio::{net::TcpListener, sync::mpsc, time};
use tokio_util::codec::Framed;

use crate::{
    codec::LinkCodec,
    link::{self, Identity, LinkEvent, ReplySender},
};

/// Maximum time from accepting a connection to its first message.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest first message of a connection.
const MAX_HELLO_SIZE: ByteCount = ByteCount::new(4 << 10);
/// Name of the listener in the log.
const LISTENER_NAME: &str = "peer";

/// Limits on the connections from other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServeLimits {
    /// Maximum number of connections.
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

/// Serves connections from other nodes until the receiver of `events` is dropped, and reports
/// what happens at the limit to `observe`.
pub async fn serve<Observe>(
    listener: TcpListener,
    own: Identity,
    events: mpsc::Sender<LinkEvent>,
    limits: ServeLimits,
    observe: Observe,
) where
    Observe: Fn(ConnectionEvent) + Send + Sync + 'static,
{
    let connections = Connections::new(LISTENER_NAME, limits.connections, observe);
    while !events.is_closed() {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                connections.recover_accept(error).await;
                continue;
            }
        };
        // A refused connection is closed, which tells its node.
        if let Ok(stream) = connections.admit(stream).await {
            let serving = serve_connection(stream, own.clone(), events.clone(), limits);
            tokio::spawn(serving);
        }
    }
}

async fn serve_connection(
    stream: AcceptedStream,
    own: Identity,
    events: mpsc::Sender<LinkEvent>,
    limits: ServeLimits,
) {
    let handle = stream.handle();
    let result = time::timeout(HELLO_TIMEOUT, handshake(stream, &own)).await;
    match result {
        Ok(Ok((mut framed, identity))) => {
            framed.codec_mut().set_limit(limits.frame);
            let (reply_sender, mut queue) = mpsc::channel(limits.replies);
            let peer_id = identity.node_id.clone();
            let reply = Some(ReplySender::new(reply_sender, handle));
            let running = link::run_connection(framed, identity, &mut queue, reply, &events);
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
    stream: AcceptedStream,
    own: &Identity,
) -> Result<(Framed<AcceptedStream, LinkCodec>, Identity), FrameError> {
    stream.set_nodelay()?;
    let codec = LinkCodec::accepted(MAX_HELLO_SIZE, stream.handle());
    let mut framed = Framed::new(stream, codec);
    let identity = link::read_hello(&mut framed).await?;
    framed.send(own.hello()).await?;
    Ok((framed, identity))
}
