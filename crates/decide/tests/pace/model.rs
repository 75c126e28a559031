//! Model of endpoints whose pace changes, and of nodes that learn of it late, in virtual time.
//!
//! An endpoint works on as many requests as it has slots, in the order of their arrival. A
//! different set of endpoints is slow every 600 ms. A node learns the load of an endpoint with
//! its responses, and by asking it every 500 ms, so that what it knows is 0 to 500 ms old.

use std::collections::{HashMap, VecDeque};

use parsleylatch_decide::relay::{
    EndpointEntry, EndpointKey, EndpointOwnership, EndpointTable, LoadSample, NodeLocation,
    Outcome, SelectionCriteria, Selector,
};
use parsleylatch_types::{
    FailureDomain, Incarnation, Micros, MonoTime, NodeId, PacePercent, Region, ServiceName,
    SlotCount, TokenCount,
};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_pcg::Pcg64Mcg;

pub(crate) const ENDPOINTS: usize = 20;
/// 15 % of the endpoints.
const SLOW_ENDPOINTS: usize = 3;
const SLOW_PACE: PacePercent = PacePercent::new(250);
const USUAL_PACE: PacePercent = PacePercent::new(100);
const PHASE_US: u64 = 600_000;
const QUERY_INTERVAL_US: u64 = 500_000;
/// Time until the nodes know the endpoints; requests before it don't count.
const WARM_UP_US: u64 = 1_000_000;

/// Requests that the endpoints get.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand {
    pub(crate) nodes: usize,
    pub(crate) slots: SlotCount,
    /// Time for which a request takes a slot at the usual pace.
    pub(crate) work: Micros,
    pub(crate) per_s: f64,
    /// Prompt of each request; zero for calls.
    pub(crate) prompt: TokenCount,
    /// Whether nodes ask endpoints for their load; otherwise only responses tell it.
    pub(crate) has_queries: bool,
    pub(crate) tick: Micros,
    pub(crate) duration: Micros,
}

/// What the endpoints report of their pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reports {
    /// Nothing.
    WithoutPace,
    /// Always the usual pace.
    AlwaysUsual,
    /// Their pace.
    True,
    /// Their pace in one of four seconds.
    Seldom,
    /// Their pace, which reaches the nodes 1.5 s late.
    Delayed,
    /// Their pace, but two in five have reported 1 or 10,000 since their start.
    PartlyFalse,
    /// All of them 1 or 10,000.
    AllFalse,
}

impl Reports {
    fn delay_us(self) -> u64 {
        match self {
            Self::Delayed => 1_500_000,
            _ => 0,
        }
    }

    /// Pace that an endpoint reports.
    fn reported(self, now_us: u64, endpoint: usize, pace: PacePercent) -> Option<PacePercent> {
        let lie = PacePercent::new(if endpoint.is_multiple_of(2) {
            1
        } else {
            10_000
        });
        match self {
            Self::WithoutPace => None,
            Self::AlwaysUsual => Some(USUAL_PACE),
            Self::True | Self::Delayed => Some(pace),
            Self::Seldom => (now_us % 4_000_000 < 1_000_000).then_some(pace),
            Self::PartlyFalse if endpoint < ENDPOINTS * 2 / 5 => Some(lie),
            Self::PartlyFalse => Some(pace),
            Self::AllFalse => Some(lie),
        }
    }
}

/// Response times, and the requests that each endpoint got.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tally {
    latencies_us: Vec<u64>,
    pub(crate) by_endpoint: Vec<usize>,
}

impl Tally {
    pub(crate) fn mean_ms(&self) -> f64 {
        self.latencies_us.iter().sum::<u64>() as f64 / self.latencies_us.len() as f64 / 1e3
    }

    pub(crate) fn percentile_ms(&self, percent: usize) -> f64 {
        let mut sorted = self.latencies_us.clone();
        sorted.sort_unstable();
        sorted[(sorted.len() - 1) * percent / 100] as f64 / 1e3
    }

    /// Requests of an endpoint in relation to the mean.
    pub(crate) fn share(&self, endpoint: usize) -> f64 {
        let total: usize = self.by_endpoint.iter().sum();
        self.by_endpoint[endpoint] as f64 * ENDPOINTS as f64 / total as f64
    }

