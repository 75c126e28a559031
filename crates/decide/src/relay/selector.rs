//! Selection of the endpoint for an attempt, and of the backup that stores a copy of
//! the run's memory.
//!
//! The cost of an endpoint is the expected delay of a request there: the network round
//! trip, the work queued ahead of it and the risk of a failure. Nodes learn of each
//! other's load too late to avoid collisions, so each engine is assigned to one node by
//! rendezvous hashing. That node prefers the engine and knows what it has placed there.
//! Random jitter keeps nodes from choosing the same engine in the remaining cases.

use std::{collections::HashMap, sync::Arc};

use parsleylatch_types::{
    FailureDomain, Micros, Millis, MonoTime, Region, ServiceName, TokenCount,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    copy::MemoryCopy,
    endpoint_table::{EndpointEntry, EndpointKey, EndpointStats, EndpointTable},
    overload::StreamSize,
    rollout::VersionLimit,
};

/// Network round trip within a region.
const REGION_ROUND_TRIP_US: Micros = Micros::new(3_000);
/// Network round trip between regions.
const CROSS_REGION_ROUND_TRIP_US: Micros = Micros::new(25_000);
/// Assumed latency of a call at an endpoint without samples.
const DEFAULT_CALL_LATENCY_US: Micros = Micros::new(15_000);
/// Prompt tokens that an engine reads per millisecond, as specified by the operators.
pub const PREFILL_TOKENS_PER_MS: u64 = 5;
/// Delay that an additional stream causes to the streams running beside it.
const STREAM_COST_US: Micros = Micros::new(150_000);
/// Cost of a queued request, whose prompt is still to be read.
const WAITING_COST_US: Micros = Micros::new(1_000_000);
/// Work that another node is assumed to have placed at an endpoint assigned to it: one
/// or two streams and an occasional prompt.
const NOT_OWNED_COST_US: Micros = Micros::new(300_000);
/// Cost of an endpoint that fails every request.
const FAILURE_COST_US: Micros = Micros::new(400_000);
/// Cost of a suspended endpoint or failure domain.
const SUSPENSION_COST_US: Micros = Micros::new(10_000_000);
/// Cost of each copy that an engine already stores.
const COPY_COST_US: Micros = Micros::new(150_000);
/// Upper bound of the random part of a backup's cost.
const BACKUP_JITTER_US: u64 = 250_000;
/// Cost of an endpoint that may be lost with its failure domain: a wasted round trip
/// and a retry from the budget.
const POSSIBLY_LOST_COST_US: Micros = Micros::new(1_500_000);
/// Upper bound of the random part of a call's cost.
const CALL_JITTER_US: u64 = 1_000;
/// Upper bound of the random part of a stream's cost.
const STREAM_JITTER_US: u64 = 100_000;

/// Input for [`Selector::select`].
#[derive(Clone, Debug)]
pub struct SelectionCriteria<'a> {
    /// Service that has to answer.
    pub service: &'a ServiceName,
    /// Endpoints that must not be chosen.
    pub excluded: &'a [EndpointKey],
    /// Copy of the run's memory; its holder is preferred.
    pub copy: Option<&'a MemoryCopy>,
    /// Endpoint that has just confirmed that it has the prompt in its memory.
    pub prompt_holder: Option<&'a EndpointKey>,
    /// Tokens of the prompt; zero for a call.
    pub prompt: TokenCount,
    /// Whether to choose a backup for a copy of the run's memory.
    pub with_backup: bool,
    /// Restriction to versions during a roll-out.
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

/// Endpoints chosen for an attempt.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Endpoint that runs the attempt.
    pub endpoint: Arc<EndpointEntry>,
    /// Endpoint that stores a copy of the run's memory.
    pub backup: Option<Arc<EndpointEntry>>,
    /// Copy of the run's memory from which the endpoint can resume.
    pub copy: Option<MemoryCopy>,
    /// Number of endpoints that were eligible.
    pub candidates: usize,
}

/// Selects endpoints for one traffic thread.
#[derive(Debug)]
pub struct Selector {
    own_domain: FailureDomain,
    own_region: Region,
    regions: HashMap<FailureDomain, Region>,
    random: Pcg64Mcg,
}

impl Selector {
    /// Creates the selector of a node in `own_domain`.
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

