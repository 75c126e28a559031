//! Selection of the endpoint for an attempt, and of the backup that stores a copy of
//! the run's memory.
//!
//! The cost of an endpoint is the expected delay of a request there: the network round
//! trip, the work queued ahead of it and the risk of a failure. Nodes learn of each
//! other's load too late to avoid collisions, so each engine is assigned to one node by
//! rendezvous hashing. That node prefers the engine and knows what it has placed there.
//! Random jitter keeps nodes from choosing the same engine in the remaining cases.

use std::{collections::HashMap, sync::Arc};

use parsleylatch_types::{FailureDomain, Micros, MonoTime, Region, ServiceName, TokenCount};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    copy::MemoryCopy,
    endpoint_table::{EndpointEntry, EndpointKey, EndpointStats, EndpointTable},
    locality::{Binding, Border, CrossingCosts, Distance, Locality, Readiness, domain_loads},
    overload::{RoomClaim, StreamSize},
    placement_cost::{
        STREAM_COST_US, SUSPENSION_COST_US, call_cost, failure_penalty, failure_rate_cost,
        load_cost, prefill, stream_cost,
    },
    version_rule::VersionLimit,
};

/// Network round trip within a region.
const REGION_ROUND_TRIP_US: Micros = Micros::new(3_000);
/// Network round trip between regions.
const CROSS_REGION_ROUND_TRIP_US: Micros = Micros::new(25_000);
/// Cost of each copy that an engine already stores.
const COPY_COST_US: Micros = Micros::new(150_000);
/// Upper bound of the random part of a backup's cost.
const BACKUP_JITTER_US: u64 = 250_000;
/// Upper bound of the random part of a call's cost.
const CALL_JITTER_US: u64 = 1_000;
/// Upper bound of the random part of a stream's cost.
const STREAM_JITTER_US: u64 = 100_000;

/// Part of an endpoint's slots that is kept for the callers of its own failure domain as long as
/// the others have endpoints that serve them in time.
const RESERVE_DIVISOR: u32 = 4;

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

impl<'a> SelectionCriteria<'a> {
    /// Criteria of a call that may be sent to any endpoint of a service.
    pub fn any_call(service: &'a ServiceName) -> Self {
        Self {
            service,
            excluded: &[],
            copy: None,
            prompt_holder: None,
            prompt: TokenCount::ZERO,
            with_backup: false,
            version: None,
        }
    }
}

