//! Model of nodes, failure domains and the endpoints of a service in virtual time, which replays
//! demands against four strategies.
//!
//! Nodes learn an endpoint's load with its responses only. An endpoint runs as many calls as it
//! has slots, and queues some more; it rejects the others without running them.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    ops::Range,
    sync::Arc,
};

use parsleylatch_decide::relay::{
    Border, CrossingCosts, EndpointEntry, EndpointKey, EndpointOwnership, EndpointTable,
    LoadSample, Locality, NodeLocation, Outcome, SelectionCriteria, Selector, ShareChange,
};
use parsleylatch_types::{
    ByteCount, FailureDomain, Incarnation, MicrosPerKilobyte, Millis, MonoTime, NodeId, Region,
    ServiceName, SlotCount, TokenCount,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Failure domains and their regions.
const DOMAINS: [(&str, &str); 4] = [
    ("a", "north"),
    ("b", "north"),
    ("c", "north"),
    ("d", "south"),
];
const ENDPOINTS_PER_DOMAIN: usize = 5;
const SLOTS: usize = 8;
const QUEUE_LIMIT: usize = 24;
/// Mean duration of a call; a domain serves 160 calls per second.
const CALL_MS: u64 = 250;
/// Time by which a call is in time.
const GOAL_MS: u64 = 1_000;
/// Attempts of a call, as for an idempotent route.
const ATTEMPTS: usize = 3;
const CALL_BYTES: u64 = 20_000;
const LOAD_AGE_LIMIT_MS: u64 = 1_500;
/// Calls that arrive before are not counted, as no load is known at first.
const WARM_UP_MS: u64 = 3_000;

/// How the endpoint of a call is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Strategy {
    /// In the own domain, whatever its load.
    OwnDomain,
    /// The least loaded endpoint of all domains.
    LeastLoaded,
    /// In the own domain until all its endpoints have as many calls as slots.
    Threshold,
    /// By the share that the marginal costs yield.
    MarginalCost,
}

/// What is replayed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) strategy: Strategy,
    /// Calls per second in all domains.
    pub(crate) calls_per_s: f64,
    /// Calls of domain `a` for each of another domain.
    pub(crate) imbalance: f64,
    /// Begin and end of the loss of all endpoints of domain `a`.
    pub(crate) loss_ms: (u64, u64),
    /// Time by which reports come later than responses.
    pub(crate) report_lag_ms: u64,
    /// Whether endpoints report their load.
    pub(crate) is_reported: bool,
    pub(crate) nodes_per_domain: usize,
    pub(crate) end_ms: u64,
    pub(crate) seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            strategy: Strategy::MarginalCost,
            calls_per_s: 400.0,
            imbalance: 1.0,
            loss_ms: (0, 0),
            report_lag_ms: 0,
            is_reported: true,
            nodes_per_domain: 6,
            end_ms: 20_000,
            seed: 1,
        }
    }
}

/// A call that has ended, or was given up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndedCall {
    pub(crate) domain: usize,
    pub(crate) arrived_ms: u64,
    /// Domain of its last endpoint.
    pub(crate) served_in: usize,
    /// Time until its response; `None` if it had none.
    pub(crate) took_ms: Option<u64>,
}

/// What became of the calls.
#[derive(Debug, Default)]
pub(crate) struct Replayed {
    pub(crate) calls: Vec<EndedCall>,
    /// Bytes over the borders of failure domains and of regions.
    pub(crate) domain_bytes: u64,
    pub(crate) region_bytes: u64,
    /// Times of the attempts at endpoints that were lost.
    pub(crate) failed_ms: Vec<u64>,
    /// Times of the attempts that were sent to endpoints of domain `a`.
    pub(crate) sent_to_a_ms: Vec<u64>,
    /// Changes of shares at the nodes of domain `a`, with their times.
    pub(crate) changes: Vec<(u64, ShareChange)>,
}

impl Replayed {
    fn of(&self, domain: usize) -> impl Iterator<Item = &EndedCall> {
        self.calls.iter().filter(move |it| it.domain == domain)
    }

