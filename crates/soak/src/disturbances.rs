//! When something unplanned struck, and whom. A promise with a bound in time holds
//! only for relays that nothing struck for a while.

use std::collections::HashMap;

use parsleylatch_types::{Millis, MonoTime};

/// Time after a disturbance in which bounds do not hold yet.
pub(crate) const SETTLE_MS: Millis = Millis::new(4_000);

/// Whom a disturbance strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Scope {
    /// One relay: its process or its links.
    Relay(usize),
    /// The store, or endpoints: every relay.
    Shared,
}

/// Disturbances so far.
#[derive(Debug, Default)]
pub(crate) struct DisturbanceLog {
    /// Start and end of each; one that lasts has no end.
    by_scope: HashMap<Scope, Vec<(MonoTime, Option<MonoTime>)>>,
}

impl DisturbanceLog {
    /// Notes a disturbance from now on; returns its number in the scope.
    pub(crate) fn begin(&mut self, now: MonoTime, scope: Scope) -> usize {
        let intervals = self.by_scope.entry(scope).or_default();
        intervals.push((now, None));
        intervals.len() - 1
    }

    /// Notes the end of a disturbance.
    pub(crate) fn end(&mut self, now: MonoTime, scope: Scope, number: usize) {
        let intervals = self.by_scope.get_mut(&scope);
        if let Some((_, end)) = intervals.and_then(|it| it.get_mut(number)) {
            *end = Some(now);
        }
    }

    /// Whether nothing struck from some time before `from` until `to`.
    pub(crate) fn is_undisturbed(&self, scope: Scope, from: MonoTime, to: MonoTime) -> bool {
        let intervals = self.by_scope.get(&scope).into_iter().flatten();
        let mut overlapping = intervals
            .filter(|(start, end)| *start <= to && end.is_none_or(|end| end + SETTLE_MS >= from));
        overlapping.next().is_none()
    }
}
