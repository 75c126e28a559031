//! Retries that a workspace may make, as a share of its calls.

use std::collections::HashMap;

use parsleylatch_types::WorkspaceId;

/// Credit that one call earns, in parts of the cost of a retry.
const CREDIT_PER_CALL: u32 = 1;
/// Credit that one retry costs; one call in ten may be retried.
const CREDIT_PER_RETRY: u32 = 10;
/// Most credit that is saved up, and what a new workspace starts with.
const CREDIT_LIMIT: u32 = 10 * CREDIT_PER_RETRY;

/// Token buckets by workspace, as one traffic thread keeps them.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    credits: HashMap<WorkspaceId, u32>,
}

impl RetryBudgets {
    /// Notes a call that was accepted.
    pub fn record_call(&mut self, workspace: &WorkspaceId) {
        let credit = self.credit(workspace);
        *credit = CREDIT_LIMIT.min(*credit + CREDIT_PER_CALL);
    }

    /// Takes one retry; `false` if the budget is used up.
    pub fn take_retry(&mut self, workspace: &WorkspaceId) -> bool {
        let credit = self.credit(workspace);
        let allowed = *credit >= CREDIT_PER_RETRY;
        if allowed {
            *credit -= CREDIT_PER_RETRY;
        }
        allowed
    }

    fn credit(&mut self, workspace: &WorkspaceId) -> &mut u32 {
        self.credits
            .entry(workspace.clone())
            .or_insert(CREDIT_LIMIT)
    }
}