    /// Part of the calls of a domain that were answered in time.
    pub(crate) fn goodput(&self, domain: usize) -> f64 {
        let is_in_time = |it: &&EndedCall| it.took_ms.is_some_and(|took| took <= GOAL_MS);
        let in_time = self.of(domain).filter(is_in_time).count();
        in_time as f64 / self.of(domain).count().max(1) as f64
    }

    /// Bytes over all borders.
    pub(crate) fn bytes(&self) -> u64 {
        self.domain_bytes + self.region_bytes
    }

    /// Mean time until the response of a domain's calls that have one.
    pub(crate) fn mean_ms(&self, domain: usize) -> f64 {
        let took: Vec<u64> = self.of(domain).filter_map(|it| it.took_ms).collect();
        took.iter().sum::<u64>() as f64 / took.len().max(1) as f64
    }

    /// Time until the response of the given part of a domain's calls that have one.
    pub(crate) fn quantile_ms(&self, domain: usize, part: f64) -> u64 {
        let mut took: Vec<u64> = self.of(domain).filter_map(|it| it.took_ms).collect();
        took.sort_unstable();
        took[((took.len() - 1) as f64 * part) as usize]
    }

    /// Part of the calls of domain `a` that arrived in a span and were served elsewhere.
    pub(crate) fn left_a(&self, span_ms: Range<u64>) -> f64 {
        let arrived = || self.of(0).filter(|it| span_ms.contains(&it.arrived_ms));
        let left = arrived().filter(|it| it.served_in != 0).count();
        left as f64 / arrived().count().max(1) as f64
    }
}

struct Call {
    node: usize,
    domain: usize,
    arrived_ms: u64,
    excluded: Vec<EndpointKey>,
    sent_ms: u64,
}

#[derive(Default)]
struct Endpoint {
    running: usize,
    waiting: VecDeque<usize>,
    /// How often it was lost; calls that ran there before don't end.
    losses: u64,
}

enum EventKind {
    Arrived,
    Finished { losses: u64 },
    Answered,
    Rejected,
    Failed,
    Reported(LoadSample),
}

/// Something that happens to a call at an endpoint.
struct Event {
    call: usize,
    endpoint: usize,
    kind: EventKind,
}

struct Node {
    table: EndpointTable,
    selector: Selector,
    /// Reported loads and their times, for the strategies without shares.
    known: HashMap<usize, (u32, u64)>,
    in_flight: HashMap<usize, u32>,
}

struct Model {
    scenario: Scenario,
    now_ms: u64,
    nodes: Vec<Node>,
    endpoints: Vec<Endpoint>,
    keys: Vec<EndpointKey>,
    calls: Vec<Call>,
    events: BTreeMap<u64, Vec<Event>>,
    random: Pcg64Mcg,
    replayed: Replayed,
}

fn service() -> ServiceName {
    "s".parse().unwrap()
}

fn regions() -> HashMap<FailureDomain, Region> {
    let regions = DOMAINS.iter();
    let parsed = regions.map(|(domain, region)| (domain.parse().unwrap(), region.parse().unwrap()));
    parsed.collect()
}

fn domain_of(endpoint: usize) -> usize {
    endpoint / ENDPOINTS_PER_DOMAIN
}

fn entry(number: usize) -> Arc<EndpointEntry> {
    Arc::new(EndpointEntry {
        key: EndpointKey {
            id: format!("i-{number}").parse().unwrap(),
            incarnation: Incarnation::new(1),
        },
        service: service(),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        failure_domain: DOMAINS[domain_of(number)].0.parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: SlotCount::new(SLOTS as u32),
        is_leaving: false,
    })
}

