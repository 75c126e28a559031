//! Per-thread pool of connections to endpoints, for requests that are passed through.
//!
//! A connection carries one request at a time and belongs to one incarnation of an
//! endpoint. Dropping a response before its end closes the connection and thereby
//! cancels the request. Errors tell whether the endpoint can have received the request.

use std::{
    cell::RefCell,
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response, header};
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parsleylatch_http::{
    InvalidStatus, ReadProgress, ReceivedBody, check_response_status, error_chain, limit_reads,
    limit_unsent,
};
use parsleylatch_types::{EndpointId, ExchangeId, Incarnation, Millis};
use rustix::io::Errno;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::{
    net::{TcpSocket, TcpStream},
    time,
};

/// Time that sent data may stay unacknowledged before the connection is closed
/// (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time before the kernel sends the first keepalive probe.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);
/// Share of the endpoint's advertised idle timeout for which a connection is reused.
const IDLE_TIMEOUT_USED_PERCENT: u64 = 60;
/// Time after which opening a connection is tried again if no descriptor was left.
const DESCRIPTOR_WAIT: Duration = Duration::from_millis(5);
/// Maximum number of idle connections per endpoint.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Receive buffer that is asked of the kernel, which takes up to twice as much.
pub const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Bound on the read buffer of a connection, which holds a response head of up to 64 KiB.
pub const READ_BUFFER_BYTES: usize = 72 << 10;
/// Refused requests that a connection remembers; the oldest is forgotten first.
const MAX_REFUSED: usize = 64;

/// Key of the connections to one incarnation of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionKey {
    /// Endpoint's address.
    pub address: SocketAddr,
    /// Endpoint's id.
    pub id: EndpointId,
    /// Incarnation of the endpoint's process.
    pub incarnation: Incarnation,
}

/// Settings for reusing and opening connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionSettings {
    /// Timeout for opening a connection.
    pub connect_timeout_ms: Millis,
    /// Maximum idle time of a connection that is reused; zero always opens a new one.
    pub max_idle_ms: Millis,
}

/// Error of a request that received no response head.
#[derive(Debug, Error)]
pub enum SendError {
    /// The connection could not be established.
    #[error("connecting to {peer} failed: {reason}")]
    Unreachable {
        /// Endpoint's address.
        peer: SocketAddr,
        /// Cause.
        reason: String,
    },
    /// The endpoint did not accept the connection in time.
    #[error("connecting to {peer} timed out")]
    Unanswered {
        /// Endpoint's address.
        peer: SocketAddr,
    },
    /// The connection was closed before any byte of the request was written.
    #[error("connection to {peer} closed before the request was sent: {reason}")]
    Unsent {
        /// Endpoint's address.
        peer: SocketAddr,
        /// Cause.
        reason: String,
    },
    /// The response has a status that HTTP does not define; the endpoint may have run the
    /// request. The connection is closed.
    #[error("{source} from {peer}")]
    InvalidStatus {
        /// Endpoint's address.
        peer: SocketAddr,
        /// Cause.
        source: InvalidStatus,
    },
    /// The connection was closed after at least a part of the request was written.
    #[error("connection to {peer} closed before the response: {reason}")]
    Lost {
        /// Endpoint's address.
        peer: SocketAddr,
        /// Cause.
        reason: String,
    },
}

/// Pool of idle connections, for use on one thread.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    idle: Rc<RefCell<HashMap<ConnectionKey, Vec<IdleConnection>>>>,
    /// Open connections of all pools that share it, idle ones included.
    open: Arc<AtomicU64>,
    /// Called when no descriptor is left, to close what the process can do without.
    make_room: Option<Rc<dyn Fn()>>,
}

/// Counts a connection as open until it is dropped.
struct OpenGuard(Arc<AtomicU64>);

impl OpenGuard {
    fn new(open: &Arc<AtomicU64>) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        Self(Arc::clone(open))
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

struct IdleConnection {
    link: Link,
    idle_since: Instant,
    usable_for: Duration,
}

/// Sending side of a connection.
struct Link {
    sender: SendRequest<Full<Bytes>>,
    progress: ReadProgress,
    /// Requests that the endpoint refused on this connection. If it writes such a refusal
    /// once more, it can't be told from a refusal of another request with the same id.
    refused: VecDeque<ExchangeId>,
}

/// Response head, with the connection that its body arrives on.
pub struct OpenResponse {
    /// Response whose body is still being received.
    pub response: Response<ReceivedBody>,
    connection: OpenConnection,
}

/// Connection that a response arrives on.
pub struct OpenConnection {
    key: ConnectionKey,
    link: Link,
    /// Whether it carried another request before this one.
    is_reused: bool,
    usable_for: Duration,
}

impl OpenConnection {
    /// Whether the connection carried another request before, so that the response may be
    /// a late one to that request.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Records that the endpoint refused a request on this connection, which then carries
    /// no other request with the same id.
    pub fn record_refusal(&mut self, id: ExchangeId) {
        if self.link.refused.len() >= MAX_REFUSED {
            self.link.refused.pop_front();
        }
        self.link.refused.push_back(id);
    }
}

impl OpenResponse {
    /// Returns the response, and the connection to release after the end of its body.
    pub fn into_parts(self) -> (Response<ReceivedBody>, OpenConnection) {
        (self.response, self.connection)
    }
}

/// Open connection that carries no request.
pub struct ReadyConnection {
    key: ConnectionKey,
    link: Link,
    is_reused: bool,
    /// When the last response ended; when it was opened, if none was received.
    idle_since: Instant,
    usable_for: Duration,
}

impl ReadyConnection {
    /// Whether the connection carried another request before.
    pub fn is_reused(&self) -> bool {
        self.is_reused
    }

