//! Endpoints as known to one traffic thread: registry entries and statistics of past
//! attempts. The statistics belong to one incarnation and are discarded with it.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use parsleylatch_types::{
    EndpointId, EndpointVersion, FailureDomain, Incarnation, Micros, Millis, MonoTime, PacePercent,
    ServiceName, SlotCount, TokenCount,
};

use super::{
    domain_failures::DomainFailures,
    endpoint_notice::EndpointNotices,
    overload::{EngineLoad, OwnStreams, RoomClaim, StreamSize},
    ownership::EndpointOwnership,
    pace::is_plausible_pace,
    readers::NodeLocation,
    report::EngineReport,
};

/// Half-life of the failure rate; a crashed endpoint is back after one or two seconds.
const FAILURE_HALF_LIFE_MS: Millis = Millis::new(2_000);
/// Weight of a new outcome in the failure rate, in percent.
const FAILURE_WEIGHT_PERCENT: f64 = 20.0;
/// Divisor of a new sample's weight in the mean latency.
const LATENCY_SMOOTHING: u64 = 8;
/// Initial suspension of an endpoint whose connection broke; doubles with each further
/// failure.
const BROKEN_SUSPENSION_MS: Millis = Millis::new(1_000);
/// Initial suspension of an unreachable endpoint; doubles with each further failure.
const UNREACHABLE_SUSPENSION_MS: Millis = Millis::new(1_000);
/// Longest suspension of an endpoint.
const SUSPENSION_LIMIT_MS: Millis = Millis::new(8_000);
/// Age from which a reported load is ignored.
pub(super) const LOAD_AGE_LIMIT_MS: Millis = Millis::new(1_500);

/// Identifies one incarnation of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointKey {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Incarnation of its process.
    pub incarnation: Incarnation,
}

/// Registry entry of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Endpoint and incarnation.
    pub key: EndpointKey,
    /// Service that it provides.
    pub service: ServiceName,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Failure domain in which it runs.
    pub failure_domain: FailureDomain,
    /// Version of its software.
    pub version: EndpointVersion,
    /// Requests that it runs concurrently.
    pub slots: SlotCount,
    /// Whether it is shutting down and takes no new requests.
    pub is_leaving: bool,
}

/// Load that an endpoint reported with a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSample {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Requests that it runs concurrently, if reported.
    pub slots: Option<SlotCount>,
    /// Time that work takes at present, if reported.
    pub pace: Option<PacePercent>,
}

/// Outcome of an attempt at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered successfully.
    Answered {
        /// Time from the send to the response or its first event.
        latency: Micros,
    },
    /// The endpoint answered with an error.
    Errored,
    /// The endpoint answered that it did not run the request.
    Rejected,
    /// The connection broke, or the response timed out.
    Broken,
    /// The connection could not be established.
    Unreachable,
    /// Another process listens at the address.
    Replaced,
    /// The caller disconnected, or another attempt took over.
    Abandoned,
}

/// Entry and statistics of one incarnation.
#[derive(Clone, Debug)]
pub(crate) struct EndpointStats {
    pub(crate) entry: Arc<EndpointEntry>,
    pub(crate) is_listed: bool,
    /// Whether the endpoint is assigned to this node, which then prefers it.
    pub(crate) is_owned: bool,
    pub(crate) in_flight: u32,
    /// Copies of the memory of this thread's runs.
    pub(crate) copies: u32,
    /// Prompt tokens of this thread's requests that have no first event yet.
    pub(crate) unread_tokens: u64,
    load: Option<(LoadSample, MonoTime)>,
    /// Whether it has reported a load that can't be used.
    has_unusable_load: bool,
    pub(crate) engine_load: EngineLoad,
    failure_rate: f64,
    failure_rate_updated_at: MonoTime,
    pub(crate) latency: Option<Micros>,
    /// Last sign of life: the time of its first listing or of its last answer.
    last_alive_at: MonoTime,
    pub(crate) suspended_until: MonoTime,
    consecutive_failures: u32,
    pub(crate) is_replaced: bool,
}

