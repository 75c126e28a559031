//! The parts of a request's prompt.

use std::{collections::BTreeSet, sync::Arc};

use parsleylatch_types::PromptPartId;

/// Maximum number of shared parts that are kept of a prompt; further ones are dropped.
const SHARED_PART_LIMIT: usize = 32;

/// Parts of a prompt in order.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptChain {
    shared: Arc<[PromptPartId]>,
    last: Option<PromptPartId>,
}

impl PromptChain {
    /// Creates a chain from the parts that other requests may share, and the last part.
    pub fn new<Shared>(shared: Shared, last: Option<PromptPartId>) -> Self
    where
        Shared: IntoIterator<Item = PromptPartId>,
    {
        Self {
            shared: shared.into_iter().take(SHARED_PART_LIMIT).collect(),
            last,
        }
    }

    /// Parts that other requests may share.
    pub fn shared(&self) -> &[PromptPartId] {
        &self.shared
    }

    /// Last part, which belongs to the request or to its session.
    pub fn last(&self) -> Option<&PromptPartId> {
        self.last.as_ref()
    }

    /// Whether the request itself has been answered, if these parts are cleared.
    pub(super) fn is_answered(&self, cleared: &BTreeSet<PromptPartId>) -> bool {
        match &self.last {
            Some(last) => cleared.contains(last),
            None => self.shared.iter().all(|part| cleared.contains(part)),
        }
    }

    /// Whether a part is among the parts of the prompt.
    pub(super) fn contains(&self, part: &PromptPartId) -> bool {
        self.parts().any(|known| known == part)
    }

    /// All parts.
    pub fn parts(&self) -> impl Iterator<Item = &PromptPartId> {
        self.shared.iter().chain(&self.last)
    }
}
