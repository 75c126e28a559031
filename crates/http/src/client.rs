//! Calls with a deadline to a peer that is named by its address.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as PooledClient, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::error::{HttpError, HttpErrorKind, Step, error_chain};

/// Time to connect before a peer counts as gone.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Body of an answer, as it comes in.
pub type Body = Incoming;

/// Whole answer to a call.
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
    /// Reads the body as JSON.
    ///
    /// # Errors
    /// [`HttpErrorKind::Malformed`] with the reader's reason.
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

/// Client with a pool of connections; belongs to one runtime.
#[derive(Clone)]
pub struct Client {
    pool: PooledClient<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        Self::new()
    }
}

impl Client {
    /// Client without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let pool = PooledClient::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { pool }
    }

    /// Sends a request and returns the head of the answer with its open body.
    ///
    /// # Errors
    /// An error with the step at which the call ended.
    pub async fn open(
        &self,
        peer: SocketAddr,
        request: http::request::Builder,
        body: Bytes,
        deadline: Duration,
    ) -> Result<http::Response<Body>, HttpError> {
        let request = build(peer, request, body)?;
        let sent = within(Step::Send, peer, deadline, self.pool.request(request)).await?;
        sent.map_err(|error| {
            let kind = match error.is_connect() {
                true => HttpErrorKind::Connect(error_chain(&error)),
                false => HttpErrorKind::Transport(error_chain(&error)),
            };
            HttpError {
                step: Step::Send,
                peer,
                kind,
            }
        })
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// An error with the step at which the call ended.
    pub async fn call(
        &self,
        peer: SocketAddr,
        request: http::request::Builder,
        body: Bytes,
        deadline: Duration,
    ) -> Result<Reply, HttpError> {
        let exchange = async {
            let response = self.open(peer, request, body, deadline).await?;
            let (head, body) = response.into_parts();
            let body = body.collect().await.map_err(|error| {
                let kind = HttpErrorKind::Transport(error_chain(&error));
                HttpError {
                    step: Step::Receive,
                    peer,
                    kind,
                }
            })?;
            Ok(Reply {
                status: head.status,
                headers: head.headers,
                body: body.to_bytes(),
            })
        };
        within(Step::Receive, peer, deadline, exchange).await?
    }

    /// Calls with a JSON body and reads a JSON answer.
    ///
    /// # Errors
    /// An error with the step; [`HttpErrorKind::Status`] unless the call succeeded.
    pub async fn call_json<Ask, Answer>(
        &self,
        peer: SocketAddr,
        method: Method,
        path: &str,
        ask: &Ask,
        deadline: Duration,
    ) -> Result<Answer, HttpError>
    where
        Ask: Serialize + ?Sized,
        Answer: DeserializeOwned,
    {
        let body = serde_json::to_vec(ask).map_err(|error| {
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
        let reply = self
            .call(peer, request, Bytes::from(body), deadline)
            .await?;
        succeeded(&reply, peer)?.json(peer)
    }

    /// Reads a JSON document.
    ///
    /// # Errors
    /// An error with the step; [`HttpErrorKind::Status`] unless the call succeeded.
    pub async fn get_json<Answer>(
        &self,
        peer: SocketAddr,
        path: &str,
        deadline: Duration,
    ) -> Result<Answer, HttpError>
    where
        Answer: DeserializeOwned,
    {
        let request = Request::builder().uri(path);
        let reply = self.call(peer, request, Bytes::new(), deadline).await?;
        succeeded(&reply, peer)?.json(peer)
    }
}

fn succeeded(reply: &Reply, peer: SocketAddr) -> Result<&Reply, HttpError> {
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

/// Completes a request whose URI holds only the path.
fn build(
    peer: SocketAddr,
    builder: http::request::Builder,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let form = |reason: String| HttpError {
        step: Step::Build,
        peer,
        kind: HttpErrorKind::Malformed(reason),
    };
    let mut request = builder
        .body(Full::new(body))
        .map_err(|error| form(error.to_string()))?;
    let path = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let uri = format!("http://{peer}{path}").parse();
    *request.uri_mut() = uri.map_err(|error: http::uri::InvalidUri| form(error.to_string()))?;
    Ok(request)
}

async fn within<Output>(
    step: Step,
    peer: SocketAddr,
    deadline: Duration,
    work: impl Future<Output = Output>,
) -> Result<Output, HttpError> {
    let timed = tokio::time::timeout(deadline, work).await;
    timed.map_err(|_| HttpError {
        step,
        peer,
        kind: HttpErrorKind::TimedOut,
    })
}
