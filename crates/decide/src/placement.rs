//! Which engine an attempt goes to.
//!
//! The same region goes first. Within it, rendezvous hashing of the prompt's
//! head keeps prompts with the same prefix on the same few engines, as long as
//! the engine's load stays within a bound of the mean; past the bound the next
//! engine in the hash order is taken. The load is the larger of what the engine
//! reported (late) and what this thread itself has in flight there (at once),
//! so the nodes don't all follow one report to the same engine.

use std::{collections::HashMap, net::SocketAddr};

use parsleylatch_settings::Detection;
use parsleylatch_types::{EndpointId, EndpointVersion, Micros, Millis, ModelId, MonoTime, Region};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    generation::PlacementOrder,
    view::{EndpointCondition, EndpointKind, EndpointView, Snapshot},
};

/// Bytes of the prompt that decide the affinity.
const AFFINITY_PREFIX_BYTES: usize = 256;
/// Load that an engine may carry above the mean, in percent.
const LOAD_BOUND_PERCENT: u64 = 125;
/// Load that an engine may carry whatever the mean is.
const LOAD_FLOOR: u64 = 2;
/// Weight of a new observation of an endpoint's pace, as one part in this many.
const PACE_SMOOTHING: u64 = 4;
/// Pace that is assumed before any was seen.
const ASSUMED_PACE_US: Micros = Micros::new(27_000);
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
pub struct PlacementQuestion<'a> {
    /// Model that has to be loaded.
    pub model: &'a ModelId,
    /// Prompt, for the affinity.
    pub prompt: &'a str,
    /// Versions and endpoints that are allowed or failed.
    pub order: &'a PlacementOrder,
    /// When an attempt counts as lost.
    pub detection: &'a Detection,
}

#[derive(Clone, Debug, Default)]
struct LocalLoad {
    in_flight: u64,
    pace_us: Option<Micros>,
    suspect_until: Option<MonoTime>,
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
        question: &PlacementQuestion<'_>,
    ) -> Option<Placement> {
        let endpoint = self.choose(now, snapshot, question)?;
        let EndpointKind::Engine { version, .. } = &endpoint.kind else {
            return None;
        };
        let placement = Placement {
            endpoint: endpoint.id.clone(),
            address: endpoint.address,
            endpoint_version: version.clone(),
            first_token_timeout_ms: question.detection.first_token_timeout_ms,
            token_timeout_ms: self.token_timeout(endpoint, question.detection),
        };
        self.local
            .entry(placement.endpoint.clone())
            .or_default()
            .in_flight += 1;
        Some(placement)
    }

    /// Counts the end of an attempt.
    pub fn note_end(&mut self, endpoint: &EndpointId) {
        if let Some(load) = self.local.get_mut(endpoint) {
            load.in_flight = load.in_flight.saturating_sub(1);
        }
    }

    /// Learns the pace that an attempt showed.
    pub fn note_pace(&mut self, endpoint: &EndpointId, seen: Micros) {
        let load = self.local.entry(endpoint.clone()).or_default();
        load.pace_us = Some(load.pace_us.map_or(seen, |known| smooth(known, seen)));
    }

    /// Takes an endpoint last for a while.
    pub fn note_fault(&mut self, now: MonoTime, endpoint: &EndpointId) {
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
        question: &PlacementQuestion<'_>,
    ) -> Option<&'a EndpointView> {
        let order = question.order;
        let able = snapshot
            .endpoints
            .iter()
            .map(|endpoint| &**endpoint)
            .filter(|endpoint| {
                endpoint.serves(question.model, &order.endpoint_versions)
                    && endpoint.condition != EndpointCondition::Leaving
            });
        let ranked: Vec<(Rank, &EndpointView)> = able
            .map(|endpoint| (self.rank(now, endpoint, order), endpoint))
            .collect();
        let best = ranked.iter().map(|(rank, _)| *rank).min()?;
        let group: Vec<&EndpointView> = ranked
            .into_iter()
            .filter(|(rank, _)| *rank == best)
            .map(|(_, endpoint)| endpoint)
            .collect();
        self.choose_by_affinity(&group, question.prompt)
    }

    /// Smaller ranks go first.
    fn rank(&self, now: MonoTime, endpoint: &EndpointView, order: &PlacementOrder) -> Rank {
        let failed = order.failed_endpoints.contains(&endpoint.id);
        let local = self.local.get(&endpoint.id);
        let suspected = local
            .and_then(|load| load.suspect_until)
            .is_some_and(|until| until > now);
        let suspect = endpoint.condition == EndpointCondition::Suspect || suspected;
        Rank {
            failed,
            suspect,
            remote: endpoint.region != self.region,
        }
    }

    fn choose_by_affinity<'a>(
        &self,
        group: &[&'a EndpointView],
        prompt: &str,
    ) -> Option<&'a EndpointView> {
        let total: u64 = group.iter().map(|endpoint| self.load(endpoint)).sum();
        let mean_bound = total * LOAD_BOUND_PERCENT / (100 * group.len().max(1) as u64);
        let bound = mean_bound.max(LOAD_FLOOR);
        let head = &prompt.as_bytes()[..prompt.len().min(AFFINITY_PREFIX_BYTES)];
        let score = |endpoint: &&&EndpointView| affinity(head, &endpoint.id);
        let within = group.iter().filter(|endpoint| self.load(endpoint) <= bound);
        within
            .max_by_key(score)
            .or_else(|| group.iter().min_by_key(|endpoint| self.load(endpoint)))
            .copied()
    }

    fn load(&self, endpoint: &EndpointView) -> u64 {
        let reported = endpoint
            .reported_running
            .saturating_add(endpoint.reported_waiting);
        reported.get().max(self.in_flight(&endpoint.id))
    }

    fn token_timeout(&self, endpoint: &EndpointView, detection: &Detection) -> Millis {
        let local = self.local.get(&endpoint.id).and_then(|load| load.pace_us);
        let pace_us = local.or(endpoint.pace_us).unwrap_or(ASSUMED_PACE_US);
        let by_pace = pace_us.times(detection.token_timeout_factor).millis();
        by_pace.max(detection.token_timeout_min_ms)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    failed: bool,
    suspect: bool,
    remote: bool,
}

/// Score of an endpoint for a prompt head; the largest wins.
fn affinity(head: &[u8], endpoint: &EndpointId) -> u64 {
    let head_hash = xxh3_64_with_seed(head, 0);
    xxh3_64_with_seed(endpoint.as_str().as_bytes(), head_hash)
}

fn smooth(known: Micros, seen: Micros) -> Micros {
    let weighted = known.get() * (PACE_SMOOTHING - 1) + seen.get();
    Micros::new(weighted / PACE_SMOOTHING)
}
