//! HTTP client for calls with a timeout to a peer address.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client as PooledClient, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    connector::LimitedConnector,
    error::{HttpError, HttpErrorKind, Step, error_chain},
    read_progress::{ReadProgress, ReceivedBody},
    status::check_response_status,
};

/// Longest wait for a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Largest response body that [`Client::call`] accepts.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Body of a response that is still being received.
pub type Body = ReceivedBody;

/// Response that was received in full.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// Parses the body as JSON.
    ///
    /// # Errors
    /// Returns [`HttpErrorKind::Malformed`] with the parser's message.
    pub fn json<Message>(&self, peer: SocketAddr) -> Result<Message, HttpError>
    where
        Message: DeserializeOwned,
    {
        serde_json::from_slice(&self.body).map_err(|error| {
            let kind = HttpErrorKind::Malformed(error.to_string());
            HttpError {
                step: Step::Decode,
                peer,
                kind,
            }
        })
    }
}

/// HTTP client with a connection pool, for use on one runtime.
#[derive(Clone)]
pub struct Client {
    pool: PooledClient<LimitedConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self::with_idle_connections(usize::MAX)
    }

    /// Creates a client that opens a connection for each request. A server that writes a
    /// response once more can't have it taken for that of a later request.
    pub fn without_reuse() -> Self {
        Self::with_idle_connections(0)
    }

    fn with_idle_connections(limit_per_peer: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let pool = PooledClient::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(limit_per_peer)
            .build(LimitedConnector::new(connector));
        Self { pool }
    }

    /// Sends a request and returns the response once its head has arrived; the timeout
    /// does not cover the body.
    ///
    /// # Errors
    /// Returns an error with the step that failed; [`HttpErrorKind::InvalidStatus`] if HTTP
    /// does not define the status.
    pub async fn open(
        &self,
        peer: SocketAddr,
        request: http::request::Builder,
        body: Bytes,
        timeout: Duration,
    ) -> Result<http::Response<Body>, HttpError> {
        let request = build_request(peer, request, body)?;
        let sent = with_timeout(Step::Send, peer, timeout, self.pool.request(request)).await?;
        let response = sent.map_err(|error| {
            let kind = match error.is_connect() {
                true => HttpErrorKind::Connect(error_chain(&error)),
                false => HttpErrorKind::Transport(error_chain(&error)),
            };
            HttpError {
                step: Step::Send,
                peer,
                kind,
            }
        })?;
        let (mut head, body) = response.into_parts();
        check_response_status(head.status.as_u16()).map_err(|error| HttpError {
            step: Step::Receive,
            peer,
            kind: error.into(),
        })?;
        let progress = head.extensions.remove::<ReadProgress>();
        Ok(http::Response::from_parts(
            head,
            ReceivedBody::new(body, progress),
        ))
    }

    /// Sends a request and reads the full response, of at most 8 MiB.
    ///
    /// # Errors
    /// Returns an error with the step that failed.
    pub async fn call(
        &self,
        peer: SocketAddr,
        request: http::request::Builder,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Reply, HttpError> {
        self.call_limited(peer, request, body, timeout, MAX_RESPONSE_BYTES)
            .await
    }

    /// Sends a request and reads the full response, whose body may have `limit_bytes`.
    ///
    /// # Errors
    /// Returns an error with the step that failed.
    pub async fn call_limited(
        &self,
        peer: SocketAddr,
        request: http::request::Builder,
        body: Bytes,
        timeout: Duration,
        limit_bytes: usize,
    ) -> Result<Reply, HttpError> {
        let exchange = async {
            let response = self.open(peer, request, body, timeout).await?;
            let (head, body) = response.into_parts();
            let body = read_body(body, limit_bytes)
                .await
                .map_err(|reason| HttpError {
                    step: Step::Receive,
                    peer,
                    kind: HttpErrorKind::Transport(reason),
                })?;
            Ok(Reply {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        with_timeout(Step::Receive, peer, timeout, exchange).await?
    }

    /// Sends a JSON body and parses a JSON response.
    ///
    /// # Errors
    /// Returns an error with the step that failed; [`HttpErrorKind::Status`] if the
    /// status is not 2xx.
    pub async fn call_json<Input, Output>(
        &self,
        peer: SocketAddr,
        method: Method,
        path: &str,
        input: &Input,
        timeout: Duration,
    ) -> Result<Output, HttpError>
    where
        Input: Serialize + ?Sized,
        Output: DeserializeOwned,
    {
        let body = serde_json::to_vec(input).map_err(|error| {
            let kind = HttpErrorKind::Malformed(error.to_string());
            HttpError {
                step: Step::Build,
                peer,
                kind,
            }
        })?;
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("content-type", "application/json");
        let reply = self.call(peer, request, Bytes::from(body), timeout).await?;
        check_status(&reply, peer)?.json(peer)
    }

    /// Gets a JSON document.
    ///
    /// # Errors
    /// Returns an error with the step that failed; [`HttpErrorKind::Status`] if the
    /// status is not 2xx.
    pub async fn get_json<Output>(
        &self,
        peer: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<Output, HttpError>
    where
        Output: DeserializeOwned,
    {
        let request = Request::builder().uri(path);
        let reply = self.call(peer, request, Bytes::new(), timeout).await?;
        check_status(&reply, peer)?.json(peer)
    }
}

/// Reads a body into one buffer: a list of its chunks takes many times their size if they are
/// small.
async fn read_body(mut body: Body, limit_bytes: usize) -> Result<Bytes, String> {
    let mut received = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| error_chain(&error))?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        if received.len() + chunk.len() > limit_bytes {
            return Err(format!("body exceeds {limit_bytes} bytes"));
        }
        received.extend_from_slice(&chunk);
    }
    Ok(received.freeze())
}

fn check_status(reply: &Reply, peer: SocketAddr) -> Result<&Reply, HttpError> {
    if reply.status.is_success() {
        return Ok(reply);
    }
    let kind = HttpErrorKind::Status(reply.status);
    Err(HttpError {
        step: Step::Receive,
        peer,
        kind,
    })
}

/// Builds a request; the builder's URI has only the path, the peer gives the authority.
fn build_request(
    peer: SocketAddr,
    builder: http::request::Builder,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let malformed = |reason: String| HttpError {
        step: Step::Build,
        peer,
        kind: HttpErrorKind::Malformed(reason),
    };
    let mut request = builder
        .body(Full::new(body))
        .map_err(|error| malformed(error.to_string()))?;
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let uri = format!("http://{peer}{path}").parse();
    *request.uri_mut() =
        uri.map_err(|error: http::uri::InvalidUri| malformed(error.to_string()))?;
    Ok(request)
}

async fn with_timeout<Output>(
    step: Step,
    peer: SocketAddr,
    timeout: Duration,
    work: impl Future<Output = Output>,
) -> Result<Output, HttpError> {
    let timed = tokio::time::timeout(timeout, work).await;
    timed.map_err(|_| HttpError {
        step,
        peer,
        kind: HttpErrorKind::TimedOut,
    })
}