    pub(crate) fn plus(mut self, other: &Self) -> Self {
        self.latencies_us.extend(&other.latencies_us);
        self.by_endpoint.resize(ENDPOINTS, 0);
        for (sum, count) in self.by_endpoint.iter_mut().zip(&other.by_endpoint) {
            *sum += count;
        }
        self
    }
}

#[derive(Clone, Copy, Debug)]
struct Job {
    node: usize,
    sent_us: u64,
    left_us: f64,
}

struct Node {
    table: EndpointTable,
    selector: Selector,
}

struct Model {
    demand: Demand,
    reports: Reports,
    nodes: Vec<Node>,
    keys: Vec<EndpointKey>,
    queues: Vec<VecDeque<Job>>,
    paces: Vec<PacePercent>,
    /// What each endpoint has reported, by time.
    reported: Vec<VecDeque<(u64, LoadSample)>>,
    tally: Tally,
}

pub(crate) fn service() -> ServiceName {
    "s".parse().unwrap()
}

pub(crate) fn entry(number: usize, slots: SlotCount) -> EndpointEntry {
    EndpointEntry {
        key: EndpointKey {
            id: format!("i-{number}").parse().unwrap(),
            incarnation: Incarnation::new(1),
        },
        service: service(),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        failure_domain: "a".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots,
        is_leaving: false,
    }
}

fn node(number: usize, demand: Demand, seed: u64) -> Node {
    let regions: HashMap<FailureDomain, Region> =
        HashMap::from([("a".parse().unwrap(), "r".parse().unwrap())]);
    let own: NodeId = format!("n-{number}").parse().unwrap();
    let nodes: Vec<_> = (0..demand.nodes)
        .map(|it| NodeLocation {
            id: format!("n-{it}").parse().unwrap(),
            region: Some("r".parse().unwrap()),
            failure_domain: None,
        })
        .collect();
    let entries: Vec<_> = (0..ENDPOINTS)
        .map(|it| entry(it, demand.slots).into())
        .collect();
    let mut table = EndpointTable::new();
    let ownership = EndpointOwnership {
        own: &own,
        nodes: &nodes.into(),
        regions: &regions,
    };
    table.update(MonoTime::ZERO, entries.iter(), ownership);
    let (domain, region) = ("a".parse().unwrap(), "r".parse().unwrap());
    Node {
        table,
        selector: Selector::new(domain, region, regions, seed * 100 + number as u64),
    }
}

/// Sends the requests of `demand` to endpoints that report their pace as `reports` says. All
/// reports are made under the same arrivals and slow phases.
pub(crate) fn replay(demand: Demand, reports: Reports, seed: u64) -> Tally {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut model = Model {
        demand,
        reports,
        nodes: (0..demand.nodes).map(|it| node(it, demand, seed)).collect(),
        keys: (0..ENDPOINTS)
            .map(|it| entry(it, demand.slots).key)
            .collect(),
        queues: vec![VecDeque::new(); ENDPOINTS],
        paces: vec![USUAL_PACE; ENDPOINTS],
        reported: vec![VecDeque::new(); ENDPOINTS],
        tally: Tally {
            by_endpoint: vec![0; ENDPOINTS],
            ..Tally::default()
        },
    };
    let tick_us = demand.tick.get();
    let arrivals_per_tick = demand.per_s * tick_us as f64 / 1e6;
    let mut order: Vec<usize> = (0..ENDPOINTS).collect();
    for now_us in (0..demand.duration.get()).step_by(tick_us as usize) {
        if now_us % PHASE_US < tick_us {
            order.shuffle(&mut random);
            for (rank, endpoint) in order.iter().enumerate() {
                let is_slow = rank < SLOW_ENDPOINTS;
                model.paces[*endpoint] = if is_slow { SLOW_PACE } else { USUAL_PACE };
            }
        }
        for endpoint in 0..ENDPOINTS {
            model.work(now_us, endpoint);
        }
        if demand.has_queries {
            model.answer_queries(now_us);
        }
        // Two draws approximate the arrivals of many independent callers.
        for _ in 0..2 {
            if random.random::<f64>() < arrivals_per_tick / 2.0 {
                model.send(now_us, random.random_range(0..demand.nodes));
            }
        }
    }
    model.tally
}