fn node(number: usize, scenario: Scenario) -> Node {
    let own: NodeId = format!("n-{number}").parse().unwrap();
    let per_domain = scenario.nodes_per_domain;
    let nodes: Vec<_> = (0..DOMAINS.len() * per_domain)
        .map(|it| NodeLocation {
            id: format!("n-{it}").parse().unwrap(),
            region: Some(DOMAINS[it / per_domain].1.parse().unwrap()),
            failure_domain: Some(DOMAINS[it / per_domain].0.parse().unwrap()),
        })
        .collect();
    let endpoints = 0..DOMAINS.len() * ENDPOINTS_PER_DOMAIN;
    let entries: Vec<_> = endpoints.map(entry).collect();
    let ownership = EndpointOwnership {
        own: &own,
        nodes: &nodes.into(),
        regions: &regions(),
    };
    let mut table = EndpointTable::new();
    table.update(MonoTime::ZERO, entries.iter(), ownership);
    let (domain, region) = DOMAINS[number / per_domain];
    let mut selector = Selector::new(
        domain.parse().unwrap(),
        region.parse().unwrap(),
        regions(),
        scenario.seed * 1_000 + number as u64,
    );
    let costs = CrossingCosts {
        domain: MicrosPerKilobyte::new(200),
        region: MicrosPerKilobyte::new(1_000),
    };
    selector.set_locality((scenario.strategy == Strategy::MarginalCost).then_some(costs));
    Node {
        table,
        selector,
        known: HashMap::new(),
        in_flight: HashMap::new(),
    }
}

/// Replays a scenario.
pub(crate) fn replay(scenario: Scenario) -> Replayed {
    let nodes = 0..DOMAINS.len() * scenario.nodes_per_domain;
    let endpoints = 0..DOMAINS.len() * ENDPOINTS_PER_DOMAIN;
    let mut model = Model {
        scenario,
        now_ms: 0,
        nodes: nodes.map(|it| node(it, scenario)).collect(),
        endpoints: endpoints.clone().map(|_| Endpoint::default()).collect(),
        keys: endpoints.map(|it| entry(it).key.clone()).collect(),
        calls: Vec::new(),
        events: BTreeMap::new(),
        random: Pcg64Mcg::seed_from_u64(scenario.seed),
        replayed: Replayed::default(),
    };
    let parts = scenario.imbalance + (DOMAINS.len() - 1) as f64;
    for now_ms in 0..scenario.end_ms + 5_000 {
        model.now_ms = now_ms;
        if now_ms == scenario.loss_ms.0 && scenario.loss_ms.1 > 0 {
            model.lose_endpoints();
        }
        for event in model.events.remove(&now_ms).unwrap_or_default() {
            model.handle(event);
        }
        for domain in 0..DOMAINS.len() {
            let weight = if domain == 0 { scenario.imbalance } else { 1.0 };
            let per_ms = scenario.calls_per_s * weight / parts / 1_000.0;
            let is_arrival = model.random.random::<f64>() < per_ms;
            let node = model.random.random_range(0..scenario.nodes_per_domain);
            if now_ms < scenario.end_ms && is_arrival {
                model.begin_call(domain, node);
            }
        }
    }
    model.replayed
}

impl Model {
    fn now(&self) -> MonoTime {
        MonoTime::ZERO + Millis::new(self.now_ms)
    }

    fn begin_call(&mut self, domain: usize, number: usize) {
        let node = domain * self.scenario.nodes_per_domain + number;
        self.calls.push(Call {
            node,
            domain,
            arrived_ms: self.now_ms,
            excluded: Vec::new(),
            sent_ms: self.now_ms,
        });
        if let Some(locality) = self.nodes[node].selector.locality_mut() {
            locality.record_demand(&service(), Millis::new(GOAL_MS).micros());
        }
        self.send(self.calls.len() - 1);
    }

    fn is_lost(&self, endpoint: usize) -> bool {
        let (from_ms, until_ms) = self.scenario.loss_ms;
        domain_of(endpoint) == 0 && (from_ms..until_ms).contains(&self.now_ms)
    }

    fn lose_endpoints(&mut self) {
        for endpoint in 0..ENDPOINTS_PER_DOMAIN {
            let lost = &mut self.endpoints[endpoint];
            lost.losses += 1;
            lost.running = 0;
            for call in std::mem::take(&mut lost.waiting) {
                self.after(1, call, endpoint, EventKind::Failed);
            }
        }
    }

    fn after(&mut self, delay_ms: u64, call: usize, endpoint: usize, kind: EventKind) {
        let events = self.events.entry(self.now_ms + delay_ms.max(1));
        events.or_default().push(Event {
            call,
            endpoint,
            kind,
        });
    }

    /// One-way latency between the node of a call and an endpoint.
    fn way_ms(&self, call: usize, endpoint: usize) -> u64 {
        let (own, other) = (self.calls[call].domain, domain_of(endpoint));
        match DOMAINS[own].1 == DOMAINS[other].1 {
            true => 1,
            false => 12,
        }
    }

