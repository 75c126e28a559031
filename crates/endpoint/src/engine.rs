//! Client of a model engine.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use parsleylatch_http::{Body, Client, HttpError, SseReader};
use parsleylatch_types::{AttemptNumber, Millis, RequestId};
use parsleylatch_wire::engine::{LoadReport, StreamEvent, StreamRequest};
use strum::Display;
use thiserror::Error;

/// Longest wait for the head of a stream's response.
const OPEN_TIMEOUT_MS: Millis = Millis::new(2_000);
/// Longest wait for other answers.
const CALL_TIMEOUT_MS: Millis = Millis::new(1_000);

/// Step at which a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum EngineStep {
    /// Opening the stream.
    Open,
    /// Reading events.
    Read,
    /// Cancelling a stream.
    Cancel,
    /// Reading the load.
    Load,
}

/// A call to an engine that failed.
#[derive(Debug, Error)]
#[error("engine {step} at {peer}: {kind}")]
pub struct EngineError {
    /// Step at which the error arose.
    pub step: EngineStep,
    /// Engine.
    pub peer: SocketAddr,
    /// What went wrong.
    pub kind: EngineErrorKind,
}

/// What went wrong.
#[derive(Debug, Error)]
pub enum EngineErrorKind {
    /// The exchange failed.
    #[error("{0}")]
    Http(#[from] HttpError),
    /// The engine refused the request.
    #[error("refused with status {status}: {reason}")]
    Refused {
        /// Status of the answer.
        status: StatusCode,
        /// Its text.
        reason: String,
    },
    /// The connection broke.
    #[error("stream broken: {0}")]
    ConnectionLost(String),
    /// The stream is not one of events.
    #[error("unreadable stream: {0}")]
    Malformed(String),
}

/// Client of engines; belongs to one runtime.
#[derive(Clone, Default)]
pub struct EngineClient {
    http: Client,
}

impl EngineClient {
    /// Client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts or resumes a stream.
    ///
    /// # Errors
    /// The step and the engine.
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
            .http
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
        let reason = body
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes)
            .unwrap_or_default();
        let reason = String::from_utf8_lossy(&reason).into_owned();
        Err(failed(EngineErrorKind::Refused {
            status: head.status,
            reason,
        }))
    }

    /// Cancels a stream; an engine that does not run it any more is no error.
    ///
    /// # Errors
    /// The step and the engine.
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
    /// The step and the engine.
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

/// Open stream of one attempt.
pub struct EngineStream {
    peer: SocketAddr,
    body: Body,
    reader: SseReader,
}

impl EngineStream {
    /// Waits for the next event; `None` at the end of the stream.
    ///
    /// # Errors
    /// The step and the engine.
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
