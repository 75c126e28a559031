//! Model of engines and nodes in virtual time, which replays load patterns against the
//! decisions on waiting and placement.
//!
//! An engine runs a batch in steps. A step generates one token for each running stream
//! and reads one chunk of the oldest unread prompt. Prompts are admitted in order while
//! the memory has room, those of the highest rank first; when it runs out, the newest stream of the lowest rank is preempted and its prompt
//! is read again. The nodes learn an engine's state late, and only by asking.

use std::collections::{HashMap, VecDeque};

use parsleylatch_decide::relay::{
    Assignment, EndpointEntry, EndpointKey, EndpointOwnership, EndpointTable, EngineReport,
    NodeLocation, Notice, PlacementQueue, QueueTicket, QueuedStream, RankClass, Room, RoomClaim,
    RunProgress, SelectionCriteria, Selector, StreamSize, assign_engines, room,
};
use parsleylatch_types::{
    ByteCount, FailureDomain, Incarnation, Micros, Millis, MonoTime, NodeId, Rank, Region,
    ServiceName, SlotCount, TokenCount,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ENGINES: u16 = 12;
const MEMORY_TOKENS: u64 = 55_000;
const CHUNK_TOKENS: u64 = 125;
const STEP_US: u64 = 5_180;
const CHUNK_US: u64 = 25_000;
const EVENT_TOKENS: u64 = 6;
const REPORT_LAG_US: u64 = 200_000;
const QUERY_INTERVAL_US: u64 = 150_000;
const QUERIED_ENGINES: usize = 4;
const TICK_US: u64 = 5_000;
/// Time for which a request may be on its way to an engine that has just said that it takes
/// none.
const ON_THE_WAY_US: u64 = 500_000;
const GOAL_MS: Millis = Millis::new(4_500);
/// Time after a burst from which streams are in time again.
const RECOVERY_US: u64 = 2_000_000;
const GAP_GOAL_US: u64 = 700_000;
const DEADLINE_MS: Millis = Millis::new(25_000);
/// Size of each stream.
pub(crate) const SIZE: StreamSize = StreamSize {
    prompt: TokenCount::new(5_000),
    output: TokenCount::new(780),
};

/// How streams reach the engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Strategy {
    /// Each stream is sent to the engine of the lowest cost at once.
    SendAtOnce,
    /// Streams wait at the node while the engines are full.
    Wait,
}

/// Load over time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoadPattern {
    /// Streams per second before and after the burst.
    pub(crate) calm_per_s: f64,
    /// Streams per second in the burst.
    pub(crate) burst_per_s: f64,
    /// Begin and end of the burst, in seconds.
    pub(crate) burst_s: (u64, u64),
    /// End of the arrivals, in seconds.
    pub(crate) end_s: u64,
    /// Engines that are four times slower during the burst.
    pub(crate) slow_engines: u16,
    /// Engines that take no requests for a while, and when.
    pub(crate) closed: ClosedEngines,
    pub(crate) nodes: usize,
    /// Ranks of the streams; one rank without.
    pub(crate) ranks: Option<Ranks>,
}

/// Streams of two ranks at one service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ranks {
    /// Share of the streams that have the higher rank.
    pub(crate) high_share: f64,
    /// Whether the nodes tell the ranks apart when they look for room.
    pub(crate) has_reserve: bool,
}

/// What a stream is worth and when it is due.
#[derive(Clone, Copy, Debug)]
struct Kind {
    rank: Rank,
    rank_class: RankClass,
    goal_ms: Millis,
    value: u64,
}

impl Kind {
    const ONLY: Self = Self {
        rank: Rank::new(1),
        rank_class: RankClass::Only,
        goal_ms: GOAL_MS,
        value: 1,
    };

    fn draw(ranks: Option<Ranks>, random: &mut Pcg64Mcg) -> Self {
        let Some(ranks) = ranks else {
            return Self::ONLY;
        };
        let mut kind = match random.random::<f64>() < ranks.high_share {
            true => Self {
                rank: Rank::new(0),
                rank_class: RankClass::Highest,
                goal_ms: Millis::new(4_000),
                value: 70,
            },
            false => Self {
                rank: Rank::new(2),
                rank_class: RankClass::Lower,
                goal_ms: Millis::new(10_000),
                value: 18,
            },
        };
        if !ranks.has_reserve {
            kind.rank_class = RankClass::Only;
        }
        kind
    }
}