    fn send(&mut self, call: usize) {
        let Some(endpoint) = self.choose(call) else {
            return self.end(call, self.calls[call].domain, None);
        };
        self.calls[call].sent_ms = self.now_ms;
        let at = &mut self.nodes[self.calls[call].node];
        at.table
            .record_start(&self.keys[endpoint], TokenCount::ZERO);
        *at.in_flight.entry(endpoint).or_default() += 1;
        if domain_of(endpoint) == 0 {
            self.replayed.sent_to_a_ms.push(self.now_ms);
        }
        let way_ms = self.way_ms(call, endpoint);
        self.after(way_ms, call, endpoint, EventKind::Arrived);
    }

    fn choose(&mut self, call: usize) -> Option<usize> {
        let excluded = self.calls[call].excluded.clone();
        if excluded.len() >= ATTEMPTS {
            return None;
        }
        match self.scenario.strategy {
            Strategy::MarginalCost => self.choose_by_cost(call, &excluded),
            Strategy::OwnDomain => {
                let own = self.calls[call].domain;
                let others = self.keys.iter().enumerate();
                let others = others.filter(|(endpoint, _)| domain_of(*endpoint) != own);
                let others = others.map(|(_, key)| key.clone());
                let excluded: Vec<_> = others.chain(excluded).collect();
                self.choose_by_cost(call, &excluded)
            }
            Strategy::LeastLoaded | Strategy::Threshold => self.choose_by_load(call, &excluded),
        }
    }

    fn choose_by_cost(&mut self, call: usize, excluded: &[EndpointKey]) -> Option<usize> {
        let now = self.now();
        let node = &mut self.nodes[self.calls[call].node];
        let service = service();
        let criteria = SelectionCriteria {
            service: &service,
            excluded,
            copy: None,
            prompt_holder: None,
            prompt: TokenCount::ZERO,
            with_backup: false,
            version: None,
        };
        let choice = node.selector.select(now, &node.table, &criteria)?;
        let changes = node.selector.locality_mut().map(Locality::take_changes);
        let changes = changes.unwrap_or_default().into_iter();
        if self.calls[call].domain == 0 {
            let timed = changes.map(|it| (self.now_ms, it));
            self.replayed.changes.extend(timed);
        }
        self.keys.iter().position(|it| *it == choice.endpoint.key)
    }

    fn choose_by_load(&mut self, call: usize, excluded: &[EndpointKey]) -> Option<usize> {
        let now = self.now();
        let own = self.calls[call].domain;
        let node = &self.nodes[self.calls[call].node];
        let mut loads = Vec::new();
        for (endpoint, key) in self.keys.iter().enumerate() {
            let known = node.known.get(&endpoint);
            let known = known.filter(|(_, at_ms)| self.now_ms - at_ms < LOAD_AGE_LIMIT_MS);
            let in_flight = node.in_flight.get(&endpoint).copied().unwrap_or_default();
            let load = known.map_or(0, |(load, _)| *load).max(in_flight);
            let is_suspended = node.table.is_suspended(now, key);
            let tie: u32 = self.random.random();
            if !excluded.contains(key) {
                loads.push((is_suspended, load, tie, endpoint));
            }
        }
        let own_least = loads.iter().filter(|it| domain_of(it.3) == own).min();
        let least = loads.iter().min();
        let has_room = own_least.is_some_and(|it| !it.0 && it.1 < SLOTS as u32);
        let chosen = match self.scenario.strategy {
            Strategy::Threshold if has_room => own_least,
            _ => least,
        };
        chosen.map(|it| it.3)
    }

    fn handle(&mut self, event: Event) {
        let Event {
            call,
            endpoint,
            kind,
        } = event;
        match kind {
            EventKind::Arrived => self.arrive(call, endpoint),
            EventKind::Finished { losses } => self.finish(call, endpoint, losses),
            EventKind::Answered => {
                let latency = Millis::new(self.now_ms - self.calls[call].sent_ms).micros();
                self.leave_endpoint(call, endpoint, Outcome::Answered { latency });
                let took_ms = self.now_ms - self.calls[call].arrived_ms;
                self.end(call, domain_of(endpoint), Some(took_ms));
            }
            EventKind::Rejected => self.repeat(call, endpoint, Outcome::Rejected),
            EventKind::Failed => {
                self.replayed.failed_ms.push(self.now_ms);
                self.repeat(call, endpoint, Outcome::Broken);
            }
            EventKind::Reported(load) => {
                let now = self.now();
                let at = &mut self.nodes[self.calls[call].node];
                at.table.record_load(now, &self.keys[endpoint], load);
                let known = load.running + load.waiting;
                at.known.insert(endpoint, (known, self.now_ms));
            }
        }
    }