impl Model {
    fn send(&mut self, now_us: u64, number: usize) {
        let now = MonoTime::new(now_us);
        let service = service();
        let criteria = SelectionCriteria {
            service: &service,
            excluded: &[],
            copy: None,
            prompt_holder: None,
            prompt: self.demand.prompt,
            with_backup: false,
            version: None,
        };
        let node = &mut self.nodes[number];
        let choice = node.selector.select(now, &node.table, &criteria).unwrap();
        let key = &choice.endpoint.key;
        node.table.record_start(key, self.demand.prompt);
        let endpoint = self.keys.iter().position(|it| it == key).unwrap();
        self.queues[endpoint].push_back(Job {
            node: number,
            sent_us: now_us,
            left_us: self.demand.work.get() as f64,
        });
    }

    /// Works for one tick.
    fn work(&mut self, now_us: u64, endpoint: usize) {
        let slots = self.demand.slots.get() as usize;
        let pace = f64::from(self.paces[endpoint].get());
        let done_us = self.demand.tick.get() as f64 * 100.0 / pace;
        let queue = &mut self.queues[endpoint];
        for job in queue.iter_mut().take(slots) {
            job.left_us -= done_us;
        }
        let answered: Vec<Job> = queue
            .iter()
            .filter(|it| it.left_us <= 0.0)
            .copied()
            .collect();
        queue.retain(|it| it.left_us > 0.0);
        self.report(now_us, endpoint);
        for job in answered {
            self.answer(now_us, endpoint, job);
        }
    }

    fn report(&mut self, now_us: u64, endpoint: usize) {
        let requests = self.queues[endpoint].len() as u32;
        let slots = self.demand.slots;
        let load = LoadSample {
            running: requests.min(slots.get()),
            waiting: requests.saturating_sub(slots.get()),
            slots: Some(slots),
            pace: self
                .reports
                .reported(now_us, endpoint, self.paces[endpoint]),
        };
        let reported = &mut self.reported[endpoint];
        reported.push_back((now_us, load));
        while reported[0].0 + self.reports.delay_us() < now_us {
            reported.pop_front();
        }
    }

    /// Load that reaches a node now: the present one, with the pace that was reported earlier if
    /// reports of it are delayed.
    fn known_load(&self, endpoint: usize) -> LoadSample {
        let reported = &self.reported[endpoint];
        LoadSample {
            pace: reported[0].1.pace,
            ..reported[reported.len() - 1].1
        }
    }

    fn answer(&mut self, now_us: u64, endpoint: usize, job: Job) {
        let load = self.known_load(endpoint);
        let (now, key) = (MonoTime::new(now_us), &self.keys[endpoint]);
        let latency = Micros::new(now_us - job.sent_us);
        let table = &mut self.nodes[job.node].table;
        table.record_load(now, key, load);
        table.record_prompt_read(key, self.demand.prompt);
        table.record_outcome(now, key, Outcome::Answered { latency });
        table.record_end(key);
        if job.sent_us >= WARM_UP_US {
            self.tally.latencies_us.push(latency.get());
            self.tally.by_endpoint[endpoint] += 1;
        }
    }

    /// Answers the queries that are due, each pair of node and endpoint at another time.
    fn answer_queries(&mut self, now_us: u64) {
        let tick_us = self.demand.tick.get();
        for endpoint in 0..ENDPOINTS {
            let load = self.known_load(endpoint);
            let pairs = self.demand.nodes * ENDPOINTS;
            for (number, node) in self.nodes.iter_mut().enumerate() {
                // A stride without a common divisor spreads neighbouring pairs.
                let pair = (number * ENDPOINTS + endpoint) * 7_919 % pairs;
                let offset_us = QUERY_INTERVAL_US * pair as u64 / pairs as u64;
                if (now_us + offset_us) % QUERY_INTERVAL_US < tick_us {
                    let key = &self.keys[endpoint];
                    node.table.record_load(MonoTime::new(now_us), key, load);
                }
            }
        }
    }
}
