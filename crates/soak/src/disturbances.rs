//! Log of unplanned disturbances and what they affect. Invariants with a time bound are only
//! checked for relays that have been undisturbed for some time.

use std::collections::HashMap;

use parsleylatch_types::{EndpointId, Millis, MonoTime};

/// Time after a disturbance during which time bounds are not checked.
pub const SETTLE_MS: Millis = Millis::new(4_000);

/// What a disturbance affects.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Scope {
    /// One relay: a fault of its process or its links.
    Relay(usize),
    /// The store, and so all relays.
    Store,
    /// An endpoint, and so all relays.
    Endpoint(EndpointId),
}

/// All disturbances of a run.
#[derive(Debug, Default)]
pub struct DisturbanceLog {
    /// Start and end of each disturbance; an ongoing one has no end.
    by_scope: HashMap<Scope, Vec<(MonoTime, Option<MonoTime>)>>,
}

impl DisturbanceLog {
    /// Records the start of a disturbance and returns its number within the scope.
    pub fn begin(&mut self, now: MonoTime, scope: Scope) -> usize {
        let intervals = self.by_scope.entry(scope).or_default();
        intervals.push((now, None));
        intervals.len() - 1
    }

    /// Records the end of a disturbance.
    pub fn end(&mut self, now: MonoTime, scope: &Scope, number: usize) {
        let intervals = self.by_scope.get_mut(scope);
        if let Some((_, end)) = intervals.and_then(|it| it.get_mut(number)) {
            *end = Some(now);
        }
    }

    /// Whether no disturbance of the chosen scopes overlaps the time from [`SETTLE_MS`] before
    /// `from` until `to`.
    pub(crate) fn is_undisturbed(
        &self,
        from: MonoTime,
        to: MonoTime,
        is_chosen: impl Fn(&Scope) -> bool,
    ) -> bool {
        let chosen = self.by_scope.iter().filter(|(scope, _)| is_chosen(scope));
        let mut overlapping = chosen
            .flat_map(|(_, intervals)| intervals)
            .filter(|(start, end)| *start <= to && end.is_none_or(|end| end + SETTLE_MS >= from));
        overlapping.next().is_none()
    }
}
