//! Request ids that a node has claimed, or tried to claim, in the last minutes.
//!
//! While the store is unavailable, nodes use these ids to tell each other whether
//! a request is new. Nodes are asked only about ids that are new by their own
//! timestamp, which may be off by [`MAX_CLOCK_SKEW_MS`]; ids are retained for
//! longer than that.

use std::collections::HashSet;

use parsleylatch_types::{Millis, MonoTime, RequestId};

use super::claim::MAX_CLOCK_SKEW_MS;

/// Minimum retention time of ids; longer than the maximum clock skew.
const RETENTION_MS: Millis = MAX_CLOCK_SKEW_MS.saturating_add(Millis::new(60_000));
/// Maximum number of ids per period; at this limit every id is reported as known.
const MAX_IDS_PER_PERIOD: usize = 100_000;

/// Ids of the current and the previous period.
#[derive(Clone, Debug, Default)]
pub struct RecentIds {
    current: HashSet<RequestId>,
    previous: HashSet<RequestId>,
    current_since: MonoTime,
}

impl RecentIds {
    /// Records an id; returns whether it may have been recorded before.
    pub fn record(&mut self, now: MonoTime, id: RequestId) -> bool {
        if now.since(self.current_since) >= RETENTION_MS.micros() {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        let was_recorded = self.may_contain(id);
        if self.current.len() < MAX_IDS_PER_PERIOD {
            self.current.insert(id);
        }
        was_recorded
    }

    /// Removes an id under which nothing was or will be sent.
    pub fn remove(&mut self, id: RequestId) {
        self.current.remove(&id);
        self.previous.remove(&id);
    }

    /// Whether an id may have been recorded.
    pub fn may_contain(&self, id: RequestId) -> bool {
        let is_full = [&self.current, &self.previous]
            .iter()
            .any(|ids| ids.len() >= MAX_IDS_PER_PERIOD);
        is_full || self.current.contains(&id) || self.previous.contains(&id)
    }
}
