//! Query for the engines that hold prompts in their KV cache.

use std::{cell::RefCell, collections::HashMap};

use parsleylatch_decide::relay::EndpointKey;
use parsleylatch_types::{MonoTime, PromptPartId};
use tokio::sync::watch;

/// Prompt parts reported by the engines of a service so far.
pub(crate) struct HolderQuery {
    pub(super) started_at: MonoTime,
    pub(super) holders: RefCell<HashMap<PromptPartId, EndpointKey>>,
    /// Number of engines that have not responded yet.
    pub(super) unanswered: watch::Sender<usize>,
}

impl HolderQuery {
    /// Waits for an engine that has a part; `None` if all have responded without it.
    pub(super) async fn wait_for(&self, part: &PromptPartId) -> Option<EndpointKey> {
        let mut unanswered = self.unanswered.subscribe();
        loop {
            let found = self.holders.borrow().get(part).cloned();
            if found.is_some() || *unanswered.borrow_and_update() == 0 {
                return found;
            }
            // The sender lives as long as `self`.
            unanswered.changed().await.ok()?;
        }
    }
}