    /// Sends a request, whose URI is only a path, and waits for the response head.
    ///
    /// # Errors
    /// The variant of the error tells whether the endpoint can have received the request.
    pub async fn send(self, request: Request<Full<Bytes>>) -> Result<OpenResponse, SendError> {
        let Self {
            key,
            mut link,
            is_reused,
            idle_since: _,
            usable_for: _,
        } = self;
        let peer = key.address;
        let sent = link.sender.try_send_request(request).await;
        let response = sent.map_err(|mut failure| {
            let is_unsent = failure.take_message().is_some();
            let reason = error_chain(&failure.into_error());
            match is_unsent {
                true => SendError::Unsent { peer, reason },
                false => SendError::Lost { peer, reason },
            }
        })?;
        check_response_status(response.status().as_u16())
            .map_err(|source| SendError::InvalidStatus { peer, source })?;
        let response = response.map(|body| ReceivedBody::new(body, Some(link.progress.clone())));
        let usable_for = advertised_idle_timeout(&response).unwrap_or(Duration::MAX);
        Ok(OpenResponse {
            response,
            connection: OpenConnection {
                key,
                link,
                is_reused,
                usable_for,
            },
        })
    }
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty pool whose open connections are counted. `make_room` is called when no
    /// descriptor is left for a connection, which is tried again until its timeout.
    pub fn with_count(open: Arc<AtomicU64>, make_room: impl Fn() + 'static) -> Self {
        Self {
            idle: Rc::default(),
            open,
            make_room: Some(Rc::new(make_room)),
        }
    }

    /// Closes the older half of each endpoint's idle connections, and at least one.
    pub fn close_older_idle(&self) {
        self.idle.borrow_mut().retain(|_, pooled| {
            pooled.drain(..pooled.len().div_ceil(2));
            !pooled.is_empty()
        });
    }

    /// Sends a request, whose URI is only a path, and waits for the response head. `id` is
    /// that of a caller's request.
    ///
    /// # Errors
    /// The variant of the error tells whether the endpoint can have received the request.
    pub async fn send(
        &self,
        key: &ConnectionKey,
        settings: ConnectionSettings,
        id: Option<&ExchangeId>,
        request: Request<Full<Bytes>>,
    ) -> Result<OpenResponse, SendError> {
        let ready = self.open(key, settings, id).await?;
        ready.send(request).await
    }

    /// Takes an idle connection or opens one, for a request that is sent afterwards. `id` is
    /// that of a caller's request.
    ///
    /// # Errors
    /// Fails if no connection could be established; nothing has been sent then.
    pub async fn open(
        &self,
        key: &ConnectionKey,
        settings: ConnectionSettings,
        id: Option<&ExchangeId>,
    ) -> Result<ReadyConnection, SendError> {
        if let Some(pooled) = self.take_idle(key, settings.max_idle_ms.duration(), id) {
            return Ok(ReadyConnection {
                key: key.clone(),
                link: pooled.link,
                is_reused: true,
                idle_since: pooled.idle_since,
                usable_for: pooled.usable_for,
            });
        }
        let guard = OpenGuard::new(&self.open);
        let timeout = settings.connect_timeout_ms.duration();
        Ok(ReadyConnection {
            key: key.clone(),
            link: self.connect(key.address, timeout, guard).await?,
            is_reused: false,
            idle_since: Instant::now(),
            usable_for: Duration::MAX,
        })
    }

    /// Returns a connection to the pool that was not used after all; it stays idle since its
    /// last response.
    pub fn keep(&self, ready: ReadyConnection, max_idle: usize) {
        let connection = IdleConnection {
            link: ready.link,
            idle_since: ready.idle_since,
            usable_for: ready.usable_for,
        };
        self.insert_idle(ready.key, connection, max_idle);
    }

