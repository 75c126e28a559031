//! Errors of HTTP calls.

use std::net::SocketAddr;

use http::StatusCode;
use strum::Display;
use thiserror::Error;

use crate::status::InvalidStatus;

/// Step of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    /// Building the request.
    Build,
    /// Connecting, sending the request, or waiting for the head of the response.
    Send,
    /// Reading the body of the response.
    Receive,
    /// Parsing the body.
    Decode,
}

/// Error of a call, with the step and the peer.
#[derive(Debug, Error)]
#[error("{step} at {peer}: {kind}")]
pub struct HttpError {
    /// Step that failed.
    pub step: Step,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Cause of the error.
    pub kind: HttpErrorKind,
}

/// Cause of a failed call.
#[derive(Debug, Error)]
pub enum HttpErrorKind {
    /// The connection could not be established; the peer has not received the request.
    #[error("no connection: {0}")]
    Connect(String),
    /// The connection was lost, or the peer violated the protocol.
    #[error("connection lost: {0}")]
    Transport(String),
    /// The call timed out.
    #[error("no answer in time")]
    TimedOut,
    /// The response has a status that HTTP does not define; the peer may have processed the
    /// request.
    #[error("{0}")]
    InvalidStatus(#[from] InvalidStatus),
    /// The response has an unexpected status.
    #[error("status {0}")]
    Status(StatusCode),
    /// The message can't be encoded or parsed.
    #[error("unreadable message: {0}")]
    Malformed(String),
}

impl HttpError {
    /// Whether the peer can't have received any part of the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self.kind, HttpErrorKind::Connect(_)) || self.step == Step::Build
    }
}

/// Formats an error with its chain of sources.
pub fn error_chain(error: &(dyn std::error::Error + 'static)) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    causes
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}
