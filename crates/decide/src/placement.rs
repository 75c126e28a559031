//! Selection of the engine for an attempt.
//!
//! Engines in the node's own region are preferred. Among these, rendezvous hashing
//! of the prompt's prefix keeps prompts with the same prefix on the same few
//! engines, as long as the engine's load stays within a bound around the mean.
//! Above the bound, the next engine in hash order is chosen. The load is the
//! delayed load report of the engine plus the attempts that this thread has placed
//! there since, so that nodes don't all follow one report to the same engine.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
};

use parsleylatch_settings::{Tier, TokenTimeouts};
use parsleylatch_types::{
    EndpointId, EndpointVersion, Micros, Millis, ModelId, MonoTime, Region, RequestCount,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    generation::PlacementConstraints,
    limits::{FREE_SHARE, FREE_UTILIZATION_LIMIT, LOAD_REPORT_MAX_AGE_MS, percent_of},
    view::{EndpointCondition, EndpointKind, EndpointView, Snapshot},
};

/// Length of the prompt prefix that determines the affinity.
const AFFINITY_PREFIX_BYTES: usize = 256;
/// Load bound of an engine, in percent of the mean load.
const LOAD_BOUND_PERCENT: u64 = 125;
/// Smallest load bound, whatever the mean load is.
const MIN_LOAD_BOUND: u64 = 2;
/// Reciprocal of the weight of a new pace observation in the moving average.
const PACE_SMOOTHING: u64 = 4;
/// Pace that is assumed before the first observation.
const DEFAULT_PACE_US: Micros = Micros::new(27_000);
/// Time for which an endpoint that failed an attempt is ranked last.
const SUSPICION_MS: Millis = Millis::new(1_000);

/// Engine selected for an attempt, with the timeouts of the attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Id of the engine.
    pub endpoint: EndpointId,
    /// Address of the engine.
    pub address: SocketAddr,
    /// Version that the engine runs.
    pub endpoint_version: EndpointVersion,
    /// Timeout for the first token.
    pub first_token_timeout_ms: Millis,
    /// Timeout for each further token.
    pub token_timeout_ms: Millis,
}

/// Input to [`Placer::place`].
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Model that the engine has to serve.
    pub model: &'a ModelId,
    /// Prompt, whose prefix determines the affinity.
    pub prompt: &'a str,
    /// Allowed versions and endpoints that failed earlier attempts.
    pub constraints: &'a PlacementConstraints,
    /// Failure detection settings, from which the timeouts are derived.
    pub detection: &'a TokenTimeouts,
    /// Tier of the request.
    pub tier: Tier,
    /// Traffic threads on all live nodes.
    pub cluster_threads: RequestCount,
}

#[derive(Clone, Debug, Default)]
struct LocalLoad {
    in_flight: u64,
    free_in_flight: u64,
    /// Times of the placements that load reports may not include yet.
    unreported: VecDeque<MonoTime>,
    pace_us: Option<Micros>,
    suspect_until: Option<MonoTime>,
}

impl LocalLoad {
    fn unreported_at(&self, now: MonoTime) -> u64 {
        let reported = self
            .unreported
            .partition_point(|at| *at + LOAD_REPORT_MAX_AGE_MS <= now);
        (self.unreported.len() - reported) as u64
    }

    fn drop_reported(&mut self, now: MonoTime) {
        while self
            .unreported
            .front()
            .is_some_and(|at| *at + LOAD_REPORT_MAX_AGE_MS <= now)
        {
            self.unreported.pop_front();
        }
    }
}

/// Selects engines for the attempts of one traffic thread.
#[derive(Clone, Debug)]
pub struct Placer {
    region: Region,
    local: HashMap<EndpointId, LocalLoad>,
}

impl Placer {
    /// Creates a placer for a node in `region`.
    pub fn new(region: Region) -> Self {
        Self {
            region,
            local: HashMap::new(),
        }
    }

    /// Selects an engine and counts the attempt as running there.
    pub fn place(
        &mut self,
        now: MonoTime,
        snapshot: &Snapshot,
        request: &PlacementRequest<'_>,
    ) -> Option<Placement> {
        let endpoint = self.choose(now, snapshot, request)?;
        let EndpointKind::Engine { version, .. } = &endpoint.kind else {
            return None;
        };
        let placement = Placement {
            endpoint: endpoint.id.clone(),
            address: endpoint.address,
            endpoint_version: version.clone(),
            first_token_timeout_ms: request.detection.first_token_timeout_ms,
            token_timeout_ms: self.token_timeout(endpoint, request.detection),
        };
        let load = self.local.entry(placement.endpoint.clone()).or_default();
        load.in_flight += 1;
        load.free_in_flight += u64::from(request.tier == Tier::Free);
        load.drop_reported(now);
        load.unreported.push_back(now);
        Some(placement)
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, endpoint: &EndpointId, tier: Tier) {
        if let Some(load) = self.local.get_mut(endpoint) {
            load.in_flight = load.in_flight.saturating_sub(1);
            let free_ended = u64::from(tier == Tier::Free);
            load.free_in_flight = load.free_in_flight.saturating_sub(free_ended);
        }
    }

    /// Records the mean time between tokens that an attempt observed.
    pub fn record_pace(&mut self, endpoint: &EndpointId, seen: Micros) {
        let load = self.local.entry(endpoint.clone()).or_default();
        load.pace_us = Some(load.pace_us.map_or(seen, |known| smooth(known, seen)));
    }

