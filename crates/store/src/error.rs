//! Errors of platform calls.

use http::StatusCode;
use parsleylatch_http::{HttpError, HttpErrorKind};
use parsleylatch_types::EraReading;
use strum::Display;
use thiserror::Error;

/// Kind of platform call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum StoreStep {
    /// Reading one key.
    Read,
    /// Listing a prefix.
    List,
    /// Watching a prefix for changes.
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

/// Error of a platform call.
#[derive(Debug, Error)]
#[error("platform call {step}: {source}")]
pub struct StoreError {
    /// Kind of call that failed.
    pub step: StoreStep,
    /// Error of the HTTP call.
    pub source: HttpError,
    /// Era that the response states, if there is a response.
    pub era: Option<EraReading>,
}

impl StoreError {
    /// Whether this is a failed write that may have taken effect nevertheless.
    pub fn is_outcome_unknown(&self) -> bool {
        let refused = matches!(self.source.kind, HttpErrorKind::Status(status)
            if status.is_client_error());
        self.step == StoreStep::Write && !self.source.is_unsent() && !refused
    }

    /// Whether a watch failed because the store no longer keeps the requested changes.
    pub fn is_history_compacted(&self) -> bool {
        matches!(self.source.kind, HttpErrorKind::Status(StatusCode::GONE))
    }
}
