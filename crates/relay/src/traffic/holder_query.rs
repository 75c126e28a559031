//! What engines have told of the prompts in their memory.

use std::{cell::RefCell, collections::HashMap};

use parsleylatch_decide::relay::EndpointKey;
use parsleylatch_types::{MonoTime, PromptPartId};
use tokio::sync::watch;

/// What the engines of a service have in their memory, as far as they have answered.
pub(crate) struct HolderQuery {
    pub(super) started_at: MonoTime,
    pub(super) holders: RefCell<HashMap<PromptPartId, EndpointKey>>,
    /// Engines that have not answered yet.
    pub(super) unanswered: watch::Sender<usize>,
}

impl HolderQuery {
    /// Engine that has a part; `None` if all have answered without it.
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