impl EndpointStats {
    fn new(now: MonoTime, entry: Arc<EndpointEntry>, is_owned: bool) -> Self {
        Self {
            last_alive_at: now,
            entry,
            is_listed: true,
            is_owned,
            in_flight: 0,
            copies: 0,
            unread_tokens: 0,
            load: None,
            has_unusable_load: false,
            engine_load: EngineLoad::default(),
            failure_rate: 0.0,
            failure_rate_updated_at: MonoTime::ZERO,
            latency: None,
            suspended_until: MonoTime::ZERO,
            consecutive_failures: 0,
            is_replaced: false,
        }
    }

    /// Failure rate of attempts, decayed to `now`.
    pub(crate) fn failure_rate(&self, now: MonoTime) -> f64 {
        let age = now.since(self.failure_rate_updated_at).get() as f64;
        let half_lives = age / FAILURE_HALF_LIFE_MS.micros().get() as f64;
        self.failure_rate * 0.5_f64.powf(half_lives)
    }

    fn update_failure_rate(&mut self, now: MonoTime, failed: bool) {
        let weight = FAILURE_WEIGHT_PERCENT / 100.0;
        let sample = if failed { weight } else { 0.0 };
        self.failure_rate = self.failure_rate(now) * (1.0 - weight) + sample;
        self.failure_rate_updated_at = now;
    }

    fn suspend(&mut self, now: MonoTime, initial: Millis) {
        let doubled = initial.get() << self.consecutive_failures.min(3);
        self.consecutive_failures += 1;
        let length = Millis::new(doubled).min(SUSPENSION_LIMIT_MS);
        self.suspended_until = self.suspended_until.max(now + length);
    }

    pub(crate) fn has_room(&self, now: MonoTime, claim: RoomClaim) -> Option<bool> {
        self.engine_load
            .has_room(now, self.entry.slots, self.is_owned, claim)
    }

    /// Age of the reported load, if it was reported recently.
    pub(crate) fn load_age(&self, now: MonoTime) -> Option<Micros> {
        let age = now.since(self.load?.1);
        (age < LOAD_AGE_LIMIT_MS.micros()).then_some(age)
    }

    /// Queued requests, if reported recently.
    pub(crate) fn waiting(&self, now: MonoTime) -> u32 {
        let reported = self
            .load
            .filter(|(_, at)| now.since(*at) < LOAD_AGE_LIMIT_MS.micros());
        reported.map_or(0, |(load, _)| load.waiting)
    }

    /// Requests at the endpoint: the recently reported number, or this thread's own if
    /// that is larger.
    pub(crate) fn occupancy(&self, now: MonoTime) -> u32 {
        let reported = self
            .load
            .filter(|(_, at)| now.since(*at) < LOAD_AGE_LIMIT_MS.micros());
        let reported = reported.map_or(0, |(load, _)| load.running.saturating_add(load.waiting));
        reported.max(self.in_flight)
    }
}

/// Endpoints known to one traffic thread.
#[derive(Debug, Default)]
pub struct EndpointTable {
    endpoints: HashMap<EndpointKey, EndpointStats>,
    /// Nodes to which the endpoints are currently assigned.
    nodes: Arc<[NodeLocation]>,
    by_service: HashMap<ServiceName, Vec<EndpointKey>>,
    domain_failures: HashMap<(ServiceName, FailureDomain), DomainFailures>,
    pub(super) notices: EndpointNotices,
}

