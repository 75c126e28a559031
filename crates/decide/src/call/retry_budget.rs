//! Retry budget of a workspace, as a share of its calls.

use std::collections::HashMap;

use parsleylatch_types::WorkspaceId;

/// Credit earned by one call.
const CREDIT_PER_CALL: u32 = 1;
/// Credit spent on one retry; one call in ten may be retried.
const CREDIT_PER_RETRY: u32 = 10;
/// Maximum credit, which is also the initial credit of a workspace.
const CREDIT_LIMIT: u32 = 10 * CREDIT_PER_RETRY;

/// Token buckets of one traffic thread, by workspace.
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    credits: HashMap<WorkspaceId, u32>,
}

impl RetryBudgets {
    /// Records an accepted call.
    pub fn record_call(&mut self, workspace: &WorkspaceId) {
        let credit = self.credit(workspace);
        *credit = CREDIT_LIMIT.min(*credit + CREDIT_PER_CALL);
    }

    /// Takes one retry; `false` if the budget is exhausted.
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
