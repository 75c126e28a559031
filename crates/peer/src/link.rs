//! A connection to another node that is reopened when it fails.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use futures::{SinkExt, StreamExt};
use parsleylatch_runtime::{ConnectionHandle, ConnectionUse};
use parsleylatch_types::{FailureDomain, Incarnation, NodeId, Region};
use parsleylatch_wire::{
    FrameError,
    peer::{Hello, PeerMessage, peer_message::Body},
};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    sync::mpsc,
    task::JoinHandle,
    time,
};
use tokio_util::codec::Framed;

use crate::codec::LinkCodec;

/// Capacity of a connection's send queue, in messages.
const SEND_BUFFER: usize = 1_024;
/// Maximum number of messages written between two flushes.
const WRITE_BATCH: usize = 64;
/// Maximum time for connecting and the handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Delay before the first attempt to reconnect; doubled for each further attempt.
const INITIAL_RECONNECT_DELAY: Duration = Duration::from_millis(50);
/// Maximum delay between attempts to reconnect.
const MAX_RECONNECT_DELAY: Duration = Duration::from_secs(1);

/// Identity that a node announces in its first message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Node id.
    pub node_id: NodeId,
    /// Number that distinguishes successive processes of the node.
    pub incarnation: Incarnation,
    /// Failure domain of the node's VM.
    pub failure_domain: FailureDomain,
    /// Region of the node's VM.
    pub region: Region,
}

impl Identity {
    pub(crate) fn hello(&self) -> PeerMessage {
        PeerMessage {
            body: Some(Body::Hello(Hello {
                node_id: self.node_id.to_string(),
                incarnation: self.incarnation.get(),
                failure_domain: self.failure_domain.to_string(),
                region: self.region.to_string(),
            })),
        }
    }

    pub(crate) fn from_hello(hello: &Hello) -> Option<Self> {
        Some(Self {
            node_id: hello.node_id.parse().ok()?,
            incarnation: Incarnation::new(hello.incarnation),
            failure_domain: hello.failure_domain.parse().ok()?,
            region: hello.region.parse().ok()?,
        })
    }
}

/// A message that waits to be written.
#[derive(Debug)]
pub(crate) struct Outgoing {
    message: PeerMessage,
    /// Keeps an accepted connection from giving way until the message has been written.
    in_use: Option<ConnectionUse>,
}

impl Outgoing {
    fn new(body: Body, handle: Option<&ConnectionHandle>) -> Self {
        Self {
            message: PeerMessage { body: Some(body) },
            in_use: handle.map(ConnectionHandle::begin_use),
        }
    }
}

/// Sends replies on the connection that a message was received on.
#[derive(Clone, Debug)]
pub struct ReplySender {
    messages: mpsc::Sender<Outgoing>,
    handle: Option<ConnectionHandle>,
}

impl ReplySender {
    /// Sender of an accepted connection.
    pub(crate) fn new(messages: mpsc::Sender<Outgoing>, handle: ConnectionHandle) -> Self {
        Self {
            messages,
            handle: Some(handle),
        }
    }

    /// Sender of a link that this node opened, on which nothing replies.
    fn closed() -> Self {
        Self {
            messages: mpsc::channel(1).0,
            handle: None,
        }
    }

    /// Queues a reply; `false` if the connection is closed or its queue is full.
    pub fn send(&self, body: Body) -> bool {
        let reply = Outgoing::new(body, self.handle.as_ref());
        self.messages.try_send(reply).is_ok()
    }

    /// Whether both belong to the same connection.
    pub fn is_same_link(&self, other: &Self) -> bool {
        self.messages.same_channel(&other.messages)
    }
}

/// A message received from another node.
#[derive(Clone, Debug)]
pub struct Received {
    /// Sender.
    pub from: Identity,
    /// Message body.
    pub body: Body,
    /// Sends replies to the sender.
    pub reply: ReplySender,
    /// Keeps an accepted connection from giving way until the message has been handled.
    _in_use: Option<Arc<ConnectionUse>>,
}

/// Events on links.
#[derive(Clone, Debug)]
pub enum LinkEvent {
    /// A link opened by this node is connected.
    Up(Identity),
    /// A link opened by this node was disconnected; it is being reconnected.
    Down(NodeId),
    /// A message arrived, on a link opened by either node.
    Received(Box<Received>),
}

/// A link opened by this node, and reconnected until it is dropped.
#[derive(Debug)]
pub struct Link {
    messages: mpsc::Sender<Outgoing>,
    task: JoinHandle<()>,
}

