//! Slots at the engines of each model, and their utilization.

use std::collections::{BTreeMap, VecDeque};

use parsleylatch_settings::Tier;
use parsleylatch_types::{Millis, ModelId, MonoTime, Percent, RequestCount};

use crate::view::{EndpointCondition, EndpointKind, Snapshot};

/// Share of the slots that free requests may occupy in total.
pub(crate) const FREE_SHARE: Percent = Percent::new(60);
/// Utilization from which on no free request is admitted.
pub(crate) const FREE_UTILIZATION_LIMIT: Percent = Percent::new(75);
/// Utilization from which on paying requests wait at the node. It exceeds 100 %
/// because load reports are delayed and the engines have queues of their own.
const PAYING_UTILIZATION_LIMIT: Percent = Percent::new(105);

/// Largest age of a load report in use; earlier admissions are included in it.
pub(crate) const LOAD_REPORT_MAX_AGE_MS: Millis = Millis::new(1_200);

/// Slots of one model, as of the latest load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ModelCapacity {
    /// Streams that the model's engines can run concurrently.
    pub slots: RequestCount,
    /// Streams that are running or queued there.
    pub busy: RequestCount,
}

/// Slots of every model, and the number of traffic threads that share them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CapacityView {
    /// Slots by model.
    pub models: BTreeMap<ModelId, ModelCapacity>,
    /// Traffic threads on all live nodes.
    pub cluster_threads: RequestCount,
    /// Whether the node accepts new requests.
    pub accepting: bool,
}

impl CapacityView {
    /// Sums up the slots of the live engines in a snapshot.
    pub fn from_snapshot(snapshot: &Snapshot, threads_per_node: usize) -> Self {
        let mut models: BTreeMap<ModelId, ModelCapacity> = BTreeMap::new();
        for endpoint in &snapshot.endpoints {
            let EndpointKind::Engine { model, .. } = &endpoint.kind else {
                continue;
            };
            if endpoint.condition != EndpointCondition::Live {
                continue;
            }
            let capacity = models.entry(model.clone()).or_default();
            capacity.slots = capacity.slots.saturating_add(endpoint.slots());
            let busy = endpoint
                .reported_running
                .saturating_add(endpoint.reported_waiting);
            capacity.busy = capacity.busy.saturating_add(busy);
        }
        let nodes = 1 + snapshot.peers.iter().filter(|peer| peer.live).count();
        let cluster_threads = RequestCount::new((nodes * threads_per_node) as u64);
        Self {
            models,
            cluster_threads,
            accepting: snapshot.accepting,
        }
    }
}

/// Requests for one model that this thread has admitted.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalUsage {
    paying: u64,
    free: u64,
    /// Times of the admissions that load reports may not include yet.
    unreported: VecDeque<MonoTime>,
}

impl LocalUsage {
    pub(crate) fn admit(&mut self, now: MonoTime, tier: Tier) {
        *self.tier_count(tier) += 1;
        self.unreported.push_back(now);
    }

    pub(crate) fn release(&mut self, tier: Tier) {
        let count = self.tier_count(tier);
        *count = count.saturating_sub(1);
    }

    /// Drops the admissions that load reports include by now.
    pub(crate) fn drop_reported(&mut self, now: MonoTime) {
        while self
            .unreported
            .front()
            .is_some_and(|at| *at + LOAD_REPORT_MAX_AGE_MS <= now)
        {
            self.unreported.pop_front();
        }
    }

    fn tier_count(&mut self, tier: Tier) -> &mut u64 {
        match tier {
            Tier::Paying => &mut self.paying,
            Tier::Free => &mut self.free,
        }
    }
}

/// Whether a request of `tier` may be admitted now.
pub(crate) fn has_free_slot(
    capacity: ModelCapacity,
    cluster_threads: RequestCount,
    local: &LocalUsage,
    tier: Tier,
) -> bool {
    let (slots, busy) = (capacity.slots.get(), capacity.busy.get());
    let unreported = local.unreported.len() as u64;
    match tier {
        Tier::Paying => busy + unreported < percent_of(slots, PAYING_UTILIZATION_LIMIT).max(1),
        Tier::Free => {
            let cluster_threads = cluster_threads.get().max(1);
            let thread_share = (percent_of(slots, FREE_SHARE) / cluster_threads).max(1);
            let estimated_busy = busy + unreported * cluster_threads;
            local.free < thread_share && estimated_busy < percent_of(slots, FREE_UTILIZATION_LIMIT)
        }
    }
}

/// Share of a number of slots, rounded down.
pub(crate) fn percent_of(slots: u64, share: Percent) -> u64 {
    slots * u64::from(share.get()) / 100
}
