//! Calls of plain services.
//!
//! A call that may not be repeated is claimed in the store first, by creating a
//! key under its request id. Only the node whose claim is confirmed sends it,
//! and nobody ever ends the claim of another node, so that at-most-once rests
//! on the store's create-if-absent alone and on no clock. A claim ends with the
//! answer, with "unknown", or with its release. A released claim stays in its
//! key, so that a claim write that takes effect late finds the key taken.

mod claim;
mod free_claims;
mod idempotent;
mod once_only;
mod recent_ids;
mod retry_budget;
mod settlement;
mod store_health;
mod sweep;
mod target;

use parsleylatch_chart::ChartError;

pub use claim::{
    CLAIM_RETENTION_MS, CallAnswer, CallDigest, Claim, ClaimNonce, ClaimOutcome, MAX_CLOCK_SKEW_MS,
    StoredClaim, check_age, looks_new, may_delete,
};
pub use free_claims::FreeClaimLimiter;
pub use idempotent::{IdempotentCall, IdempotentEffect, IdempotentInput};
pub use once_only::{CallEffect, CallInput, CallSpec, CallState, ClaimCondition, OnceOnlyCall};
pub use recent_ids::RecentIds;
pub use retry_budget::RetryBudgets;
pub use settlement::{
    Settlement, SettlementEffect, SettlementInput, SettlementSpec, SettlementState,
};
pub use store_health::StoreHealth;
pub use sweep::{ClaimBucket, ClaimSweep};
pub use target::choose_target;

pub(crate) fn verify_charts() -> Result<(), ChartError> {
    once_only::verify_chart()?;
    settlement::verify_chart()?;
    idempotent::verify_chart()
}
