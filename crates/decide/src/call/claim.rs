//! Claims: records in the store for calls that may run at most once.

use std::{fmt, num::ParseIntError, str::FromStr, sync::Arc};

use parsleylatch_types::{
    Millis, NodeId, OperationName, RequestId, Revision, ServiceName, UnixMillis, WorkspaceId,
};
use xxhash_rust::xxh3::Xxh3;

use crate::refusal::{Refusal, RefusalKind};

/// Retention time of claims, counted from the creation of the request id.
pub const CLAIM_RETENTION_MS: Millis = Millis::new(24 * 60 * 60 * 1_000);
/// Maximum difference between the clocks of callers and nodes.
pub const MAX_CLOCK_SKEW_MS: Millis = Millis::new(5 * 60 * 1_000);
/// Maximum age at which an id is treated as new without asking the store.
const MAX_NEW_ID_AGE_MS: Millis = Millis::new(1_000);
/// Radix of the text representations.
const HEX_RADIX: u32 = 16;

/// Random number that distinguishes the claims of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClaimNonce(u64);

impl ClaimNonce {
    /// Nonce of a claim that can't be decoded.
    pub const UNREADABLE: Self = Self(0);

    /// Wraps a random number.
    pub const fn new(value: u64) -> Self {
        Self(value)
    }
}

impl fmt::Display for ClaimNonce {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for ClaimNonce {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, HEX_RADIX).map(Self)
    }
}

/// Digest of a call's service, operation and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallDigest(u128);

impl CallDigest {
    /// Computes the digest of a call.
    pub fn of_call(service: &ServiceName, operation: &OperationName, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        // Names contain no slash, so the parts are delimited unambiguously.
        for part in [service.as_str(), "/", operation.as_str(), "/"] {
            hasher.update(part.as_bytes());
        }
        hasher.update(body);
        Self(hasher.digest128())
    }
}

impl fmt::Display for CallDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl FromStr for CallDigest {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, HEX_RADIX).map(Self)
    }
}

/// Answer of a service, forwarded unchanged.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CallAnswer {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Arc<[u8]>,
}

/// Outcome of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum ClaimOutcome {
    /// The node that made the claim may be sending the call.
    Pending,
    /// The service answered.
    Answered(CallAnswer),
    /// The call was sent, and no answer was received.
    Unknown,
    /// Nothing was or will be sent under the claim; any node may claim the call again.
    Released,
}

/// Claim as stored under its key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Node that made the claim.
    pub node: NodeId,
    /// Distinguishes this claim from other claims of the request.
    pub nonce: ClaimNonce,
    /// Digest of the call.
    pub digest: CallDigest,
    /// Time of the claim by the node's clock.
    pub claimed_at_unix_ms: UnixMillis,
    /// Outcome of the call.
    pub outcome: ClaimOutcome,
}

impl Claim {
    /// Copy of the claim with another outcome.
    #[must_use]
    pub fn with_outcome(&self, outcome: ClaimOutcome) -> Self {
        Self {
            outcome,
            ..self.clone()
        }
    }
}

/// Claim read from the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoredClaim {
    /// Claim.
    pub claim: Claim,
    /// Revision of the key.
    pub revision: Revision,
}

/// Checks the time in a request id, since claims of expired ids may be deleted.
///
/// # Errors
/// `Expired` for an id older than the retention time of claims, `BadRequest` for
/// an id from the future.
pub fn check_age(id: RequestId, now: UnixMillis) -> Result<(), Refusal> {
    let created_at = id.created_at();
    if now.since(created_at) > CLAIM_RETENTION_MS {
        let detail = format!(
            "the request id is older than {CLAIM_RETENTION_MS}; whether it ran is not known any more"
        );
        return Err(Refusal::may_have_run(RefusalKind::Expired, detail));
    }
    if created_at.since(now) > MAX_CLOCK_SKEW_MS {
        let detail = "the time in the request id lies ahead; check the caller's clock";
        return Err(Refusal::not_run(RefusalKind::BadRequest, detail));
    }
    Ok(())
}

/// Whether an id is so new that no node that has seen it can have stopped since.
pub fn is_new_id(id: RequestId, now: UnixMillis) -> bool {
    let created_at = id.created_at();
    now.since(created_at).max(created_at.since(now)) <= MAX_NEW_ID_AGE_MS
}

/// Creation time before which every node refuses an id as expired, whatever the
/// clock skew between nodes.
pub(crate) fn deletion_cutoff(now: UnixMillis) -> UnixMillis {
    let margin = MAX_CLOCK_SKEW_MS.saturating_add(MAX_CLOCK_SKEW_MS);
    let age = CLAIM_RETENTION_MS.saturating_add(margin);
    UnixMillis::new(now.get().saturating_sub(age.get()))
}

/// Whether a claim may be deleted.
pub fn may_delete(id: RequestId, now: UnixMillis) -> bool {
    id.created_at() < deletion_cutoff(now)
}
