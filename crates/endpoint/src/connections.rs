//! Connections to endpoints that answer opaque requests, kept for one thread.
//!
//! A connection carries one request at a time and belongs to one incarnation of
//! an endpoint. Whoever drops an answer before its end closes the connection,
//! which is how a request is cancelled. The caller learns whether a request
//! that failed can have reached the endpoint.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use parsleylatch_http::error_chain;
use parsleylatch_types::{EndpointId, Incarnation, Millis};
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::{net::TcpStream, time};

/// Time after which bytes that the peer's kernel did not confirm end a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Silence after which the kernel asks whether the peer is there.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Part of an announced idle time after which a connection is not used any more.
const IDLE_TIMEOUT_USED_PERCENT: u64 = 60;
/// Most unused connections that are kept for one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Endpoint that a connection belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionKey {
    /// Address.
    pub address: SocketAddr,
    /// Endpoint that was found there.
    pub id: EndpointId,
    /// Start of its process.
    pub incarnation: Incarnation,
}

/// How connections are chosen and opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// Longest wait for a new connection.
    pub connect_timeout_ms: Millis,
    /// Longest time for which a connection that is used again was unused; zero
    /// asks for a new one.
    pub max_idle_ms: Millis,
}

/// A request that got no head of an answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// No connection could be made.
    #[error("no connection to {peer}: {reason}")]
    Unreachable {
        /// Endpoint's address.
        peer: SocketAddr,
        /// Reason of the system.
        reason: String,
    },
    /// The connection ended before a byte of the request was written.
    #[error("connection to {peer} ended before the send: {reason}")]
    Unsent {
        /// Endpoint's address.
        peer: SocketAddr,
        /// Reason of the library.
        reason: String,
    },
    /// The connection ended after the request was written, at least in part.
    #[error("connection to {peer} ended before the answer: {reason}")]
    Lost {
        /// Endpoint's address.
        peer: SocketAddr,
        /// Reason of the library.
        reason: String,
    },
}

/// Connections of one thread, open and unused.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    idle: Rc<RefCell<HashMap<ConnectionKey, Vec<IdleConnection>>>>,
}

struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    idle_since: Instant,
    usable_for: Duration,
}

/// The head of an answer, and the connection on which its body comes.
pub struct OpenResponse {
    /// Head with the open body.
    pub response: Response<Incoming>,
    connection: OpenConnection,
}

/// Connection on which an answer comes.
pub struct OpenConnection {
    key: ConnectionKey,
    sender: SendRequest<Full<Bytes>>,
    usable_for: Duration,
}

impl OpenResponse {
    /// Parts: the answer, and the connection to give back after its last byte.
    pub fn into_parts(self) -> (Response<Incoming>, OpenConnection) {
        (self.response, self.connection)
    }
}

impl ConnectionPool {
    /// No connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request with a path for its URI and waits for the head of the answer.
    ///
    /// # Errors
    /// Says whether the endpoint can have seen the request.
    pub async fn send(
        &self,
        key: &ConnectionKey,
        settings: ConnectionSettings,
        request: Request<Full<Bytes>>,
    ) -> Result<OpenResponse, SendError> {
        let peer = key.address;
        let kept = self.take_idle(key, settings.max_idle_ms.duration());
        let mut sender = match kept {
            Some(sender) => sender,
            None => connect(peer, settings.connect_timeout_ms.duration()).await?,
        };
        let sent = sender.try_send_request(request).await;
        let response = sent.map_err(|mut failure| {
            let is_unsent = failure.take_message().is_some();
            let reason = error_chain(&failure.into_error());
            match is_unsent {
                true => SendError::Unsent { peer, reason },
                false => SendError::Lost { peer, reason },
            }
        })?;
        let usable_for = advertised_idle_timeout(&response).unwrap_or(Duration::MAX);
        Ok(OpenResponse {
            response,
            connection: OpenConnection {
                key: key.clone(),
                sender,
                usable_for,
            },
        })
    }

    /// Keeps a connection whose answer was read to its end, among `max_idle` unused ones
    /// of its endpoint at most.
    pub fn release(&self, connection: OpenConnection, max_idle: usize) {
        let limit = max_idle.min(MAX_IDLE_CONNECTIONS);
        if connection.sender.is_closed() || limit == 0 {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(connection.key).or_default();
        kept.retain(|it| !it.sender.is_closed());
        if kept.len() >= limit {
            kept.remove(0);
        }
        kept.push(IdleConnection {
            sender: connection.sender,
            idle_since: Instant::now(),
            usable_for: connection.usable_for,
        });
    }

    /// Closes the unused connections of endpoints that `is_known` does not know.
    pub fn retain_idle(&self, is_known: impl Fn(&ConnectionKey) -> bool) {
        self.idle
            .borrow_mut()
            .retain(|key, kept| is_known(key) && !kept.is_empty());
    }

    fn take_idle(
        &self,
        key: &ConnectionKey,
        max_idle_time: Duration,
    ) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(key)?;
        kept.retain(|it| !it.sender.is_closed() && it.idle_since.elapsed() < it.usable_for);
        let newest = kept
            .iter()
            .rposition(|it| it.sender.is_ready() && it.idle_since.elapsed() < max_idle_time)?;
        Some(kept.remove(newest).sender)
    }
}

async fn connect(
    peer: SocketAddr,
    timeout: Duration,
) -> Result<SendRequest<Full<Bytes>>, SendError> {
    let unreachable = |reason: String| SendError::Unreachable { peer, reason };
    let connected = time::timeout(timeout, TcpStream::connect(peer)).await;
    let stream = connected
        .map_err(|_| unreachable("no answer in time".to_owned()))?
        .map_err(|error| unreachable(error.to_string()))?;
    set_socket_options(&stream).map_err(|error| unreachable(error.to_string()))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| unreachable(error_chain(&error)))?;
    tokio::spawn(async move {
        // The request that ran on the connection gets the same error.
        if let Err(error) = connection.await {
            log::debug!("connection to {peer}: {}", error_chain(&error));
        }
    });
    Ok(sender)
}

fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(Duration::from_secs(1));
    socket.set_tcp_keepalive(&keepalive)
}

/// Time for which the endpoint says that it keeps an unused connection, less a part.
fn advertised_idle_timeout(response: &Response<Incoming>) -> Option<Duration> {
    let value = response.headers().get("keep-alive")?.to_str().ok()?;
    let mut parameters = value.split(',').map(str::trim);
    let seconds: u64 = parameters
        .find_map(|it| it.strip_prefix("timeout="))?
        .parse()
        .ok()?;
    Some(Duration::from_millis(
        seconds.saturating_mul(10 * IDLE_TIMEOUT_USED_PERCENT),
    ))
}

/// Whether a header concerns one connection only and is not passed on.
pub fn is_connection_header(name: &header::HeaderName) -> bool {
    matches!(
        name.as_str(),
        "connection"
            | "keep-alive"
            | "proxy-connection"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
    )
}
