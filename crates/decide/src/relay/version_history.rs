//! Versions that earlier orders of a service moved to, and how these orders ended.
//!
//! A version whose order was taken back has shown that it is bad, and one whose order was
//! replaced before its end has not shown that it is good. Neither gets requests of later
//! orders, nor are later versions compared with it.

use std::collections::{BTreeMap, BTreeSet};

use parsleylatch_types::{EndpointVersion, StorePosition};

use super::rollout::RolloutPhase;

/// Maximum number of versions; those of the oldest orders yield.
const VERSION_LIMIT: usize = 16;

/// Latest order for a version, as a later order found it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedOrder {
    /// Store position of the order.
    pub position: StorePosition,
    /// Its last phase; `Running` if it was replaced before its end.
    pub phase: RolloutPhase,
}

/// Earlier orders of a service, by the version they moved to.
#[derive(Debug, Default)]
pub(crate) struct VersionHistory {
    ended: BTreeMap<EndpointVersion, EndedOrder>,
    /// Versions that served requests beside the target of an earlier order.
    served: BTreeSet<EndpointVersion>,
}

impl VersionHistory {
    /// Records the end of an order; a later one for the same version counts.
    pub(crate) fn record(&mut self, version: &EndpointVersion, order: EndedOrder) {
        let known = self.ended.get(version);
        if known.is_some_and(|known| known.rank() >= order.rank()) {
            return;
        }
        self.ended.insert(version.clone(), order);
        if self.ended.len() > VERSION_LIMIT {
            let oldest = self.ended.iter().min_by_key(|(_, it)| it.position);
            let oldest = oldest.map(|(version, _)| version.clone());
            self.ended.retain(|it, _| Some(it) != oldest.as_ref());
        }
    }

    /// Records versions that served requests beside an order's target.
    pub(crate) fn record_served<Versions>(&mut self, versions: Versions)
    where
        Versions: IntoIterator<Item = EndpointVersion>,
    {
        self.served.extend(versions);
        while self.served.len() > VERSION_LIMIT {
            self.served.pop_first();
        }
    }

    /// Known ends of orders.
    pub(crate) fn ended(&self) -> impl Iterator<Item = (&EndpointVersion, &EndedOrder)> {
        self.ended.iter()
    }

    /// Versions that get no requests while an order for `target` is in force. A version whose
    /// order was replaced is admitted if no other one is listed: its end may have been missed.
    pub(crate) fn rejected(
        &self,
        target: &EndpointVersion,
        listed: &BTreeSet<EndpointVersion>,
    ) -> BTreeSet<EndpointVersion> {
        let with_phase = |phase: RolloutPhase| {
            let found = self.ended.iter().filter(move |(_, it)| it.phase == phase);
            found.map(|(version, _)| version).filter(|it| *it != target)
        };
        let bad: BTreeSet<_> = with_phase(RolloutPhase::TakenBack).cloned().collect();
        let unproven = with_phase(RolloutPhase::Running).cloned();
        let with_unproven: BTreeSet<_> = bad.iter().cloned().chain(unproven).collect();
        match has_other(target, listed, &with_unproven) {
            true => with_unproven,
            false => bad,
        }
    }

    /// Whether all requests may go to `target`: it has served before its order, and no other
    /// version that may get requests is listed.
    pub(crate) fn is_only_choice(
        &self,
        target: &EndpointVersion,
        listed: &BTreeSet<EndpointVersion>,
    ) -> bool {
        let ended = self.ended.get(target);
        let is_proven = ended.is_some_and(|it| it.phase == RolloutPhase::Done)
            || ended.is_none() && self.served.contains(target);
        let rejected = self.rejected(target, listed);
        is_proven && listed.contains(target) && !has_other(target, listed, &rejected)
    }
}

impl EndedOrder {
    /// Creates the record of an order that was last seen in `phase`.
    pub fn new(position: StorePosition, phase: RolloutPhase) -> Self {
        Self { position, phase }
    }

    /// Of two records of one order, the one that knows its end counts.
    fn rank(&self) -> (StorePosition, u8) {
        let certainty = match self.phase {
            RolloutPhase::Running => 0,
            RolloutPhase::Done => 1,
            RolloutPhase::TakenBack => 2,
        };
        (self.position, certainty)
    }
}

/// Whether a version beside the target and the rejected ones is listed.
fn has_other(
    target: &EndpointVersion,
    listed: &BTreeSet<EndpointVersion>,
    rejected: &BTreeSet<EndpointVersion>,
) -> bool {
    listed
        .iter()
        .any(|it| it != target && !rejected.contains(it))
}