    fn arrive(&mut self, call: usize, endpoint: usize) {
        let way_ms = self.way_ms(call, endpoint);
        if self.is_lost(endpoint) {
            return self.after(way_ms, call, endpoint, EventKind::Failed);
        }
        let at = &mut self.endpoints[endpoint];
        if at.running < SLOTS {
            return self.run(call, endpoint);
        }
        if at.waiting.len() >= QUEUE_LIMIT {
            self.report(call, endpoint);
            return self.after(way_ms, call, endpoint, EventKind::Rejected);
        }
        at.waiting.push_back(call);
    }

    fn run(&mut self, call: usize, endpoint: usize) {
        let duration_ms = self.random.random_range(CALL_MS / 2..CALL_MS * 3 / 2);
        let at = &mut self.endpoints[endpoint];
        at.running += 1;
        let losses = at.losses;
        self.after(duration_ms, call, endpoint, EventKind::Finished { losses });
    }

    fn finish(&mut self, call: usize, endpoint: usize, losses: u64) {
        let way_ms = self.way_ms(call, endpoint);
        let at = &mut self.endpoints[endpoint];
        if at.losses != losses {
            return self.after(1, call, endpoint, EventKind::Failed);
        }
        at.running -= 1;
        self.report(call, endpoint);
        self.after(way_ms, call, endpoint, EventKind::Answered);
        if let Some(next) = self.endpoints[endpoint].waiting.pop_front() {
            self.run(next, endpoint);
        }
    }

    /// Sends the load of an endpoint to the node of a call.
    fn report(&mut self, call: usize, endpoint: usize) {
        if !self.scenario.is_reported {
            return;
        }
        let at = &self.endpoints[endpoint];
        let load = LoadSample {
            running: at.running as u32,
            waiting: at.waiting.len() as u32,
            ..LoadSample::default()
        };
        let delay_ms = self.way_ms(call, endpoint) + self.scenario.report_lag_ms;
        self.after(delay_ms, call, endpoint, EventKind::Reported(load));
    }

    fn repeat(&mut self, call: usize, endpoint: usize, outcome: Outcome) {
        self.leave_endpoint(call, endpoint, outcome);
        let key = self.keys[endpoint].clone();
        self.calls[call].excluded.push(key);
        self.send(call);
    }

    fn leave_endpoint(&mut self, call: usize, endpoint: usize, outcome: Outcome) {
        let now = self.now();
        let at = &mut self.nodes[self.calls[call].node];
        at.table.record_outcome(now, &self.keys[endpoint], outcome);
        at.table.record_end(&self.keys[endpoint]);
        let in_flight = at.in_flight.entry(endpoint).or_default();
        *in_flight = in_flight.saturating_sub(1);
        if let Some(locality) = at.selector.locality_mut() {
            locality.record_transfer(&service(), ByteCount::new(CALL_BYTES));
        }
        if self.calls[call].arrived_ms < WARM_UP_MS {
            return;
        }
        let domain: FailureDomain = DOMAINS[domain_of(endpoint)].0.parse().unwrap();
        match at.selector.border(&domain) {
            Some(Border::Domain) => self.replayed.domain_bytes += CALL_BYTES,
            Some(Border::Region) => self.replayed.region_bytes += CALL_BYTES,
            None => {}
        }
    }

    fn end(&mut self, call: usize, served_in: usize, took_ms: Option<u64>) {
        let ended = &self.calls[call];
        if ended.arrived_ms >= WARM_UP_MS {
            self.replayed.calls.push(EndedCall {
                domain: ended.domain,
                arrived_ms: ended.arrived_ms,
                served_in,
                took_ms,
            });
        }
    }
}
