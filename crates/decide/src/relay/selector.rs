//! Which endpoint takes an attempt, and which one keeps a copy of its memory.
//!
//! The cost of an endpoint is the time that a request is expected to wait
//! there: the way to it, the work in front of it and the risk that it fails.
//! Nodes don't see each other's work in time, so each engine belongs to one node
//! by rendezvous hash, which goes there first and knows what it placed there. A
//! little randomness keeps the nodes from choosing the same engine beyond that.

use std::{collections::HashMap, sync::Arc};

use parsleylatch_types::{
    FailureDomain, Micros, Millis, MonoTime, Region, ServiceName, TokenCount,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    copy::MemoryCopy,
    endpoint_table::{EndpointEntry, EndpointKey, EndpointStats, EndpointTable},
    rollout::VersionLimit,
};

/// Way there and back within a region.
const REGION_ROUND_TRIP_US: Micros = Micros::new(3_000);
/// Way there and back between regions.
const CROSS_REGION_ROUND_TRIP_US: Micros = Micros::new(25_000);
/// Time that a call is taken to last before any was seen.
const DEFAULT_CALL_LATENCY_US: Micros = Micros::new(15_000);
/// Prompt tokens that an engine reads in a millisecond, as the operators state.
pub const PREFILL_TOKENS_PER_MS: u64 = 5;
/// Delay that one more running stream costs those that run beside it.
const STREAM_COST_US: Micros = Micros::new(150_000);
/// Cost of a request that waits: a prompt that is not read yet.
const WAITING_COST_US: Micros = Micros::new(1_000_000);
/// Work that other nodes are taken to have placed at an endpoint that is theirs:
/// a stream or two, and a prompt now and then.
const NOT_OWNED_COST_US: Micros = Micros::new(300_000);
/// Cost of an endpoint that fails every request.
const FAILURE_COST_US: Micros = Micros::new(400_000);
/// Cost of an endpoint, or of a failure domain, that broke a moment ago.
const SUSPENSION_COST_US: Micros = Micros::new(10_000_000);
/// Cost of a copy that an engine keeps already.
const COPY_COST_US: Micros = Micros::new(150_000);
/// Largest random part of the cost of an engine for a copy.
const BACKUP_JITTER_US: u64 = 250_000;
/// Cost of an endpoint that may have gone with its failure domain: a trip in vain
/// and a repeat from the budget.
const POSSIBLY_LOST_COST_US: Micros = Micros::new(1_500_000);
/// Largest random part of a call's cost.
const CALL_JITTER_US: u64 = 1_000;
/// Largest random part of a stream's cost.
const STREAM_JITTER_US: u64 = 100_000;

/// Question to [`Selector::select`].
#[derive(Clone, Debug)]
pub struct SelectionCriteria<'a> {
    /// Service that answers.
    pub service: &'a ServiceName,
    /// Endpoints that must not take it.
    pub excluded: &'a [EndpointKey],
    /// Copy of the run's memory; its holder goes first.
    pub copy: Option<&'a MemoryCopy>,
    /// Endpoint that has just said that it has the prompt in its memory.
    pub prompt_holder: Option<&'a EndpointKey>,
    /// Tokens of the prompt; zero for a call.
    pub prompt: TokenCount,
    /// Whether another endpoint shall keep a copy of the run's memory.
    pub with_backup: bool,
    /// Versions that may run it, while a roll-out decides on them.
    pub version: Option<&'a VersionLimit>,
}

impl SelectionCriteria<'_> {
    fn allows(&self, entry: &EndpointEntry) -> bool {
        match self.version {
            None => true,
            Some(VersionLimit::Preferred(version)) => entry.version == *version,
            Some(VersionLimit::Other(version)) => entry.version != *version,
        }
    }
}

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Endpoint that runs it.
    pub endpoint: Arc<EndpointEntry>,
    /// Endpoint that keeps a copy of the run's memory.
    pub backup: Option<Arc<EndpointEntry>>,
    /// Copy of the run's memory that the endpoint has.
    pub copy: Option<MemoryCopy>,
    /// Endpoints that could have taken it.
    pub candidates: usize,
}

/// Chooses endpoints for one traffic thread.
#[derive(Debug)]
pub struct Selector {
    own_domain: FailureDomain,
    own_region: Region,
    regions: HashMap<FailureDomain, Region>,
    random: Pcg64Mcg,
}