    /// Records a failed attempt, so that the endpoint is ranked last for a short time.
    pub fn record_fault(&mut self, now: MonoTime, endpoint: &EndpointId) {
        let load = self.local.entry(endpoint.clone()).or_default();
        load.suspect_until = Some(now + SUSPICION_MS);
    }

    /// Attempts of this thread that are running on an endpoint.
    pub fn in_flight(&self, endpoint: &EndpointId) -> u64 {
        self.local.get(endpoint).map_or(0, |load| load.in_flight)
    }

    fn choose<'a>(
        &self,
        now: MonoTime,
        snapshot: &'a Snapshot,
        request: &PlacementRequest<'_>,
    ) -> Option<&'a EndpointView> {
        let eligible = snapshot
            .endpoints
            .iter()
            .map(|endpoint| &**endpoint)
            .filter(|endpoint| {
                endpoint.serves(request.model, &request.constraints.endpoint_versions)
                    && endpoint.condition != EndpointCondition::Leaving
            });
        let ranked: Vec<(Rank, &EndpointView)> = eligible
            .map(|endpoint| (self.rank(now, endpoint, request), endpoint))
            .collect();
        let best = ranked.iter().map(|(rank, _)| *rank).min()?;
        let group: Vec<&EndpointView> = ranked
            .into_iter()
            .filter(|(rank, _)| *rank == best)
            .map(|(_, endpoint)| endpoint)
            .collect();
        self.choose_by_affinity(now, &group, request.prompt)
    }

    /// Rank of an endpoint; the smallest is preferred.
    fn rank(&self, now: MonoTime, endpoint: &EndpointView, request: &PlacementRequest<'_>) -> Rank {
        let failed = request.constraints.failed_endpoints.contains(&endpoint.id);
        let local = self.local.get(&endpoint.id);
        let suspected = local
            .and_then(|load| load.suspect_until)
            .is_some_and(|until| until > now);
        let suspect = endpoint.condition == EndpointCondition::Suspect || suspected;
        Rank {
            failed,
            suspect,
            full: !self.has_free_slot(now, endpoint, request),
            remote: endpoint.region != self.region,
        }
    }

    /// Whether the engine has a slot for the tier. Free requests leave slots for
    /// paying ones at each engine, not only across all engines of the model.
    fn has_free_slot(
        &self,
        now: MonoTime,
        endpoint: &EndpointView,
        request: &PlacementRequest<'_>,
    ) -> bool {
        let slots = endpoint.slots().get();
        let load = self.load(now, endpoint);
        match request.tier {
            Tier::Paying => load < slots,
            Tier::Free => {
                let local = self.local.get(&endpoint.id);
                let free_in_flight = local.map_or(0, |load| load.free_in_flight);
                let thread_share =
                    percent_of(slots, FREE_SHARE) / request.cluster_threads.get().max(1);
                free_in_flight < thread_share.max(1)
                    && load < percent_of(slots, FREE_UTILIZATION_LIMIT)
            }
        }
    }

    fn choose_by_affinity<'a>(
        &self,
        now: MonoTime,
        group: &[&'a EndpointView],
        prompt: &str,
    ) -> Option<&'a EndpointView> {
        let loads: Vec<u64> = group.iter().map(|it| self.load(now, it)).collect();
        let total: u64 = loads.iter().sum();
        let mean_bound = total * LOAD_BOUND_PERCENT / (100 * group.len().max(1) as u64);
        let bound = mean_bound.max(MIN_LOAD_BOUND);
        let prefix = &prompt.as_bytes()[..prompt.len().min(AFFINITY_PREFIX_BYTES)];
        let within_bound = group.iter().zip(&loads).filter(|(_, load)| **load <= bound);
        // The least loaded engine is always within the bound, so one is always found.
        within_bound
            .max_by_key(|(endpoint, _)| affinity(prefix, &endpoint.id))
            .map(|(endpoint, _)| *endpoint)
    }

    /// Reported load plus the placements that no report can include yet.
    fn load(&self, now: MonoTime, endpoint: &EndpointView) -> u64 {
        let reported = endpoint
            .reported_running
            .saturating_add(endpoint.reported_waiting);
        let local = self.local.get(&endpoint.id);
        let unreported = local.map_or(0, |load| load.unreported_at(now));
        (reported.get() + unreported).max(self.in_flight(&endpoint.id))
    }

    fn token_timeout(&self, endpoint: &EndpointView, detection: &TokenTimeouts) -> Millis {
        let local = self.local.get(&endpoint.id).and_then(|load| load.pace_us);
        let pace_us = local.or(endpoint.pace_us).unwrap_or(DEFAULT_PACE_US);
        let by_pace = pace_us
            .saturating_mul(detection.token_timeout_factor)
            .millis();
        by_pace.max(detection.token_timeout_min_ms)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    failed: bool,
    suspect: bool,
    full: bool,
    remote: bool,
}

/// Rendezvous score of an endpoint for a prompt prefix; the largest wins.
fn affinity(prefix: &[u8], endpoint: &EndpointId) -> u64 {
    let prefix_hash = xxh3_64_with_seed(prefix, 0);
    xxh3_64_with_seed(endpoint.as_str().as_bytes(), prefix_hash)
}

fn smooth(known: Micros, seen: Micros) -> Micros {
    let weighted = known.get() * (PACE_SMOOTHING - 1) + seen.get();
    Micros::new(weighted / PACE_SMOOTHING)
}
