//! Calls of plain services.
//!
//! A call that is not idempotent is first claimed in the store, by creating a
//! key under its request id. Only the node whose claim is confirmed sends the
//! call, and no node ends the claim of another one. At-most-once execution
//! therefore depends only on the store's create-if-absent operation, not on
//! clocks. A claim ends with the answer, with "unknown", or with its release. A
//! released claim stays in the store, so that a delayed claim write fails
//! because the key exists.

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
    StoredClaim, check_age, is_new_id, may_delete,
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
