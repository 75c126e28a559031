//! Which engine an attempt goes to.
//!
//! The same region goes first. Within it, rendezvous hashing of the prompt's
//! head keeps prompts with the same prefix on the same few engines, as long as
//! the engine's load stays within a bound of the mean; past the bound the next
//! engine in the hash order is taken. The load is what the engine reported (late)
//! and what this thread has placed there since (at once), so the nodes don't all
//! follow one report to the same engine.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
};

use parsleylatch_settings::{Detection, Tier};
use parsleylatch_types::{
    EndpointId, EndpointVersion, Micros, Millis, ModelId, MonoTime, Region, RequestCount,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    generation::PlacementConstraints,
    limits::{FREE_SHARE, FREE_UTILIZATION_LIMIT, LOAD_REPORT_MAX_AGE_MS, percent_of},
    view::{EndpointCondition, EndpointKind, EndpointView, Snapshot},
};

/// Bytes of the prompt that decide the affinity.
const AFFINITY_PREFIX_BYTES: usize = 256;
/// Load that an engine may carry above the mean, in percent.
const LOAD_BOUND_PERCENT: u64 = 125;
/// Load that an engine may carry whatever the mean is.
const MIN_LOAD_BOUND: u64 = 2;
/// Weight of a new observation of an endpoint's pace, as one part in this many.
const PACE_SMOOTHING: u64 = 4;
/// Pace that is assumed before any was seen.
const DEFAULT_PACE_US: Micros = Micros::new(27_000);
/// Time for which an endpoint that failed an attempt is taken last.
const SUSPICION_MS: Millis = Millis::new(1_000);

/// Where an attempt goes, and how long to wait for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Engine.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Version it runs.
    pub endpoint_version: EndpointVersion,
    /// Longest wait for the first token.
    pub first_token_timeout_ms: Millis,
    /// Longest wait for each further token.
    pub token_timeout_ms: Millis,
}

/// Question to [`Placer::place`].
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Model that has to be loaded.
    pub model: &'a ModelId,
    /// Prompt, for the affinity.
    pub prompt: &'a str,
    /// Versions and endpoints that are allowed or failed.
    pub constraints: &'a PlacementConstraints,
    /// When an attempt counts as lost.
    pub detection: &'a Detection,
    /// Class of the request.
    pub tier: Tier,
    /// Traffic threads of all live nodes.
    pub cluster_threads: RequestCount,
}

#[derive(Clone, Debug, Default)]
struct LocalLoad {
    in_flight: u64,
    free_in_flight: u64,
    /// Times of the placements that no load report may tell of yet.
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

/// Placement as one traffic thread does it.
#[derive(Clone, Debug)]
pub struct Placer {
    region: Region,
    local: HashMap<EndpointId, LocalLoad>,
}

impl Placer {
    /// Placement for a node in a region.
    pub fn new(region: Region) -> Self {
        Self {
            region,
            local: HashMap::new(),
        }
    }

    /// Chooses an engine and counts the attempt there.
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

    /// Counts the end of an attempt.
    pub fn record_end(&mut self, endpoint: &EndpointId, tier: Tier) {
        if let Some(load) = self.local.get_mut(endpoint) {
            load.in_flight = load.in_flight.saturating_sub(1);
            let free_ended = u64::from(tier == Tier::Free);
            load.free_in_flight = load.free_in_flight.saturating_sub(free_ended);
        }
    }

    /// Learns the pace that an attempt showed.
    pub fn record_pace(&mut self, endpoint: &EndpointId, seen: Micros) {
        let load = self.local.entry(endpoint.clone()).or_default();
        load.pace_us = Some(load.pace_us.map_or(seen, |known| smooth(known, seen)));
    }

    /// Takes an endpoint last for a while.
    pub fn record_fault(&mut self, now: MonoTime, endpoint: &EndpointId) {
        let load = self.local.entry(endpoint.clone()).or_default();
        load.suspect_until = Some(now + SUSPICION_MS);
    }

    /// Attempts of this thread that run on an endpoint.
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

    /// Smaller ranks go first.
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

    /// Free requests leave places for paying ones at each engine, not only at
    /// the model's engines together.
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
        // The least loaded one is within the bound, so there always is one.
        within_bound
            .max_by_key(|(endpoint, _)| affinity(prefix, &endpoint.id))
            .map(|(endpoint, _)| *endpoint)
    }

    /// What the engine reported, and what no report can tell of yet.
    fn load(&self, now: MonoTime, endpoint: &EndpointView) -> u64 {
        let reported = endpoint
            .reported_running
            .saturating_add(endpoint.reported_waiting);
        let local = self.local.get(&endpoint.id);
        let unreported = local.map_or(0, |load| load.unreported_at(now));
        (reported.get() + unreported).max(self.in_flight(&endpoint.id))
    }

    fn token_timeout(&self, endpoint: &EndpointView, detection: &Detection) -> Millis {
        let local = self.local.get(&endpoint.id).and_then(|load| load.pace_us);
        let pace_us = local.or(endpoint.pace_us).unwrap_or(DEFAULT_PACE_US);
        let by_pace = pace_us.times(detection.token_timeout_factor).millis();
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

/// Score of an endpoint for a prompt head; the largest wins.
fn affinity(prefix: &[u8], endpoint: &EndpointId) -> u64 {
    let prefix_hash = xxh3_64_with_seed(prefix, 0);
    xxh3_64_with_seed(endpoint.as_str().as_bytes(), prefix_hash)
}

fn smooth(known: Micros, seen: Micros) -> Micros {
    let weighted = known.get() * (PACE_SMOOTHING - 1) + seen.get();
    Micros::new(weighted / PACE_SMOOTHING)
}
