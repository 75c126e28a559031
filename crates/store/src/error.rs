//! Errors of calls to the platform.

use http::StatusCode;
use parsleylatch_http::{HttpError, HttpErrorKind};
use strum::Display;
use thiserror::Error;

/// Call at which an error arose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum StoreStep {
    /// Reading one key.
    Read,
    /// Listing a prefix.
    List,
    /// Waiting for a change.
    Watch,
    /// Writing or deleting a key.
    Write,
    /// Granting a lease.
    Grant,
    /// Renewing a lease.
    Renew,
    /// Revoking a lease.
    Revoke,
    /// Reading the VM list.
    ListVms,
}

/// A call to the platform that failed.
#[derive(Debug, Error)]
#[error("platform call {step}: {source}")]
pub struct StoreError {
    /// Call that failed.
    pub step: StoreStep,
    /// Step and peer of the HTTP exchange.
    pub source: HttpError,
}

impl StoreError {
    /// Whether a write may have taken effect all the same.
    pub fn is_outcome_unknown(&self) -> bool {
        let refused = matches!(self.source.kind, HttpErrorKind::Status(status)
            if status.is_client_error());
        self.step == StoreStep::Write && !self.source.is_unsent() && !refused
    }

    /// Whether a watch failed because the changes it asked for are not kept any more.
    pub fn is_history_compacted(&self) -> bool {
        matches!(self.source.kind, HttpErrorKind::Status(StatusCode::GONE))
    }
}