/// Engines that reject every request, with the time after which they take requests again.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClosedEngines {
    pub(crate) engines: u16,
    /// Begin and end, in seconds.
    pub(crate) span_s: (u64, u64),
}

impl ClosedEngines {
    /// Time for which an engine takes no requests; `None` if it takes them.
    fn closed_for(self, now_us: u64, engine: usize) -> Option<Micros> {
        let (from_us, until_us) = (self.span_s.0 * 1_000_000, self.span_s.1 * 1_000_000);
        let is_closed = engine < usize::from(self.engines) && (from_us..until_us).contains(&now_us);
        is_closed.then(|| Micros::new(until_us - now_us))
    }
}

#[derive(Clone, Debug)]
struct Run {
    request: usize,
    rank: Rank,
    unread_tokens: u64,
    generated_tokens: u64,
}

impl Run {
    fn memory_tokens(&self) -> u64 {
        u64::from(SIZE.prompt.get()) + self.generated_tokens
    }
}

#[derive(Default)]
struct Engine {
    waiting: Vec<Run>,
    running: Vec<Run>,
    busy_until_us: u64,
    wasted_tokens: u64,
    reports: VecDeque<(u64, EngineReport)>,
    /// When it first rejected a request, by node.
    rejecting_since_us: HashMap<usize, u64>,
    /// Requests that it rejected although their node had been told for longer than a request
    /// may be on its way.
    rejected_late: usize,
    /// Streams that it got in the first second after it was closed.
    arrived_on_reopening: usize,
}

#[derive(Clone, Copy, Debug)]
struct Request {
    node: usize,
    kind: Kind,
    arrived_us: u64,
    first_event_us: Option<u64>,
    last_event_us: u64,
    longest_gap_us: u64,
    is_done: bool,
    is_refused: bool,
}

/// What became of the streams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Tally {
    pub(crate) arrived: usize,
    /// First event and all gaps within their goals.
    pub(crate) in_time: usize,
    /// As `in_time`, of those that arrived more than two seconds after the burst.
    pub(crate) in_time_afterwards: usize,
    pub(crate) arrived_afterwards: usize,
    pub(crate) refused: usize,
    /// Streams of the higher of two ranks.
    pub(crate) arrived_high: usize,
    pub(crate) in_time_high: usize,
    /// Value of the streams in time.
    pub(crate) value: u64,
    /// Prompt tokens that were read again after a preemption.
    pub(crate) wasted_tokens: u64,
    /// Requests that reached closed engines although their nodes knew.
    pub(crate) rejected_late: usize,
    /// Most streams that an engine got in the first second after it was closed.
    pub(crate) arrived_on_reopening: usize,
}

impl Tally {
    pub(crate) fn plus(self, other: Self) -> Self {
        Self {
            arrived: self.arrived + other.arrived,
            in_time: self.in_time + other.in_time,
            in_time_afterwards: self.in_time_afterwards + other.in_time_afterwards,
            arrived_afterwards: self.arrived_afterwards + other.arrived_afterwards,
            refused: self.refused + other.refused,
            arrived_high: self.arrived_high + other.arrived_high,
            in_time_high: self.in_time_high + other.in_time_high,
            value: self.value + other.value,
            wasted_tokens: self.wasted_tokens + other.wasted_tokens,
            rejected_late: self.rejected_late + other.rejected_late,
            arrived_on_reopening: self.arrived_on_reopening.max(other.arrived_on_reopening),
        }
    }
}

struct Node {
    table: EndpointTable,
    selector: Selector,
    queue: PlacementQueue,
    tickets: HashMap<QueueTicket, usize>,
    sent: HashMap<usize, (EndpointKey, MonoTime)>,
    next_query_us: u64,
}

struct Model {
    strategy: Strategy,
    closed: ClosedEngines,
    engines: Vec<Engine>,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    keys: Vec<EndpointKey>,
}

fn service() -> ServiceName {
    "s".parse().unwrap()
}

fn entry(number: u16) -> EndpointEntry {
    EndpointEntry {
        key: EndpointKey {
            id: format!("i-{number}").parse().unwrap(),
            incarnation: Incarnation::new(1),
        },
        service: service(),
        address: ([127, 0, 0, 1], 1_000 + number).into(),
        failure_domain: "a".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: SlotCount::new(64),
        is_leaving: false,
    }
}

