//! Log of unplanned disturbances and the relays that they affect. Invariants with a time
//! bound are only checked for relays that have been undisturbed for some time.

use std::collections::HashMap;

use parsleylatch_types::{Millis, MonoTime};

/// Time after a disturbance during which time bounds are not checked.
pub(crate) const SETTLE_MS: Millis = Millis::new(4_000);

/// Which relays a disturbance affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Scope {
    /// One relay: a fault of its process or its links.
    Relay(usize),
    /// All relays: a fault of the store or an endpoint.
    Shared,
}

/// All disturbances of a run.
#[derive(Debug, Default)]
pub(crate) struct DisturbanceLog {
    /// Start and end of each disturbance; an ongoing one has no end.
    by_scope: HashMap<Scope, Vec<(MonoTime, Option<MonoTime>)>>,
}

impl DisturbanceLog {
    /// Records the start of a disturbance and returns its number within the scope.
    pub(crate) fn begin(&mut self, now: MonoTime, scope: Scope) -> usize {
        let intervals = self.by_scope.entry(scope).or_default();
        intervals.push((now, None));
        intervals.len() - 1
    }

    /// Records the end of a disturbance.
    pub(crate) fn end(&mut self, now: MonoTime, scope: Scope, number: usize) {
        let intervals = self.by_scope.get_mut(&scope);
        if let Some((_, end)) = intervals.and_then(|it| it.get_mut(number)) {
            *end = Some(now);
        }
    }

    /// Whether no disturbance overlaps the time from [`SETTLE_MS`] before `from` until `to`.
    pub(crate) fn is_undisturbed(&self, scope: Scope, from: MonoTime, to: MonoTime) -> bool {
        let intervals = self.by_scope.get(&scope).into_iter().flatten();
        let mut overlapping = intervals
            .filter(|(start, end)| *start <= to && end.is_none_or(|end| end + SETTLE_MS >= from));
        overlapping.next().is_none()
    }
}