impl SelectionCriteria<'_> {
    fn allows(&self, entry: &EndpointEntry) -> bool {
        self.version
            .is_none_or(|limit| limit.allows(&entry.version))
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
    /// Which requests leave the failure domain; `None` if only round trips decide.
    locality: Option<Locality>,
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
            locality: None,
        }
    }

    /// Sets whether requests are bound to their failure domain, with the cost of crossings.
    pub fn set_locality(&mut self, costs: Option<CrossingCosts>) {
        if self.locality.as_ref().map(Locality::costs) != costs {
            self.locality = costs.map(Locality::new);
        }
    }

    /// Shares of requests that leave the failure domain, if these are decided.
    pub fn locality(&self) -> Option<&Locality> {
        self.locality.as_ref()
    }

    /// As [`Self::locality`], to record requests.
    pub fn locality_mut(&mut self) -> Option<&mut Locality> {
        self.locality.as_mut()
    }

    /// Border that a request crosses on its way to an endpoint in `domain`.
    pub fn border(&self, domain: &FailureDomain) -> Option<Border> {
        match self.distance(domain) {
            Distance::OwnDomain => None,
            Distance::OwnRegion => Some(Border::Domain),
            Distance::OtherRegion => Some(Border::Region),
        }
    }

    /// Border between two failure domains.
    pub fn border_between(&self, from: &FailureDomain, to: &FailureDomain) -> Option<Border> {
        let is_same_region = self.regions.get(from) == self.regions.get(to);
        match (from == to, is_same_region) {
            (true, _) => None,
            (false, true) => Some(Border::Domain),
            (false, false) => Some(Border::Region),
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
        let any_version = criteria.version.and_then(VersionLimit::without_preference);
        if costs.is_empty() && any_version.is_some() {
            let any_version = SelectionCriteria {
                version: any_version.as_ref(),
                ..criteria.clone()
            };
            costs = self.costs(now, table, &any_version);
        }
        costs.sort_by_key(|(cost, _)| *cost);
        let candidates = costs.len();
        let copy = copy.filter(|_| holder.is_some()).cloned();
        let endpoint = match holder {
            Some(holder) => holder,
            None => self.cheapest(now, table, criteria, &costs)?,
        };
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
        claim: RoomClaim,
    ) -> Option<EndpointKey> {
        let open = table.open(now, service);
        let free = open.filter(|it| {
            it.has_room(now, claim) == Some(true) && !table.is_suspended(now, &it.entry.key)
        });
        let costs = free.map(|stats| {
            let cost = self.stream_placement_cost(now, table, stats, claim.size.prompt);
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

    /// Endpoint of the lowest cost, among those that the request is bound to if there are any.
    fn cheapest(
        &mut self,
        now: MonoTime,
        table: &EndpointTable,
        criteria: &SelectionCriteria<'_>,
        costs: &[(u64, Arc<EndpointEntry>)],
    ) -> Option<Arc<EndpointEntry>> {
        let binding = self.draw_binding(now, table, criteria);
        let bound = binding.places().iter().find_map(|(distance, needed)| {
            costs.iter().find(|(_, entry)| {
                self.distance(&entry.failure_domain) == *distance
                    && self.readiness(now, table, entry, criteria) >= *needed
            })
        });
        let (_, chosen) = bound.or_else(|| costs.first())?;
        Some(Arc::clone(chosen))
    }

    /// Where the request is bound to. One whose prompt has been read somewhere is free. One whose
    /// endpoint has failed in this domain leaves it, because others there may be lost too.
    fn draw_binding(
        &mut self,
        now: MonoTime,
        table: &EndpointTable,
        criteria: &SelectionCriteria<'_>,
    ) -> Binding {
        if self.locality.is_none() {
            return Binding::Free;
        }
        self.update_shares(now, table, criteria);
        let has_prompt = criteria.prompt_holder.is_some() || criteria.copy.is_some();
        let has_failed_here = criteria.excluded.iter().any(|key| {
            let stats = table.stats(key);
            let is_own = |it: &EndpointStats| it.entry.failure_domain == self.own_domain;
            stats.is_some_and(is_own) && table.has_failed_recently(now, key)
        });
        let draws = (self.random.random(), self.random.random());
        match &self.locality {
            Some(_) if has_prompt => Binding::Free,
            Some(_) if has_failed_here => Binding::Region,
            Some(locality) => locality.binding(criteria.service, draws),
            None => Binding::Free,
        }
    }

    fn update_shares(
        &mut self,
        now: MonoTime,
        table: &EndpointTable,
        criteria: &SelectionCriteria<'_>,
    ) {
        let service = criteria.service;
        let is_due = |it: &Locality| it.is_due(now, service);
        if !self.locality.as_ref().is_some_and(is_due) {
            return;
        }
        let is_stream = criteria.prompt > TokenCount::ZERO;
        let distance_of = |domain: &FailureDomain| self.distance(domain);
        let own = &self.own_domain;
        let loads = domain_loads(now, table, service, own, distance_of, is_stream);
        let round_trips = (REGION_ROUND_TRIP_US, CROSS_REGION_ROUND_TRIP_US);
        let draw = self.random.random();
        if let Some(locality) = &mut self.locality {
            locality.update(now, service, &loads, round_trips, draw);
        }
    }

    /// Whether an endpoint takes requests, and requests of other failure domains.
    fn readiness(
        &self,
        now: MonoTime,
        table: &EndpointTable,
        entry: &EndpointEntry,
        criteria: &SelectionCriteria<'_>,
    ) -> Readiness {
        let Some((locality, stats)) = self.locality.as_ref().zip(table.stats(&entry.key)) else {
            return Readiness::Closed;
        };
        if table.is_suspended(now, &entry.key) {
            return Readiness::Closed;
        }
        let service = criteria.service;
        let is_stream = criteria.prompt > TokenCount::ZERO;
        let size = StreamSize {
            prompt: criteria.prompt,
            output: TokenCount::ZERO,
        };
        let has_room = !is_stream || stats.has_room(now, RoomClaim::from(size)) != Some(false);
        let load = load_cost(now, stats, is_stream);
        if !has_room || locality.patience(service).is_some_and(|it| load > it) {
            return Readiness::Late;
        }
        if entry.failure_domain == self.own_domain {
            return Readiness::Open;
        }
        let slots = stats.entry.slots.get();
        let taken = stats.occupancy(now);
        if locality.avoids(service, &entry.failure_domain) || taken >= slots {
            return Readiness::Late;
        }
        match taken < slots - slots / RESERVE_DIVISOR {
            true => Readiness::Reserve,
            false => Readiness::Open,
        }
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
                    (true, true) => self.stream_base_cost(now, stats, Micros::ZERO),
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
            + self.way_cost(&stats.entry).get()
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
        self.stream_base_cost(now, stats, prefill(prompt)) + failure_penalty(now, table, stats)
    }

    /// Cost of a stream whose prompt takes the engine `reading` to read.
    fn stream_base_cost(&mut self, now: MonoTime, stats: &EndpointStats, reading: Micros) -> u64 {
        stream_cost(now, stats, reading)
            + self.random.random_range(0..STREAM_JITTER_US)
            + self.way_cost(&stats.entry).get()
            + failure_rate_cost(now, stats)
    }

    /// Round trip to an endpoint, and what the bytes cost that cross borders.
    fn way_cost(&self, entry: &EndpointEntry) -> Micros {
        let domain = &entry.failure_domain;
        let border = self.border(domain);
        let costs = self.locality.as_ref().zip(border);
        let crossing = costs.map(|(it, border)| it.crossing_cost(&entry.service, border));
        let round_trip = self.round_trip(domain);
        round_trip.saturating_add(crossing.unwrap_or_default())
    }

    fn round_trip(&self, domain: &FailureDomain) -> Micros {
        match self.distance(domain) {
            Distance::OwnDomain => Micros::ZERO,
            Distance::OwnRegion => REGION_ROUND_TRIP_US,
            Distance::OtherRegion => CROSS_REGION_ROUND_TRIP_US,
        }
    }

    fn distance(&self, domain: &FailureDomain) -> Distance {
        Distance::of(domain, &self.own_domain, &self.own_region, &self.regions)
    }
}