impl Selector {
    /// Selector of a node in `own_domain`.
    pub fn new(
        own_domain: FailureDomain,
        own_region: Region,
        regions: HashMap<FailureDomain, Region>,
        seed: u64,
    ) -> Self {
        Self {
            own_domain,
            own_region,
            regions,
            random: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Chooses an endpoint; `None` if none may take the attempt.
    pub fn select(
        &mut self,
        now: MonoTime,
        table: &EndpointTable,
        criteria: &SelectionCriteria<'_>,
    ) -> Option<Choice> {
        let copy = criteria.copy.filter(|it| table.is_usable(&it.holder));
        let holder = copy.and_then(|it| table.entry(&it.holder));
        let holder = holder.filter(|it| criteria.allows(it)).cloned();
        let mut costs = self.costs(now, table, criteria);
        let is_preference = matches!(criteria.version, Some(VersionLimit::Preferred(_)));
        if costs.is_empty() && is_preference {
            let any_version = SelectionCriteria {
                version: None,
                ..criteria.clone()
            };
            costs = self.costs(now, table, &any_version);
        }
        costs.sort_by_key(|(cost, _)| *cost);
        let candidates = costs.len();
        let copy = copy.filter(|_| holder.is_some()).cloned();
        let endpoint = holder.or_else(|| costs.first().map(|(_, entry)| Arc::clone(entry)))?;
        let backup = criteria.with_backup.then(|| {
            let mut excluded = criteria.excluded.to_vec();
            excluded.push(endpoint.key.clone());
            self.select_backup(now, table, &endpoint, &excluded)
        });
        let backup = backup.flatten();
        Some(Choice {
            endpoint,
            backup,
            copy,
            candidates,
        })
    }

    /// Endpoints of a service in the own region, `limit` at most.
    pub fn in_own_region(
        &self,
        table: &EndpointTable,
        service: &ServiceName,
        limit: usize,
    ) -> Vec<Arc<EndpointEntry>> {
        let is_near = |entry: &EndpointEntry| {
            self.regions.get(&entry.failure_domain) == Some(&self.own_region)
        };
        let usable = table.usable(service).map(|it| &it.entry);
        let near = usable.filter(|entry| is_near(entry));
        near.take(limit).cloned().collect()
    }

    /// Chooses an endpoint for a copy of what runs at `running`: in another failure
    /// domain, and spread over all engines, so that none is filled by copies.
    pub fn select_backup(
        &mut self,
        now: MonoTime,
        table: &EndpointTable,
        running: &EndpointEntry,
        excluded: &[EndpointKey],
    ) -> Option<Arc<EndpointEntry>> {
        let service = &running.service;
        let usable = table.usable(service);
        let allowed = usable.filter(|it| !excluded.contains(&it.entry.key));
        let costs = allowed.map(|stats| {
            let domain = &stats.entry.failure_domain;
            let same_domain = u64::from(*domain == running.failure_domain);
            let cost = COPY_COST_US.get() * u64::from(stats.copies)
                + STREAM_COST_US.get() * u64::from(stats.occupancy(now))
                + SUSPENSION_COST_US.get() * same_domain
                + failure_penalty(now, table, stats)
                + self.random.random_range(0..BACKUP_JITTER_US);
            (cost, &stats.entry)
        });
        let cheapest = costs.min_by_key(|(cost, _)| *cost);
        cheapest.map(|(_, entry)| Arc::clone(entry))
    }

    fn costs(
        &mut self,
        now: MonoTime,
        table: &EndpointTable,
        criteria: &SelectionCriteria<'_>,
    ) -> Vec<(u64, Arc<EndpointEntry>)> {
        let usable = table.usable(criteria.service);
        let allowed = usable
            .filter(|it| !criteria.excluded.contains(&it.entry.key) && criteria.allows(&it.entry));
        let is_stream = criteria.prompt > TokenCount::ZERO;
        allowed
            .map(|stats| {
                let cost = if is_stream {
                    stream_cost(now, stats) + self.random.random_range(0..STREAM_JITTER_US)
                } else {
                    call_cost(now, stats) + self.random.random_range(0..CALL_JITTER_US)
                };
                let entry = &stats.entry;
                // Who has just answered lives, whatever became of its neighbours.
                let (reading, penalty) = match criteria.prompt_holder == Some(&entry.key) {
                    true => (0, 0),
                    false => (
                        prefill(criteria.prompt).get(),
                        failure_penalty(now, table, stats),
                    ),
                };
                let cost = cost
                    + self.round_trip(&entry.failure_domain).get()
                    + reading
                    + penalty
                    + (stats.failure_rate(now) * FAILURE_COST_US.get() as f64) as u64;
                (cost, Arc::clone(entry))
            })
            .collect()
    }

    fn round_trip(&self, domain: &FailureDomain) -> Micros {
        if *domain == self.own_domain {
            return Micros::ZERO;
        }
        if self.regions.get(domain) == Some(&self.own_region) {
            REGION_ROUND_TRIP_US
        } else {
            CROSS_REGION_ROUND_TRIP_US
        }
    }
}

/// Cost of an endpoint that broke a moment ago, or whose failure domain did.
fn failure_penalty(now: MonoTime, table: &EndpointTable, stats: &EndpointStats) -> u64 {
    let entry = &stats.entry;
    let own = stats.suspended_until > now;
    let domain = table.is_domain_suspended(now, &entry.service, &entry.failure_domain);
    let suspended = u64::from(own) + u64::from(domain);
    SUSPENSION_COST_US.get() * suspended
        + POSSIBLY_LOST_COST_US.get() * u64::from(table.may_be_lost(stats))
}

/// Time that an engine needs to read a prompt.
fn prefill(prompt: TokenCount) -> Micros {
    Millis::new(u64::from(prompt.get()) / PREFILL_TOKENS_PER_MS).micros()
}

/// Work in front of a stream: prompts that are not read yet, and streams that
/// share the engine's steps.
fn stream_cost(now: MonoTime, stats: &EndpointStats) -> u64 {
    let unread = Millis::new(stats.unread_tokens / PREFILL_TOKENS_PER_MS).micros();
    let streams = u64::from(stats.occupancy(now));
    let waiting = WAITING_COST_US.times(u64::from(stats.waiting(now)));
    let not_owned = match stats.is_owned {
        true => Micros::ZERO,
        false => NOT_OWNED_COST_US,
    };
    unread.get() + STREAM_COST_US.times(streams).get() + waiting.get() + not_owned.get()
}

/// Work in front of a call: what exceeds the slots waits.
fn call_cost(now: MonoTime, stats: &EndpointStats) -> u64 {
    let latency = stats.latency.unwrap_or(DEFAULT_CALL_LATENCY_US);
    let slots = u64::from(stats.entry.slots.get().max(1));
    let occupancy = u64::from(stats.occupancy(now));
    latency.get() * occupancy / slots
}
