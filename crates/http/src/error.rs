//! Errors of HTTP calls.

use std::net::SocketAddr;

use http::StatusCode;
use strum::Display;
use thiserror::Error;

/// Step of a call at which an error arose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    /// Building the request.
    Build,
    /// Connecting, sending, or waiting for the head of the answer.
    Send,
    /// Reading the body of the answer.
    Receive,
    /// Reading the message in the body.
    Decode,
}

/// A call that failed, with the step and the peer.
#[derive(Debug, Error)]
#[error("{step} at {peer}: {kind}")]
pub struct HttpError {
    /// Step at which the error arose.
    pub step: Step,
    /// Other side of the connection.
    pub peer: SocketAddr,
    /// What went wrong.
    pub kind: HttpErrorKind,
}

/// What went wrong.
#[derive(Debug, Error)]
pub enum HttpErrorKind {
    /// The connection could not be made; the peer has not seen the request.
    #[error("no connection: {0}")]
    Connect(String),
    /// The connection broke or the peer broke the protocol.
    #[error("connection lost: {0}")]
    Transport(String),
    /// The answer took too long.
    #[error("no answer in time")]
    TimedOut,
    /// The answer has a status that the caller does not expect.
    #[error("status {0}")]
    Status(StatusCode),
    /// The message has another form.
    #[error("unreadable message: {0}")]
    Malformed(String),
}

impl HttpError {
    /// Whether the peer can't have seen the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self.kind, HttpErrorKind::Connect(_)) || self.step == Step::Build
    }
}

/// Text of an error with its causes.
pub fn error_chain(error: &(dyn std::error::Error + 'static)) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    causes
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}