fn node(number: usize, nodes: usize, seed: u64) -> Node {
    let regions: HashMap<FailureDomain, Region> =
        HashMap::from([("a".parse().unwrap(), "r".parse().unwrap())]);
    let own: NodeId = format!("n-{number}").parse().unwrap();
    let nodes: Vec<_> = (0..nodes)
        .map(|it| NodeLocation {
            id: format!("n-{it}").parse().unwrap(),
            region: Some("r".parse().unwrap()),
            failure_domain: None,
        })
        .collect();
    let nodes = nodes.into();
    let mut table = EndpointTable::new();
    let entries: Vec<_> = (0..ENGINES).map(|it| entry(it).into()).collect();
    let ownership = EndpointOwnership {
        own: &own,
        nodes: &nodes,
        regions: &regions,
    };
    table.update(MonoTime::ZERO, entries.iter(), ownership);
    let seed = seed * 100 + number as u64;
    Node {
        table,
        selector: Selector::new(
            "a".parse().unwrap(),
            "r".parse().unwrap(),
            regions.clone(),
            seed,
        ),
        queue: PlacementQueue::default(),
        tickets: HashMap::new(),
        sent: HashMap::new(),
        next_query_us: 0,
    }
}

/// Replays a load pattern and tells what became of the streams.
pub(crate) fn replay(strategy: Strategy, pattern: LoadPattern, seed: u64) -> Tally {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut model = Model {
        strategy,
        closed: pattern.closed,
        engines: (0..ENGINES).map(|_| Engine::default()).collect(),
        nodes: (0..pattern.nodes)
            .map(|it| node(it, pattern.nodes, seed))
            .collect(),
        requests: Vec::new(),
        keys: (0..ENGINES).map(|it| entry(it).key).collect(),
    };
    let drain_us = DEADLINE_MS.micros().get();
    let end_us = pattern.end_s * 1_000_000;
    for now_us in (0..end_us + drain_us).step_by(TICK_US as usize) {
        let second = now_us / 1_000_000;
        let is_burst = (pattern.burst_s.0..pattern.burst_s.1).contains(&second);
        let per_s = match is_burst {
            true => pattern.burst_per_s,
            false => pattern.calm_per_s,
        };
        let is_arrival = random.random::<f64>() < per_s * TICK_US as f64 / 1e6;
        if now_us < end_us && is_arrival {
            let node = random.random_range(0..pattern.nodes);
            model.arrive(now_us, node, Kind::draw(pattern.ranks, &mut random));
        }
        let slow_engines = if is_burst { pattern.slow_engines } else { 0 };
        model.record_reports(now_us);
        for engine in 0..model.engines.len() {
            let factor = if engine < usize::from(slow_engines) {
                4
            } else {
                1
            };
            model.run_engine(now_us, engine, factor);
        }
        for node in 0..pattern.nodes {
            model.serve_queue(now_us, node);
        }
    }
    model.tally(pattern.burst_s.1 * 1_000_000 + RECOVERY_US)
}

impl Model {
    fn arrive(&mut self, now_us: u64, node: usize, kind: Kind) {
        let request = self.requests.len();
        self.requests.push(Request {
            node,
            kind,
            arrived_us: now_us,
            first_event_us: None,
            last_event_us: 0,
            longest_gap_us: 0,
            is_done: false,
            is_refused: false,
        });
        self.place(now_us, request);
    }

    /// Sends a stream to an engine, or lets it wait.
    fn place(&mut self, now_us: u64, request: usize) {
        let now = MonoTime::new(now_us);
        let Request { node, kind, .. } = self.requests[request];
        let threads = self.nodes.len();
        let claim = RoomClaim {
            rank_class: kind.rank_class,
            ..RoomClaim::from(SIZE)
        };
        let deadline = MonoTime::new(self.requests[request].arrived_us) + DEADLINE_MS;
        let service = service();
        let criteria = SelectionCriteria {
            service: &service,
            excluded: &[],
            copy: None,
            prompt_holder: None,
            prompt: SIZE.prompt,
            with_backup: false,
            version: None,
        };
        let at = &mut self.nodes[node];
        let choice = at.selector.select(now, &at.table, &criteria).unwrap();
        let key = choice.endpoint.key.clone();
        let queue = Some(&at.queue);
        let known = room(now, &at.table, queue, &service, &key, claim, threads);
        let waits = known != Room::Free;
        if self.strategy == Strategy::SendAtOnce || !waits {
            self.send(now_us, request, &key);
            return;
        }
        let stream = QueuedStream {
            rank: kind.rank,
            rank_class: kind.rank_class,
            goal_at: MonoTime::new(self.requests[request].arrived_us) + kind.goal_ms,
            deadline,
            size: SIZE,
            body_bytes: ByteCount::new(5_000),
        };
        match at.queue.push(now, stream) {
            Ok(ticket) => {
                at.tickets.insert(ticket, request);
            }
            Err(_) => self.requests[request].is_refused = true,
        }
    }

