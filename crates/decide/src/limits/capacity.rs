//! Places at a model's engines, and how many of them are taken.

use std::collections::{BTreeMap, VecDeque};

use parsleylatch_settings::Tier;
use parsleylatch_types::{Millis, ModelId, MonoTime, Percent, RequestCount};

use crate::view::{EndpointCondition, EndpointKind, Snapshot};

/// Part of the places that free requests may take together.
pub(crate) const FREE_SHARE: Percent = Percent::new(60);
/// Part of the places beyond which no free request is admitted.
pub(crate) const FREE_CEILING: Percent = Percent::new(75);
/// Part of the places beyond which paying requests wait at the node. Above the
/// whole, because reports are late and the engines have queues of their own.
const PAYING_CEILING: Percent = Percent::new(105);

/// Age that a load report may have when it is used.
pub(crate) const REPORT_LAG_MS: Millis = Millis::new(1_200);

/// Places of one model, as of the last load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelCapacity {
    /// Streams that the model's engines can run at once.
    pub places: RequestCount,
    /// Streams that run or wait there.
    pub busy: RequestCount,
}

/// Places of every model, and how many admitters share them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CapacityView {
    /// Places by model.
    pub models: BTreeMap<ModelId, ModelCapacity>,
    /// Traffic threads of all live nodes.
    pub sharers: RequestCount,
    /// Whether the node takes new requests.
    pub accepting: bool,
}

impl CapacityView {
    /// Reads the places from a snapshot.
    pub fn of_snapshot(snapshot: &Snapshot, threads_per_node: usize) -> Self {
        let mut models: BTreeMap<ModelId, ModelCapacity> = BTreeMap::new();
        for endpoint in &snapshot.endpoints {
            let EndpointKind::Engine { model, .. } = &endpoint.kind else {
                continue;
            };
            if endpoint.condition != EndpointCondition::Live {
                continue;
            }
            let capacity = models.entry(model.clone()).or_default();
            capacity.places = capacity.places.saturating_add(endpoint.places());
            let busy = endpoint
                .reported_running
                .saturating_add(endpoint.reported_waiting);
            capacity.busy = capacity.busy.saturating_add(busy);
        }
        let nodes = 1 + snapshot.peers.iter().filter(|peer| peer.live).count();
        let sharers = RequestCount::new((nodes * threads_per_node) as u64);
        Self {
            models,
            sharers,
            accepting: snapshot.accepting,
        }
    }
}

/// Requests of one model that this thread has admitted.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalUse {
    paying: u64,
    free: u64,
    /// Times of the admissions that no load report may tell of yet.
    unreported: VecDeque<MonoTime>,
}

impl LocalUse {
    pub(crate) fn admit(&mut self, now: MonoTime, tier: Tier) {
        *self.of_tier(tier) += 1;
        self.unreported.push_back(now);
    }

    pub(crate) fn release(&mut self, tier: Tier) {
        let count = self.of_tier(tier);
        *count = count.saturating_sub(1);
    }

    /// Forgets the admissions that the load reports tell of by now.
    pub(crate) fn advance(&mut self, now: MonoTime) {
        while self
            .unreported
            .front()
            .is_some_and(|at| *at + REPORT_LAG_MS <= now)
        {
            self.unreported.pop_front();
        }
    }

    fn of_tier(&mut self, tier: Tier) -> &mut u64 {
        match tier {
            Tier::Paying => &mut self.paying,
            Tier::Free => &mut self.free,
        }
    }
}

/// Whether a request of a tier gets a place now.
pub(crate) fn has_room(
    capacity: ModelCapacity,
    sharers: RequestCount,
    local: &LocalUse,
    tier: Tier,
) -> bool {
    let (places, busy) = (capacity.places.get(), capacity.busy.get());
    let unreported = local.unreported.len() as u64;
    match tier {
        Tier::Paying => busy + unreported < part(places, PAYING_CEILING).max(1),
        Tier::Free => {
            let sharers = sharers.get().max(1);
            let own_share = (part(places, FREE_SHARE) / sharers).max(1);
            let assumed = busy + unreported * sharers;
            local.free < own_share && assumed < part(places, FREE_CEILING)
        }
    }
}

/// Part of a number of places.
pub(crate) fn part(places: u64, share: Percent) -> u64 {
    places * u64::from(share.get()) / 100
}
