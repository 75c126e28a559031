//! Request ids that a node has claimed, or tried to, in the last minutes.
//!
//! While the store is out, the nodes tell one another from this whether a
//! request is new. An id that is asked for looks new by its own time, which may
//! be wrong by [`CLOCK_SKEW_MS`]; ids are kept for longer than that.

use std::collections::HashSet;

use parsleylatch_types::{Millis, MonoTime, RequestId};

use super::claim::CLOCK_SKEW_MS;

/// Time for which ids are kept at least; longer than the clocks differ.
const KEPT_MS: Millis = CLOCK_SKEW_MS.saturating_add(Millis::new(60_000));
/// Most ids of one period; with more, every id counts as known.
const PERIOD_LIMIT: usize = 100_000;

/// Ids of this period and the one before.
#[derive(Clone, Debug, Default)]
pub struct RecentIds {
    current: HashSet<RequestId>,
    earlier: HashSet<RequestId>,
    current_since: MonoTime,
}

impl RecentIds {
    /// Notes an id; returns whether it was known.
    pub fn record(&mut self, now: MonoTime, id: RequestId) -> bool {
        if now.since(self.current_since) >= KEPT_MS.micros() {
            self.earlier = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        let known = self.may_contain(id);
        if self.current.len() < PERIOD_LIMIT {
            self.current.insert(id);
        }
        known
    }

    /// Forgets an id under which nothing was sent, nor will be.
    pub fn remove(&mut self, id: RequestId) {
        self.current.remove(&id);
        self.earlier.remove(&id);
    }

    /// Whether an id may have been noted.
    pub fn may_contain(&self, id: RequestId) -> bool {
        let is_full = [&self.current, &self.earlier]
            .iter()
            .any(|ids| ids.len() >= PERIOD_LIMIT);
        is_full || self.current.contains(&id) || self.earlier.contains(&id)
    }
}