    /// Selects the endpoint for an attempt; `None` if no endpoint is eligible.
    pub fn select(
        &mut self,
        now: MonoTime,
        table: &EndpointTable,
        criteria: &SelectionCriteria<'_>,
    ) -> Option<Choice> {
        let copy = criteria
            .copy
            .filter(|it| table.is_usable(&it.holder) && !table.is_paused(now, &it.holder));
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

    /// Chooses an engine that has room for a stream, with a backup if one is asked for;
    /// `None` if the engine can't be used any more.
    pub fn choose(
        &mut self,
        now: MonoTime,
        table: &EndpointTable,
        criteria: &SelectionCriteria<'_>,
        key: &EndpointKey,
    ) -> Option<Choice> {
        let is_open = table.is_usable(key) && !table.is_paused(now, key);
        let entry = table.entry(key).filter(|_| is_open)?;
        let endpoint = Arc::clone(entry);
        if criteria.excluded.contains(key) || !criteria.allows(&endpoint) {
            return None;
        }
        let excluded = std::slice::from_ref(key);
        let backup = criteria
            .with_backup
            .then(|| self.select_backup(now, table, &endpoint, excluded));
        Some(Choice {
            endpoint,
            backup: backup.flatten(),
            copy: None,
            candidates: 1,
        })
    }

    /// Engines of a service whose state is worth asking for while streams wait: those of
    /// the lowest costs, at most `limit`.
    pub fn engines_to_query(
        &mut self,
        now: MonoTime,
        table: &EndpointTable,
        service: &ServiceName,
        limit: usize,
    ) -> Vec<Arc<EndpointEntry>> {
        let open = table.open(now, service);
        let mut costs: Vec<_> = open
            .map(|stats| {
                let cost = self.stream_placement_cost(now, table, stats, TokenCount::ZERO);
                (cost, &stats.entry)
            })
            .collect();
        costs.sort_unstable_by_key(|(cost, _)| *cost);
        let cheapest = costs.into_iter().take(limit);
        cheapest.map(|(_, entry)| Arc::clone(entry)).collect()
    }

    /// Engine of the lowest cost among those of a service that report room for a stream.
    pub fn engine_with_room(
        &mut self,
        now: MonoTime,
        table: &EndpointTable,
        service: &ServiceName,
        size: StreamSize,
    ) -> Option<EndpointKey> {
        let open = table.open(now, service);
        let free = open.filter(|it| {
            it.has_room(now, size) == Some(true) && !table.is_suspended(now, &it.entry.key)
        });
        let costs = free.map(|stats| {
            let cost = self.stream_placement_cost(now, table, stats, size.prompt);
            (cost, &stats.entry.key)
        });
        let cheapest = costs.min_by_key(|(cost, _)| *cost);
        cheapest.map(|(_, key)| key.clone())
    }

    /// Endpoints that may get a call, each with the delay that the network and its failures are
    /// expected to add, and a random part of up to `jitter`.
    pub(crate) fn call_delays(
        &mut self,
        now: MonoTime,
        table: &EndpointTable,
        criteria: &SelectionCriteria<'_>,
        jitter: Micros,
    ) -> Vec<(Micros, EndpointKey)> {
        let open = table.open(now, criteria.service);
        let allowed = open
            .filter(|it| !criteria.excluded.contains(&it.entry.key) && criteria.allows(&it.entry));
        allowed
            .map(|stats| {
                let delay = self.round_trip(&stats.entry.failure_domain).get()
                    + failure_penalty(now, table, stats)
                    + failure_rate_cost(now, stats)
                    + self.random.random_range(0..=jitter.get());
                (Micros::new(delay), stats.entry.key.clone())
            })
            .collect()
    }

    /// Endpoints of a service in this node's region, at most `limit`.
    pub fn in_own_region(
        &self,
        now: MonoTime,
        table: &EndpointTable,
        service: &ServiceName,
        limit: usize,
    ) -> Vec<Arc<EndpointEntry>> {
        let is_near = |entry: &EndpointEntry| {
            self.regions.get(&entry.failure_domain) == Some(&self.own_region)
        };
        let open = table.open(now, service).map(|it| &it.entry);
        let near = open.filter(|entry| is_near(entry));
        near.take(limit).cloned().collect()
    }

    /// Selects an endpoint for a copy of the memory of a run at `running`: preferably in
    /// another failure domain, and spread over all engines to limit the copies on each.
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
        let open = table.open(now, criteria.service);
        let allowed = open
            .filter(|it| !criteria.excluded.contains(&it.entry.key) && criteria.allows(&it.entry));
        let is_stream = criteria.prompt > TokenCount::ZERO;
        allowed
            .map(|stats| {
                let entry = &stats.entry;
                let is_holder = criteria.prompt_holder == Some(&entry.key);
                let cost = match (is_stream, is_holder) {
                    (false, _) => self.call_placement_cost(now, table, stats),
                    // An engine that has just answered is alive, even if others in its
                    // failure domain are not, and has read the prompt.
                    (true, true) => self.stream_base_cost(now, stats),
                    (true, false) => self.stream_placement_cost(now, table, stats, criteria.prompt),
                };
                (cost, Arc::clone(entry))
            })
            .collect()
    }