    /// Returns a connection to the pool after its response was read to the end. At most
    /// `max_idle` connections of the endpoint are kept; the oldest is closed first.
    pub fn release(&self, connection: OpenConnection, max_idle: usize) {
        let idle = IdleConnection {
            link: connection.link,
            idle_since: Instant::now(),
            usable_for: connection.usable_for,
        };
        self.insert_idle(connection.key, idle, max_idle);
    }

    /// Adds a connection to the idle ones of its endpoint, which are in order of `idle_since`.
    fn insert_idle(&self, key: ConnectionKey, connection: IdleConnection, max_idle: usize) {
        let limit = max_idle.min(MAX_IDLE_CONNECTIONS);
        if connection.link.sender.is_closed() || limit == 0 {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.entry(key).or_default();
        pooled.retain(|it| !it.link.sender.is_closed());
        let place = pooled.partition_point(|it| it.idle_since <= connection.idle_since);
        pooled.insert(place, connection);
        if pooled.len() > limit {
            pooled.remove(0);
        }
    }

    /// Closes the idle connections of endpoints for which `is_known` returns `false`.
    pub fn retain_idle(&self, is_known: impl Fn(&ConnectionKey) -> bool) {
        self.idle
            .borrow_mut()
            .retain(|key, pooled| is_known(key) && !pooled.is_empty());
    }

    /// Opens a connection; as long as no descriptor is left, idle ones are closed and it is
    /// tried again.
    async fn connect(
        &self,
        peer: SocketAddr,
        timeout: Duration,
        guard: OpenGuard,
    ) -> Result<Link, SendError> {
        let started_at = Instant::now();
        let socket = loop {
            match open_socket(peer) {
                Ok(socket) => break socket,
                Err(error) if lacks_descriptors(&error) && started_at.elapsed() < timeout => {
                    self.close_older_idle();
                    if let Some(make_room) = &self.make_room {
                        make_room();
                    }
                    time::sleep(DESCRIPTOR_WAIT).await;
                }
                Err(error) => {
                    let reason = error.to_string();
                    return Err(SendError::Unreachable { peer, reason });
                }
            }
        };
        let left = timeout.saturating_sub(started_at.elapsed());
        connect(peer, socket, left, guard).await
    }

    fn take_idle(
        &self,
        key: &ConnectionKey,
        max_idle_time: Duration,
        id: Option<&ExchangeId>,
    ) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let pooled = idle.get_mut(key)?;
        pooled.retain(|it| !it.link.sender.is_closed() && it.idle_since.elapsed() < it.usable_for);
        let is_usable = |it: &IdleConnection| {
            let has_refused = id.is_some_and(|id| it.link.refused.contains(id));
            it.link.sender.is_ready() && it.idle_since.elapsed() < max_idle_time && !has_refused
        };
        let newest = pooled.iter().rposition(is_usable)?;
        Some(pooled.remove(newest))
    }
}

async fn connect(
    peer: SocketAddr,
    socket: TcpSocket,
    timeout: Duration,
    guard: OpenGuard,
) -> Result<Link, SendError> {
    let unreachable = |reason: String| SendError::Unreachable { peer, reason };
    let connected = time::timeout(timeout, socket.connect(peer)).await;
    let stream = connected
        .map_err(|_| SendError::Unanswered { peer })?
        .map_err(|error| unreachable(error.to_string()))?;
    set_socket_options(&stream).map_err(|error| unreachable(error.to_string()))?;
    let (stream, progress) = limit_reads(stream);
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| unreachable(error_chain(&error)))?;
    tokio::spawn(async move {
        let _guard = guard;
        // The pending request gets the same error, so it is only logged here.
        if let Err(error) = connection.await {
            log::debug!("connection to {peer} failed: {}", error_chain(&error));
        }
    });
    Ok(Link {
        sender,
        progress,
        refused: VecDeque::new(),
    })
}

/// Whether the process or the kernel has no descriptor left.
pub fn lacks_descriptors(error: &std::io::Error) -> bool {
    let code = error.raw_os_error().map(Errno::from_raw_os_error);
    matches!(code, Some(Errno::MFILE | Errno::NFILE))
}

/// Opens a socket whose receive buffer is bounded; the window of the connection follows from
/// it, so it is set before connecting.
fn open_socket(peer: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = match peer {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES as u32)?;
    Ok(socket)
}

fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    limit_unsent(stream)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(Duration::from_secs(1));
    socket.set_tcp_keepalive(&keepalive)
}

/// Time for which a connection may be reused: the `Keep-Alive` timeout of the endpoint,
/// less a margin so that a request does not meet the endpoint's close.
fn advertised_idle_timeout<Body>(response: &Response<Body>) -> Option<Duration> {
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

/// Whether a header is hop-by-hop and must not be forwarded.
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
