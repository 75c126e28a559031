//! Refusals and failures that are reported to the caller.

use parsleylatch_types::Millis;
use strum::{Display, EnumString, IntoStaticStr};

/// Why a request was refused, or its answer is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RefusalKind {
    /// The body or a header does not have the documented format.
    BadRequest,
    /// The body exceeds the node's size limit.
    BodyTooLarge,
    /// The caller key belongs to no workspace.
    WrongKey,
    /// The workspace may not use the model, service or operation.
    NotAllowed,
    /// The request, service or route does not exist.
    NotFound,
    /// The request id was already used with a different body.
    RequestIdReused,
    /// The request id is older than the retention period of answers.
    Expired,
    /// The tier, workspace or node has no capacity left.
    Overloaded,
    /// No endpoint can accept the request.
    NoEndpoint,
    /// All attempts failed.
    AttemptsExhausted,
    /// The node is stopping.
    Stopping,
    /// The call needs the platform's store, which is unreachable.
    StoreUnavailable,
    /// The call may or may not have run, and will not be retried.
    OutcomeUnknown,
    /// Another node has taken over the request.
    Superseded,
}

/// A refusal, or the failure of an accepted request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Category of the refusal.
    pub kind: RefusalKind,
    /// Human-readable explanation.
    pub detail: String,
    /// Whether it is certain that no part of the request was sent to a backend.
    pub not_run: bool,
    /// Delay after which a retry may succeed.
    pub retry_after_ms: Option<Millis>,
}

impl Refusal {
    /// Refusal of a request of which no part was sent to a backend.
    pub fn not_run(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            not_run: true,
            retry_after_ms: None,
        }
    }

    /// Failure of a request that may have run, at least in part.
    pub fn may_have_run(kind: RefusalKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            not_run: false,
            retry_after_ms: None,
        }
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn retry_after(mut self, delay_ms: Millis) -> Self {
        self.retry_after_ms = Some(delay_ms);
        self
    }
}