    fn call_placement_cost(
        &mut self,
        now: MonoTime,
        table: &EndpointTable,
        stats: &EndpointStats,
    ) -> u64 {
        call_cost(now, stats)
            + self.random.random_range(0..CALL_JITTER_US)
            + self.round_trip(&stats.entry.failure_domain).get()
            + failure_penalty(now, table, stats)
            + failure_rate_cost(now, stats)
    }

    fn stream_placement_cost(
        &mut self,
        now: MonoTime,
        table: &EndpointTable,
        stats: &EndpointStats,
        prompt: TokenCount,
    ) -> u64 {
        self.stream_base_cost(now, stats)
            + prefill(prompt).get()
            + failure_penalty(now, table, stats)
    }

    /// Cost of a stream whose prompt the engine has read.
    fn stream_base_cost(&mut self, now: MonoTime, stats: &EndpointStats) -> u64 {
        stream_cost(now, stats)
            + self.random.random_range(0..STREAM_JITTER_US)
            + self.round_trip(&stats.entry.failure_domain).get()
            + failure_rate_cost(now, stats)
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

/// Cost of recent failures of an endpoint or of its failure domain.
fn failure_penalty(now: MonoTime, table: &EndpointTable, stats: &EndpointStats) -> u64 {
    let entry = &stats.entry;
    let own = stats.suspended_until > now;
    let domain = table.is_domain_suspended(now, &entry.service, &entry.failure_domain);
    let suspended = u64::from(own) + u64::from(domain);
    SUSPENSION_COST_US.get() * suspended
        + POSSIBLY_LOST_COST_US.get() * u64::from(table.may_be_lost(stats))
}

/// Cost of the recent failure rate of an endpoint.
fn failure_rate_cost(now: MonoTime, stats: &EndpointStats) -> u64 {
    (stats.failure_rate(now) * FAILURE_COST_US.get() as f64) as u64
}

/// Time for an engine to read a prompt.
fn prefill(prompt: TokenCount) -> Micros {
    Millis::new(u64::from(prompt.get()) / PREFILL_TOKENS_PER_MS).micros()
}

/// Work ahead of a new stream: unread prompts, queued requests, and streams that share
/// the engine's steps.
fn stream_cost(now: MonoTime, stats: &EndpointStats) -> u64 {
    let unread = Millis::new(stats.unread_tokens / PREFILL_TOKENS_PER_MS).micros();
    let streams = u64::from(stats.occupancy(now));
    let waiting = WAITING_COST_US.saturating_mul(u64::from(stats.waiting(now)));
    let not_owned = match stats.is_owned {
        true => Micros::ZERO,
        false => NOT_OWNED_COST_US,
    };
    unread.get() + STREAM_COST_US.saturating_mul(streams).get() + waiting.get() + not_owned.get()
}

/// Work ahead of a new call: the mean latency times the occupancy per slot.
fn call_cost(now: MonoTime, stats: &EndpointStats) -> u64 {
    let latency = stats.latency.unwrap_or(DEFAULT_CALL_LATENCY_US);
    let slots = u64::from(stats.entry.slots.get().max(1));
    let occupancy = u64::from(stats.occupancy(now));
    latency.saturating_mul(occupancy).get() / slots
}