    fn send(&mut self, now_us: u64, request: usize, key: &EndpointKey) {
        let now = MonoTime::new(now_us);
        let number = self.requests[request].node;
        let node = &mut self.nodes[number];
        let engine = self.keys.iter().position(|it| it == key).unwrap();
        if let Some(closed_for) = self.closed.closed_for(now_us, engine) {
            let at = &mut self.engines[engine];
            let since_us = *at.rejecting_since_us.entry(number).or_insert(now_us);
            at.rejected_late += usize::from(now_us > since_us + ON_THE_WAY_US);
            let pause = Notice::Pause(closed_for.millis());
            node.table.record_notice(now, key, pause);
            return self.place(now_us, request);
        }
        let reopened_us = self.closed.span_s.1 * 1_000_000;
        let is_reopening = (reopened_us..reopened_us + 1_000_000).contains(&now_us);
        self.engines[engine].arrived_on_reopening += usize::from(is_reopening);
        node.table.record_start(key, SIZE.prompt);
        node.table.record_placement(now, key, SIZE);
        node.sent.insert(request, (key.clone(), now));
        self.engines[engine].waiting.push(Run {
            request,
            rank: self.requests[request].kind.rank,
            unread_tokens: u64::from(SIZE.prompt.get()),
            generated_tokens: 0,
        });
    }

    fn serve_queue(&mut self, now_us: u64, node: usize) {
        let at = &mut self.nodes[node];
        if at.queue.is_empty() || now_us < at.next_query_us {
            return;
        }
        at.next_query_us = now_us + QUERY_INTERVAL_US;
        let now = MonoTime::new(now_us);
        let queried = at
            .selector
            .engines_to_query(now, &at.table, &service(), QUERIED_ENGINES);
        for entry in queried {
            let engine = self.keys.iter().position(|it| *it == entry.key).unwrap();
            let reports = self.engines[engine].reports.iter().rev();
            let mut known = reports.filter(|(at_us, _)| *at_us + REPORT_LAG_US <= now_us);
            if let Some((_, report)) = known.next() {
                at.table.record_report(now, &entry.key, report);
            }
        }
        let assigned = assign_engines(
            now,
            &mut at.table,
            &mut at.selector,
            &service(),
            &mut at.queue,
            true,
        );
        for (ticket, assignment) in assigned {
            let request = self.nodes[node].tickets.remove(&ticket).unwrap();
            match assignment {
                Assignment::Engine(key) => self.send(now_us, request, &key),
                Assignment::Unrestricted => unreachable!("engines report their state"),
                Assignment::Hopeless | Assignment::Stopping => {
                    self.requests[request].is_refused = true;
                }
            }
        }
    }

    fn record_reports(&mut self, now_us: u64) {
        for engine in &mut self.engines {
            let report = engine.report();
            engine.reports.push_back((now_us, report));
            while engine.reports[0].0 + 2 * REPORT_LAG_US < now_us {
                engine.reports.pop_front();
            }
        }
    }

    /// Runs the steps of an engine that begin before `now_us`.
    fn run_engine(&mut self, now_us: u64, engine: usize, slow_factor: u64) {
        loop {
            let at = &mut self.engines[engine];
            let start_us = at.busy_until_us.max(now_us.saturating_sub(TICK_US));
            if start_us >= now_us {
                return;
            }
            let (duration_us, events) = at.step();
            if duration_us == 0 {
                return;
            }
            at.busy_until_us = start_us + duration_us * slow_factor;
            for (request, is_done) in events {
                self.record_event(start_us, request, is_done);
            }
        }
    }

    fn record_event(&mut self, now_us: u64, request: usize, is_done: bool) {
        let record = &mut self.requests[request];
        let at = &mut self.nodes[record.node];
        let now = MonoTime::new(now_us);
        let (key, sent_at) = &at.sent[&request];
        if record.first_event_us.is_none() {
            record.first_event_us = Some(now_us);
            at.table.record_prompt_read(key, SIZE.prompt);
            at.table.record_first_event(now, key, *sent_at);
        } else {
            let gap_us = now_us - record.last_event_us;
            record.longest_gap_us = record.longest_gap_us.max(gap_us);
        }
        record.last_event_us = now_us;
        if is_done {
            record.is_done = true;
            at.table.record_end(key);
            at.table.record_stream_end(key, *sent_at);
        }
    }