impl EndpointTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies the entries of a new snapshot and the assignment of endpoints to nodes.
    pub fn update<'a>(
        &mut self,
        now: MonoTime,
        entries: impl Iterator<Item = &'a Arc<EndpointEntry>>,
        ownership: EndpointOwnership<'_>,
    ) {
        let nodes_changed = self.nodes != *ownership.nodes;
        if nodes_changed {
            self.nodes = Arc::clone(ownership.nodes);
        }
        for stats in self.endpoints.values_mut() {
            stats.is_listed = false;
        }
        self.by_service.clear();
        for entry in entries {
            let stats = self.endpoints.entry(entry.key.clone());
            let stats = stats
                .and_modify(|known| {
                    if nodes_changed {
                        known.is_owned = ownership.owns(entry);
                    }
                })
                .or_insert_with(|| {
                    EndpointStats::new(now, Arc::clone(entry), ownership.owns(entry))
                });
            stats.is_listed = true;
            if stats.entry != *entry {
                stats.entry = Arc::clone(entry);
            }
            let listed = self.by_service.entry(entry.service.clone()).or_default();
            listed.push(entry.key.clone());
        }
        self.mark_replaced();
        self.endpoints
            .retain(|_, stats| stats.is_listed || stats.in_flight > 0);
    }

    /// Marks entries whose address belongs to a newer process. An entry stays listed
    /// for some seconds after its process has ended.
    fn mark_replaced(&mut self) {
        let mut newest: HashMap<SocketAddr, Incarnation> = HashMap::new();
        for stats in self.endpoints.values().filter(|it| it.is_listed) {
            let entry = &stats.entry;
            let incarnation = newest.entry(entry.address).or_default();
            *incarnation = entry.key.incarnation.max(*incarnation);
        }
        for stats in self.endpoints.values_mut() {
            let entry = &stats.entry;
            let newest = newest.get(&entry.address);
            stats.is_replaced |= newest.is_some_and(|it| *it > entry.key.incarnation);
        }
    }

    /// Entry of an incarnation, if it is still listed.
    pub fn entry(&self, key: &EndpointKey) -> Option<&Arc<EndpointEntry>> {
        let stats = self.endpoints.get(key).filter(|it| it.is_listed)?;
        Some(&stats.entry)
    }

    pub(crate) fn stats(&self, key: &EndpointKey) -> Option<&EndpointStats> {
        self.endpoints.get(key)
    }

    /// Whether an incarnation may receive new requests.
    pub fn is_usable(&self, key: &EndpointKey) -> bool {
        let stats = self.endpoints.get(key);
        stats.is_some_and(|it| it.is_listed && self.is_available(it))
    }

    /// Whether an incarnation or its failure domain is suspended, so that it is chosen
    /// only as a last resort. Unknown incarnations count as suspended.
    pub fn is_suspended(&self, now: MonoTime, key: &EndpointKey) -> bool {
        self.endpoints.get(key).is_none_or(|it| {
            it.suspended_until > now
                || self.is_domain_suspended(now, &it.entry.service, &it.entry.failure_domain)
        })
    }

    /// Whether an incarnation itself has failed so recently that it may reject a request.
    /// Unknown incarnations count as failed.
    pub fn has_failed_recently(&self, now: MonoTime, key: &EndpointKey) -> bool {
        let stats = self.endpoints.get(key);
        stats.is_none_or(|it| it.suspended_until > now)
    }

    /// Total requests at the endpoints of a service, and their total slots.
    pub fn occupancy(&self, now: MonoTime, service: &ServiceName) -> (u32, u32) {
        let endpoints = self.usable(service);
        endpoints.fold((0, 0), |(taken, slots), it| {
            (
                u32::saturating_add(taken, it.occupancy(now)),
                u32::saturating_add(slots, it.entry.slots.get()),
            )
        })
    }

    pub(crate) fn usable(&self, service: &ServiceName) -> impl Iterator<Item = &EndpointStats> {
        let keys = self.by_service.get(service).into_iter().flatten();
        keys.filter_map(|key| self.endpoints.get(key))
            .filter(|it| self.is_available(it))
    }

    fn is_available(&self, stats: &EndpointStats) -> bool {
        let is_leaving = stats.entry.is_leaving || self.notices.is_leaving(&stats.entry.key);
        !is_leaving && !stats.is_replaced
    }

    /// Usable endpoints that take requests at present.
    pub(crate) fn open(
        &self,
        now: MonoTime,
        service: &ServiceName,
    ) -> impl Iterator<Item = &EndpointStats> {
        self.usable(service)
            .filter(move |it| !self.is_paused(now, &it.entry.key))
    }

    pub(crate) fn is_domain_suspended(
        &self,
        now: MonoTime,
        service: &ServiceName,
        domain: &FailureDomain,
    ) -> bool {
        let failures = self.domain_failures.get(&(service.clone(), domain.clone()));
        failures.is_some_and(|it| it.is_suspended(now))
    }

    /// Whether an endpoint has shown no sign of life since several endpoints of its
    /// failure domain failed together. Its entry may stay listed long after its loss,
    /// for example during a store outage.
    pub(crate) fn may_be_lost(&self, stats: &EndpointStats) -> bool {
        let entry = &stats.entry;
        let domain = (entry.service.clone(), entry.failure_domain.clone());
        let failures = self.domain_failures.get(&domain);
        let failed_at = failures.and_then(DomainFailures::failed_at);
        failed_at.is_some_and(|at| stats.last_alive_at < at)
    }

    /// Records the start of an attempt.
    pub fn record_start(&mut self, key: &EndpointKey, prompt: TokenCount) {
        if let Some(stats) = self.endpoints.get_mut(key) {
            stats.in_flight += 1;
            stats.unread_tokens += u64::from(prompt.get());
        }
    }

    /// Records that the endpoint has read a prompt and starts to answer.
    pub fn record_prompt_read(&mut self, key: &EndpointKey, prompt: TokenCount) {
        if let Some(stats) = self.endpoints.get_mut(key) {
            let tokens = u64::from(prompt.get());
            stats.unread_tokens = stats.unread_tokens.saturating_sub(tokens);
        }
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, key: &EndpointKey) {
        if let Some(stats) = self.endpoints.get_mut(key) {
            stats.in_flight = stats.in_flight.saturating_sub(1);
        }
    }

    /// Records that an endpoint stores a copy of a run's memory.
    pub fn record_copy(&mut self, key: &EndpointKey) {
        if let Some(stats) = self.endpoints.get_mut(key) {
            stats.copies += 1;
        }
    }

    /// Records that a copy is no longer needed.
    pub fn record_copy_end(&mut self, key: &EndpointKey) {
        if let Some(stats) = self.endpoints.get_mut(key) {
            stats.copies = stats.copies.saturating_sub(1);
        }
    }

    /// Records a load reported by an endpoint; returns whether it is used, as
    /// [`Self::record_pace`] does.
    pub fn record_load(&mut self, now: MonoTime, key: &EndpointKey, load: LoadSample) -> bool {
        let is_used = self.record_pace(now, key, load);
        if let Some(stats) = self.endpoints.get_mut(key).filter(|_| is_used) {
            stats.load = Some((load, now));
        }
        is_used
    }

    /// Records only the pace of a load reported by an endpoint. Returns whether it is used: a
    /// load with a pace must not contradict the entry's slots.
    pub fn record_pace(&mut self, now: MonoTime, key: &EndpointKey, load: LoadSample) -> bool {
        let (Some(stats), Some(pace)) = (self.endpoints.get_mut(key), load.pace) else {
            return true;
        };
        let is_consistent = load.slots.is_none_or(|it| it == stats.entry.slots);
        let is_used = is_consistent && is_plausible_pace(pace);
        if is_used {
            stats.engine_load.record_pace(now, pace);
        }
        is_used
    }

    /// Records that an endpoint reported a load that can't be used; returns whether it is the
    /// first one of its incarnation.
    pub fn record_unusable_load(&mut self, key: &EndpointKey) -> bool {
        let stats = self.endpoints.get_mut(key);
        stats.is_some_and(|it| !std::mem::replace(&mut it.has_unusable_load, true))
    }

    /// Records a state report of an engine.
    pub fn record_report(&mut self, now: MonoTime, key: &EndpointKey, report: &EngineReport) {
        if let Some(stats) = self.endpoints.get_mut(key) {
            let load = LoadSample {
                running: report.running,
                waiting: report.waiting,
                ..LoadSample::default()
            };
            stats.load = Some((load, now));
            stats.engine_load.record_report(now, report);
        }
    }

    /// Records that a stream was sent to an engine.
    pub fn record_placement(&mut self, now: MonoTime, key: &EndpointKey, size: StreamSize) {
        if let Some(stats) = self.endpoints.get_mut(key) {
            stats.engine_load.record_placement(now, size);
        }
    }

    /// Records that a stream is assigned to an engine, and will be sent at once.
    pub fn reserve(&mut self, now: MonoTime, key: &EndpointKey, size: StreamSize) {
        if let Some(stats) = self.endpoints.get_mut(key) {
            stats.engine_load.reserve(now, size);
        }
    }

    /// Whether an engine has room for a stream, as reported; `None` without a recent
    /// report or if the engine can't be used.
    pub fn has_room(&self, now: MonoTime, key: &EndpointKey, claim: RoomClaim) -> Option<bool> {
        let stats = self.endpoints.get(key).filter(|_| self.is_usable(key))?;
        stats.has_room(now, claim)
    }

    /// Whether any engine of a service that takes requests reports room for a stream.
    pub(crate) fn any_has_room(
        &self,
        now: MonoTime,
        service: &ServiceName,
        claim: RoomClaim,
    ) -> bool {
        self.open(now, service).any(|it| {
            it.has_room(now, claim) == Some(true) && !self.is_suspended(now, &it.entry.key)
        })
    }

    /// Whether other requests at an engine explain why a stream there makes no progress.
    pub fn explains_delay(&self, now: MonoTime, key: &EndpointKey) -> bool {
        let stats = self.endpoints.get(key);
        stats.is_some_and(|it| it.engine_load.explains_delay(now))
    }

    /// This thread's streams and copies at the usable engines of a service.
    pub fn own_streams(&self, service: &ServiceName) -> OwnStreams {
        let usable = self.usable(service);
        usable.fold(OwnStreams::default(), |sum, it| OwnStreams {
            streams: sum.streams + it.in_flight,
            copies: sum.copies + it.copies,
            engines: sum.engines + 1,
        })
    }

    /// Records the first event of the stream that was sent to an engine at `sent_at`.
    pub fn record_first_event(&mut self, now: MonoTime, key: &EndpointKey, sent_at: MonoTime) {
        if let Some(stats) = self.endpoints.get_mut(key) {
            stats.engine_load.record_first_event(now, sent_at);
        }
    }

    /// Records the end of the attempt that was sent to an engine at `sent_at`.
    pub fn record_stream_end(&mut self, key: &EndpointKey, sent_at: MonoTime) {
        if let Some(stats) = self.endpoints.get_mut(key) {
            stats.engine_load.record_end(sent_at);
        }
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(&mut self, now: MonoTime, key: &EndpointKey, outcome: Outcome) {
        let Some(stats) = self.endpoints.get_mut(key) else {
            return;
        };
        match outcome {
            Outcome::Answered { latency } => {
                stats.update_failure_rate(now, false);
                stats.last_alive_at = now;
                stats.consecutive_failures = 0;
                stats.suspended_until = MonoTime::ZERO;
                let mean = stats.latency.map_or(latency.get(), |mean| {
                    mean.get() - mean.get() / LATENCY_SMOOTHING + latency.get() / LATENCY_SMOOTHING
                });
                stats.latency = Some(Micros::new(mean));
            }
            Outcome::Errored | Outcome::Rejected => stats.update_failure_rate(now, true),
            Outcome::Broken => {
                stats.update_failure_rate(now, true);
                stats.suspend(now, BROKEN_SUSPENSION_MS);
                self.record_domain_failure(now, key);
            }
            Outcome::Unreachable => {
                stats.update_failure_rate(now, true);
                stats.suspend(now, UNREACHABLE_SUSPENSION_MS);
                self.record_domain_failure(now, key);
            }
            Outcome::Replaced => {
                stats.is_replaced = true;
                self.record_domain_failure(now, key);
            }
            Outcome::Abandoned => {}
        }
    }

    /// Records that an endpoint that was silent goes on.
    pub fn record_sign_of_life(&mut self, now: MonoTime, key: &EndpointKey) {
        if let Some(stats) = self.endpoints.get_mut(key) {
            stats.last_alive_at = now;
            stats.consecutive_failures = 0;
            stats.suspended_until = MonoTime::ZERO;
        }
    }

    fn record_domain_failure(&mut self, now: MonoTime, key: &EndpointKey) {
        let Some(stats) = self.endpoints.get(key) else {
            return;
        };
        let entry = &stats.entry;
        let domain = (entry.service.clone(), entry.failure_domain.clone());
        self.domain_failures
            .entry(domain)
            .or_default()
            .record(now, key);
    }
}
