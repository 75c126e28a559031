//! Client for model engines.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use parsleylatch_http::{Body, Client, HttpError, SseReader};
use parsleylatch_types::{AttemptNumber, Millis, RequestId};
use parsleylatch_wire::engine::{LoadReport, StreamEvent, StreamRequest};
use strum::Display;
use thiserror::Error;

/// Timeout for the response head of a stream.
const OPEN_TIMEOUT_MS: Millis = Millis::new(2_000);
/// Timeout for all other calls.
const CALL_TIMEOUT_MS: Millis = Millis::new(1_000);

/// Longest reason of a refusal that is kept.
const MAX_REASON_BYTES: usize = 16 << 10;

/// Step of an engine call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum EngineStep {
    /// Opening the stream.
    Open,
    /// Reading events of a stream.
    Read,
    /// Cancelling a stream.
    Cancel,
    /// Reading the load.
    Load,
}

/// Error of a call to an engine.
#[derive(Debug, Error)]
#[error("engine {step} at {peer}: {kind}")]
pub struct EngineError {
    /// Step that failed.
    pub step: EngineStep,
    /// Address of the engine.
    pub peer: SocketAddr,
    /// Cause of the error.
    pub kind: EngineErrorKind,
}

/// Cause of a failed engine call.
#[derive(Debug, Error)]
pub enum EngineErrorKind {
    /// The HTTP call failed.
    #[error("{0}")]
    Http(#[from] HttpError),
    /// The engine rejected the request.
    #[error("rejected with status {status}: {reason}")]
    Refused {
        /// HTTP status.
        status: StatusCode,
        /// Body of the response.
        reason: String,
    },
    /// The connection was lost during the stream.
    #[error("connection lost: {0}")]
    ConnectionLost(String),
    /// The request can't be encoded, or the stream holds invalid events.
    #[error("malformed message: {0}")]
    Malformed(String),
}

/// Client for engines, for use on one runtime.
#[derive(Clone)]
pub struct EngineClient {
    http: Client,
    /// Client for streams, whose responses don't name their request, so that each has its
    /// own connection.
    streams: Client,
}

impl Default for EngineClient {
    fn default() -> Self {
        Self::new()
    }
}

impl EngineClient {
    /// Creates a client without open connections.
    pub fn new() -> Self {
        Self {
            http: Client::new(),
            streams: Client::without_reuse(),
        }
    }

    /// Starts or resumes a stream.
    ///
    /// # Errors
    /// Returns an error with the step that failed and the engine's address.
    pub async fn open(
        &self,
        peer: SocketAddr,
        stream_request: &StreamRequest,
        traceparent: &str,
    ) -> Result<EngineStream, EngineError> {
        let failed = |kind| EngineError {
            step: EngineStep::Open,
            peer,
            kind,
        };
        let body = serde_json::to_vec(stream_request)
            .map_err(|error| failed(EngineErrorKind::Malformed(error.to_string())))?;
        let request = Request::post("/v1/completions")
            .header("content-type", "application/json")
            .header("accept", "text/event-stream")
            .header("traceparent", traceparent);
        let timeout = OPEN_TIMEOUT_MS.duration();
        let opened = self
            .streams
            .open(peer, request, Bytes::from(body), timeout)
            .await;
        let response = opened.map_err(|error| failed(error.into()))?;
        let (head, body) = response.into_parts();
        if head.status.is_success() {
            return Ok(EngineStream {
                peer,
                body,
                reader: SseReader::new(),
            });
        }
        let reason = read_reason(body).await;
        Err(failed(EngineErrorKind::Refused {
            status: head.status,
            reason,
        }))
    }

    /// Cancels a stream. It is not an error if the engine no longer runs it.
    ///
    /// # Errors
    /// Returns an error with the step that failed and the engine's address.
    pub async fn cancel(
        &self,
        peer: SocketAddr,
        request_id: RequestId,
        attempt: AttemptNumber,
    ) -> Result<(), EngineError> {
        let path = format!("/v1/completions/{request_id}/{attempt}");
        let request = Request::builder().method(Method::DELETE).uri(path);
        let timeout = CALL_TIMEOUT_MS.duration();
        let called = self.http.call(peer, request, Bytes::new(), timeout).await;
        let failed = |error: HttpError| EngineError {
            step: EngineStep::Cancel,
            peer,
            kind: error.into(),
        };
        called.map(|_| ()).map_err(failed)
    }

    /// Reads the load of an engine.
    ///
    /// # Errors
    /// Returns an error with the step that failed and the engine's address.
    pub async fn load(&self, peer: SocketAddr) -> Result<LoadReport, EngineError> {
        let called = self
            .http
            .get_json(peer, "/v1/load", CALL_TIMEOUT_MS.duration())
            .await;
        called.map_err(|error: HttpError| EngineError {
            step: EngineStep::Load,
            peer,
            kind: error.into(),
        })
    }
}

/// Event stream of one attempt.
pub struct EngineStream {
    peer: SocketAddr,
    body: Body,
    reader: SseReader,
}

impl EngineStream {
    /// Waits for the next event; `None` at the end of the stream.
    ///
    /// # Errors
    /// Returns an error with the step that failed and the engine's address.
    pub async fn next(&mut self) -> Option<Result<StreamEvent, EngineError>> {
        loop {
            match self.reader.next_event() {
                Ok(Some(event)) => return Some(self.decode(&event.data)),
                Ok(None) => {}
                Err(reason) => return Some(Err(self.failed(EngineErrorKind::Malformed(reason)))),
            }
            match self.body.frame().await? {
                Ok(frame) => {
                    if let Some(chunk) = frame.data_ref() {
                        self.reader.push(chunk);
                    }
                }
                Err(error) => {
                    return Some(Err(
                        self.failed(EngineErrorKind::ConnectionLost(error.to_string()))
                    ));
                }
            }
        }
    }

    fn decode(&self, data: &str) -> Result<StreamEvent, EngineError> {
        serde_json::from_str(data)
            .map_err(|error| self.failed(EngineErrorKind::Malformed(error.to_string())))
    }

    fn failed(&self, kind: EngineErrorKind) -> EngineError {
        EngineError {
            step: EngineStep::Read,
            peer: self.peer,
            kind,
        }
    }
}

/// Reads the reason of a refusal as far as it arrives within the limits on its size and time.
async fn read_reason(mut body: Body) -> String {
    let mut reason = Vec::new();
    let reading = async {
        while let Some(Ok(frame)) = body.frame().await {
            let room = MAX_REASON_BYTES - reason.len();
            let chunk = frame.data_ref().map_or(&[][..], |chunk| chunk);
            reason.extend_from_slice(&chunk[..chunk.len().min(room)]);
            if reason.len() == MAX_REASON_BYTES {
                return;
            }
        }
    };
    // A reason that is cut off still tells more than none.
    let _ = tokio::time::timeout(CALL_TIMEOUT_MS.duration(), reading).await;
    String::from_utf8_lossy(&reason).into_owned()
}
