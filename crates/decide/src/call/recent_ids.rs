//! Request ids that a node has claimed, or tried to, in the last minutes.
//!
//! While the store is out, the nodes tell one another from this whether a
//! request is new. An id that is asked for looks new by its own time, which may
//! be wrong by [`MAX_CLOCK_SKEW_MS`]; ids are kept for longer than that.

use std::collections::HashSet;

use parsleylatch_types::{Millis, MonoTime, RequestId};

use super::claim::MAX_CLOCK_SKEW_MS;

/// Time for which ids are kept at least; longer than the clocks differ.
const RETENTION_MS: Millis = MAX_CLOCK_SKEW_MS.saturating_add(Millis::new(60_000));
/// Most ids of one period; with more, every id counts as known.
const MAX_IDS_PER_PERIOD: usize = 100_000;

/// Ids of this period and the one before.
#[derive(Clone, Debug, Default)]
pub struct RecentIds {
    current: HashSet<RequestId>,
    previous: HashSet<RequestId>,
    current_since: MonoTime,
}

impl RecentIds {
    /// Notes an id; returns whether it was known.
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

    /// Forgets an id under which nothing was sent, nor will be.
    pub fn remove(&mut self, id: RequestId) {
        self.current.remove(&id);
        self.previous.remove(&id);
    }

    /// Whether an id may have been noted.
    pub fn may_contain(&self, id: RequestId) -> bool {
        let is_full = [&self.current, &self.previous]
            .iter()
            .any(|ids| ids.len() >= MAX_IDS_PER_PERIOD);
        is_full || self.current.contains(&id) || self.previous.contains(&id)
    }
}