impl Link {
    /// Queues a message; `false` if the queue is full.
    pub fn send(&self, body: Body) -> bool {
        self.messages.try_send(Outgoing::new(body, None)).is_ok()
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Opens a link to a node; connects in the background.
pub fn connect(
    own: Identity,
    peer_id: NodeId,
    address: SocketAddr,
    events: mpsc::Sender<LinkEvent>,
) -> Link {
    let (messages, queue) = mpsc::channel(SEND_BUFFER);
    let connector = Connector {
        own,
        peer_id,
        address,
        events,
    };
    Link {
        messages,
        task: tokio::spawn(connector.run(queue)),
    }
}

struct Connector {
    own: Identity,
    peer_id: NodeId,
    address: SocketAddr,
    events: mpsc::Sender<LinkEvent>,
}

impl Connector {
    async fn run(self, mut queue: mpsc::Receiver<Outgoing>) {
        let mut delay = INITIAL_RECONNECT_DELAY;
        loop {
            match time::timeout(CONNECT_TIMEOUT, self.open_connection()).await {
                Ok(Ok((framed, identity))) => {
                    delay = INITIAL_RECONNECT_DELAY;
                    // Discards messages that were queued for the previous connection.
                    while queue.try_recv().is_ok() {}
                    if self
                        .events
                        .send(LinkEvent::Up(identity.clone()))
                        .await
                        .is_err()
                    {
                        return;
                    }
                    let error =
                        run_connection(framed, identity, &mut queue, None, &self.events).await;
                    log::info!(
                        "link to {} at {} disconnected: {error}",
                        self.peer_id,
                        self.address
                    );
                    let down = LinkEvent::Down(self.peer_id.clone());
                    if self.events.send(down).await.is_err() {
                        return;
                    }
                }
                Ok(Err(error)) => log::debug!("failed to connect to {}: {error}", self.peer_id),
                Err(_) => log::debug!("connecting to {} timed out", self.peer_id),
            }
            time::sleep(delay).await;
            delay = (delay * 2).min(MAX_RECONNECT_DELAY);
        }
    }

    /// Connects and performs the handshake; fails if another node responds.
    async fn open_connection(
        &self,
    ) -> Result<(Framed<TcpStream, LinkCodec>, Identity), FrameError> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let mut framed = Framed::new(stream, LinkCodec::default());
        framed.send(self.own.hello()).await?;
        let identity = read_hello(&mut framed).await?;
        if identity.node_id != self.peer_id {
            let reason = format!("unexpected node {} at {}", identity.node_id, self.address);
            return Err(io::Error::other(reason).into());
        }
        Ok((framed, identity))
    }
}

/// Reads the first message of a connection, which has to be a `Hello`.
pub(crate) async fn read_hello<Stream>(
    framed: &mut Framed<Stream, LinkCodec>,
) -> Result<Identity, FrameError>
where
    Stream: AsyncRead + Unpin,
{
    let first = framed.next().await.transpose()?;
    let hello = match first.and_then(|message| message.body) {
        Some(Body::Hello(hello)) => Identity::from_hello(&hello),
        _ => None,
    };
    hello.ok_or_else(|| io::Error::other("first message is not a valid hello").into())
}

/// Transfers messages in both directions until the connection ends; returns the
/// cause. `reply` is the sender of `queue` if this node accepted the connection.
pub(crate) async fn run_connection<Stream>(
    framed: Framed<Stream, LinkCodec>,
    peer: Identity,
    queue: &mut mpsc::Receiver<Outgoing>,
    reply: Option<ReplySender>,
    events: &mpsc::Sender<LinkEvent>,
) -> FrameError
where
    Stream: AsyncRead + AsyncWrite + Unpin,
{
    let (mut sink, mut stream) = framed.split();
    let reply = reply.unwrap_or_else(ReplySender::closed);
    let read_loop = async {
        loop {
            let body = match stream.next().await {
                Some(Ok(PeerMessage { body: Some(body) })) => body,
                Some(Ok(PeerMessage { body: None })) => continue,
                Some(Err(error)) => return error,
                None => return io::Error::from(io::ErrorKind::UnexpectedEof).into(),
            };
            let received = Received {
                from: peer.clone(),
                body,
                reply: reply.clone(),
                _in_use: reply.handle.as_ref().map(|it| Arc::new(it.begin_use())),
            };
            if events
                .send(LinkEvent::Received(Box::new(received)))
                .await
                .is_err()
            {
                return io::Error::other("node is stopping").into();
            }
        }
    };
    let write_loop = async {
        let mut batch = Vec::with_capacity(WRITE_BATCH);
        loop {
            if queue.recv_many(&mut batch, WRITE_BATCH).await == 0 {
                return io::Error::other("link dropped").into();
            }
            let mut in_use = Vec::with_capacity(batch.len());
            for outgoing in batch.drain(..) {
                in_use.push(outgoing.in_use);
                if let Err(error) = sink.feed(outgoing.message).await {
                    return error;
                }
            }
            if let Err(error) = sink.flush().await {
                return error;
            }
        }
    };
    tokio::select! {
        error = read_loop => error,
        error = write_loop => error,
    }
}