    fn tally(&self, recovered_us: u64) -> Tally {
        let mut tally = Tally {
            wasted_tokens: self.engines.iter().map(|it| it.wasted_tokens).sum(),
            ..Tally::default()
        };
        let reopened = &self.engines[..usize::from(self.closed.engines)];
        for engine in reopened {
            tally.rejected_late += engine.rejected_late;
            let arrived = engine.arrived_on_reopening;
            tally.arrived_on_reopening = tally.arrived_on_reopening.max(arrived);
        }
        for request in &self.requests {
            let goal_us = request.arrived_us + request.kind.goal_ms.micros().get();
            let begins_in_time = request.first_event_us.is_some_and(|it| it <= goal_us);
            let is_in_time =
                request.is_done && begins_in_time && request.longest_gap_us <= GAP_GOAL_US;
            let is_afterwards = request.arrived_us >= recovered_us;
            tally.arrived += 1;
            tally.in_time += usize::from(is_in_time);
            tally.arrived_afterwards += usize::from(is_afterwards);
            tally.in_time_afterwards += usize::from(is_afterwards && is_in_time);
            tally.refused += usize::from(request.is_refused);
            let is_high = request.kind.rank == Rank::ZERO;
            tally.arrived_high += usize::from(is_high);
            tally.in_time_high += usize::from(is_high && is_in_time);
            tally.value += request.kind.value * u64::from(is_in_time);
        }
        tally
    }
}

impl Engine {
    fn memory_tokens(&self) -> u64 {
        self.running.iter().map(Run::memory_tokens).sum()
    }

    fn admit(&mut self) {
        while let Some((index, next)) = self.waiting.iter().enumerate().min_by_key(|it| it.1.rank)
            && self.memory_tokens() + next.memory_tokens() <= MEMORY_TOKENS
        {
            let next = self.waiting.remove(index);
            self.running.push(next);
        }
    }

    /// Preempts the newest streams of the lowest rank while the memory does not suffice for the
    /// next tokens.
    fn make_room(&mut self) {
        while self.memory_tokens() + self.running.len() as u64 > MEMORY_TOKENS {
            let newest = self.running.iter().enumerate();
            let (index, _) = newest
                .max_by_key(|(index, run)| (run.rank, *index))
                .unwrap();
            let mut preempted = self.running.remove(index);
            let prompt = u64::from(SIZE.prompt.get());
            self.wasted_tokens += prompt - preempted.unread_tokens;
            preempted.unread_tokens = prompt;
            self.waiting.insert(0, preempted);
        }
    }

    /// Runs one step; returns its duration, zero if there is nothing to do, and the
    /// streams with a new event, and whether it is their last.
    fn step(&mut self) -> (u64, Vec<(usize, bool)>) {
        self.admit();
        self.make_room();
        let mut duration_us = 0;
        if let Some(unread) = self.running.iter_mut().find(|it| it.unread_tokens > 0) {
            unread.unread_tokens = unread.unread_tokens.saturating_sub(CHUNK_TOKENS);
            duration_us += CHUNK_US;
        }
        let mut events = Vec::new();
        let output = u64::from(SIZE.output.get());
        let begun = |it: &&mut Run| it.unread_tokens == 0;
        if self.running.iter_mut().any(|it| begun(&it)) {
            duration_us += STEP_US;
        }
        for run in self.running.iter_mut().filter(begun) {
            run.generated_tokens += 1;
            let is_done = run.generated_tokens >= output;
            if run.generated_tokens % EVENT_TOKENS == 0 || is_done {
                events.push((run.request, is_done));
            }
        }
        self.running.retain(|it| it.generated_tokens < output);
        (duration_us, events)
    }

    fn report(&self) -> EngineReport {
        let begun = self.running.iter().filter(|it| it.generated_tokens > 0);
        EngineReport {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            memory_used: TokenCount::new(self.memory_tokens() as u32),
            memory_total: TokenCount::new(MEMORY_TOKENS as u32),
            runs: begun
                .map(|run| RunProgress {
                    id: run.request.to_string().into(),
                    events: run.generated_tokens / EVENT_TOKENS,
                })
                .collect(),
        }
    }
}
