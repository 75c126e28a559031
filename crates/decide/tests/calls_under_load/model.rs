//! Model of callers, nodes and the endpoints of a service in virtual time.
//!
//! An endpoint runs as many calls as it has slots, queues some more and rejects the rest. It
//! reports its load with each response. A node knows only what the responses to its own calls
//! report, and drives the real decisions: the exchange, the endpoint table, the selector, the
//! retry budget and the admission of calls.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, VecDeque},
};

use parsleylatch_decide::relay::{
    CallAdmission, CallPlan, CallTicket, Choice, EndpointEntry, EndpointKey, EndpointOwnership,
    EndpointTable, Exchange, ExchangeEffect, ExchangeInput, ExchangeSpec, LoadSample, NextStep,
    NodeLocation, Outcome, QueuedCall, RefusalReason, RepeatPolicy, ResponseClass, RetryKind,
    RetryWindow, SelectionCriteria, Selector, retry_delay,
};
use parsleylatch_types::{
    ByteCount, FailureDomain, Incarnation, Micros, Millis, MonoTime, NodeId, Rank, Region,
    ServiceName, SlotCount, TokenCount,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const DOMAINS: usize = 6;
const NODES: usize = 120;
const ENDPOINTS: usize = 6;
const SLOTS: u32 = 6;
/// Calls that an endpoint queues.
const QUEUE: usize = 24;
/// Spread of the time that a call takes, in percent.
const WORK_SPREAD_PERCENT: u64 = 10;
/// Period after which another endpoint is slow.
const SLOW_PERIOD_US: u64 = 600_000;
const ROUTE_TIMEOUT_MS: Millis = Millis::new(1_000);
const CALLER_TIMEOUT_US: u64 = 2_000_000;
const ATTEMPTS: u32 = 3;
const RETRY_WINDOW_MS: Millis = Millis::new(10_000);
const RETRY_RATIO_PERCENT: u64 = 80;
const RETRY_SLACK: u64 = 240;
const MIN_RETRY_AFTER_MS: Millis = Millis::new(20);
/// Time before the first arrivals that are counted, and before the end of the arrivals after the
/// last ones.
const EDGE_US: u64 = 2_000_000;
/// Wait from which a refusal is not immediate: a timer's resolution beyond an eighth of the goal.
const TIMER_US: u64 = 1_000;

/// How calls reach the endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Strategy {
    /// Each call is sent at once.
    SendAtOnce,
    /// Calls are limited, and wait while all endpoints are full.
    Limit,
}

/// Load over time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Calls per second, as a multiple of the capacity.
    pub(crate) offered: f64,
    /// As `offered`, in every second half of this period, if any.
    pub(crate) burst: Option<(f64, u64)>,
    /// Time that a call takes.
    pub(crate) work_us: u64,
    pub(crate) goal_ms: Millis,
    /// Factor by which one endpoint after another is slower, in percent.
    pub(crate) slow_percent: u64,
    /// Whether endpoints report their load.
    pub(crate) is_reported: bool,
    pub(crate) end_s: u64,
}

impl Load {
    /// Calls that the endpoints run per second if none is slow.
    pub(crate) fn capacity_per_s(self) -> f64 {
        (ENDPOINTS as f64) * f64::from(SLOTS) * 1e6 / self.work_us as f64
    }

    fn offered_at(self, now_us: u64) -> f64 {
        match self.burst {
            Some((burst, period_us)) if now_us / period_us % 2 == 1 => burst,
            _ => self.offered,
        }
    }
}

/// What became of the calls.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    pub(crate) arrived: usize,
    /// Answered within the goal from their first arrival.
    pub(crate) in_time: usize,
    pub(crate) answered: usize,
    pub(crate) refused: usize,
    /// Ended by another error.
    pub(crate) failed: usize,
    /// Refusals, including those after which the caller came back.
    pub(crate) refusals: usize,
    /// Refusals later than an eighth of the goal of calls that no endpoint had received.
    pub(crate) late_refusals: usize,
    /// Once-only calls that began to run twice.
    pub(crate) run_twice: usize,
    pub(crate) attempts: usize,
    /// Sum of the response times of answered calls.
    answer_us: u64,
    seconds: u64,
}

impl Tally {
    pub(crate) fn per_second(self, count: usize) -> f64 {
        count as f64 / self.seconds as f64
    }

    pub(crate) fn mean_answer_ms(self) -> f64 {
        self.answer_us as f64 / 1e3 / self.answered.max(1) as f64
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    /// A caller that was refused comes back.
    Return(usize),
    AtEndpoint(usize),
    Done(usize),
    AtNode(usize),
    /// The connection of an attempt is closed.
    Left(usize),
    Deadline(usize),
    Turn(usize),
}

#[derive(Default)]
struct Endpoint {
    running: Vec<usize>,
    waiting: VecDeque<usize>,
}

impl Endpoint {
    fn load(&self) -> LoadSample {
        LoadSample {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            ..LoadSample::default()
        }
    }
}

struct Attempt {
    call: usize,
    endpoint: usize,
    sent_us: u64,
    is_left: bool,
    /// Reported load; with a rejection, whether the call did not run.
    response: Option<(LoadSample, bool)>,
}

struct Call {
    node: usize,
    repeat: RepeatPolicy,
    first_arrival_us: u64,
    arrived_us: u64,
    is_second: bool,
    exchange: Exchange,
    spec: ExchangeSpec,
    attempt: Option<usize>,
    ticket: Option<CallTicket>,
    queued_us: u64,
    runs: usize,
    is_counted: bool,
}

struct Node {
    table: EndpointTable,
    selector: Selector,
    retries: RetryWindow,
    admission: CallAdmission,
    tickets: HashMap<CallTicket, usize>,
}

struct Model {
    strategy: Strategy,
    load: Load,
    random: Pcg64Mcg,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    endpoints: Vec<Endpoint>,
    entries: Vec<EndpointEntry>,
    nodes: Vec<Node>,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    service: ServiceName,
    tally: Tally,
}

fn domain(number: usize) -> FailureDomain {
    format!("d-{}", number % DOMAINS).parse().unwrap()
}

fn region(number: usize) -> Region {
    let name = if number % DOMAINS < DOMAINS / 2 {
        "r-1"
    } else {
        "r-2"
    };
    name.parse().unwrap()
}

fn entry(number: usize) -> EndpointEntry {
    EndpointEntry {
        key: EndpointKey {
            id: format!("i-{number}").parse().unwrap(),
            incarnation: Incarnation::new(1),
        },
        service: "s".parse().unwrap(),
        address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
        failure_domain: domain(number),
        version: "v1".parse().unwrap(),
        slots: SlotCount::new(SLOTS),
        is_leaving: false,
    }
}

fn node(number: usize, seed: u64) -> Node {
    let regions: HashMap<FailureDomain, Region> =
        (0..DOMAINS).map(|it| (domain(it), region(it))).collect();
    let own: NodeId = format!("n-{number}").parse().unwrap();
    let locations: Vec<_> = (0..NODES)
        .map(|it| NodeLocation {
            id: format!("n-{it}").parse().unwrap(),
            region: Some(region(it)),
            failure_domain: None,
        })
        .collect();
    let locations = locations.into();
    let mut table = EndpointTable::new();
    let entries: Vec<_> = (0..ENDPOINTS).map(|it| entry(it).into()).collect();
    let ownership = EndpointOwnership {
        own: &own,
        nodes: &locations,
        regions: &regions,
    };
    table.update(MonoTime::ZERO, entries.iter(), ownership);
    Node {
        table,
        selector: Selector::new(
            domain(number),
            region(number),
            regions.clone(),
            seed * 1_000 + number as u64,
        ),
        retries: RetryWindow::new(RETRY_WINDOW_MS, RETRY_RATIO_PERCENT, RETRY_SLACK),
        admission: CallAdmission::start(MonoTime::ZERO),
        tickets: HashMap::new(),
    }
}

/// Time that a message takes between a node and an endpoint.
fn network_us(node: usize, endpoint: usize) -> u64 {
    if node % DOMAINS == endpoint % DOMAINS {
        300
    } else if region(node) == region(endpoint) {
        800
    } else {
        12_000
    }
}

/// Replays a load and tells what became of the calls.
pub(crate) fn replay(strategy: Strategy, load: Load, seed: u64) -> Tally {
    let mut model = Model {
        strategy,
        load,
        random: Pcg64Mcg::seed_from_u64(seed),
        events: BinaryHeap::new(),
        scheduled: 0,
        endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
        entries: (0..ENDPOINTS).map(entry).collect(),
        nodes: (0..NODES).map(|it| node(it, seed)).collect(),
        calls: Vec::new(),
        attempts: Vec::new(),
        service: "s".parse().unwrap(),
        tally: Tally {
            seconds: load.end_s - 2 * EDGE_US / 1_000_000,
            ..Tally::default()
        },
    };
    model.schedule(0, Event::Arrive);
    while let Some(Reverse((now_us, _, event))) = model.events.pop() {
        model.handle(now_us, event);
    }
    model.tally
}

impl Model {
    fn schedule(&mut self, at_us: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at_us, self.scheduled, event)));
    }

    fn handle(&mut self, now_us: u64, event: Event) {
        match event {
            Event::Arrive => self.arrive(now_us),
            Event::Return(call) => self.return_caller(now_us, call),
            Event::AtEndpoint(attempt) => self.receive(now_us, attempt),
            Event::Done(attempt) => self.finish(now_us, attempt),
            Event::AtNode(attempt) => self.handle_response(now_us, attempt),
            Event::Left(attempt) => {
                let endpoint = &mut self.endpoints[self.attempts[attempt].endpoint];
                endpoint.waiting.retain(|it| *it != attempt);
            }
            Event::Deadline(call) => self.expire(now_us, call),
            Event::Turn(node) => self.serve_queue(now_us, node),
        }
    }

    fn arrive(&mut self, now_us: u64) {
        if now_us >= self.load.end_s * 1_000_000 {
            return;
        }
        let per_s = self.load.capacity_per_s() * self.load.offered_at(now_us);
        let gap_us = -self.random.random::<f64>().max(1e-9).ln() * 1e6 / per_s;
        self.schedule(now_us + gap_us.max(1.0) as u64, Event::Arrive);
        let repeat = match self.random.random_range(0..10) < 7 {
            true => RepeatPolicy::OnceOnly,
            false => RepeatPolicy::Idempotent,
        };
        let is_counted = now_us >= EDGE_US && now_us < self.load.end_s * 1_000_000 - EDGE_US;
        self.tally.arrived += usize::from(is_counted);
        self.start_call(now_us, now_us, repeat, false, is_counted);
    }

    fn return_caller(&mut self, now_us: u64, earlier: usize) {
        let call = &self.calls[earlier];
        let (repeat, first) = (call.repeat, call.first_arrival_us);
        let is_counted = call.is_counted;
        self.start_call(now_us, first, repeat, true, is_counted);
    }

    fn start_call(
        &mut self,
        now_us: u64,
        first_arrival_us: u64,
        repeat: RepeatPolicy,
        is_second: bool,
        is_counted: bool,
    ) {
        let now = MonoTime::new(now_us);
        let caller_deadline = MonoTime::new(first_arrival_us + CALLER_TIMEOUT_US);
        let spec = ExchangeSpec {
            repeat,
            service: self.service.clone(),
            attempts: ATTEMPTS,
            deadline: caller_deadline.min(now + ROUTE_TIMEOUT_MS),
            goal_ms: self.load.goal_ms,
            gap_goal_ms: None,
            prompt: TokenCount::ZERO,
        };
        let node = self.random.random_range(0..NODES);
        self.nodes[node].retries.record_request(now);
        let (exchange, effects) = Exchange::start(now, spec.clone());
        let call = self.calls.len();
        self.calls.push(Call {
            node,
            repeat,
            first_arrival_us,
            arrived_us: now_us,
            is_second,
            exchange,
            spec,
            attempt: None,
            ticket: None,
            queued_us: now_us,
            runs: 0,
            is_counted,
        });
        self.apply(now_us, call, effects);
    }

    fn input(&mut self, now_us: u64, call: usize, input: ExchangeInput) {
        let effects = self.calls[call]
            .exchange
            .handle(MonoTime::new(now_us), input);
        self.apply(now_us, call, effects);
    }

    fn apply(&mut self, now_us: u64, call: usize, effects: Vec<ExchangeEffect>) {
        for effect in effects {
            match effect {
                ExchangeEffect::Place { excluded, .. } => self.place(now_us, call, &excluded),
                ExchangeEffect::Open(choice) => self.send(now_us, call, &choice),
                ExchangeEffect::ForwardResponse => self.answer(now_us, call),
                ExchangeEffect::Refuse {
                    not_run,
                    retry_after_ms,
                    ..
                } => self.refuse(now_us, call, not_run, retry_after_ms),
                other => panic!("{other:?}"),
            }
        }
        if self.calls[call].exchange.is_over() {
            self.end_attempt(now_us, call, Outcome::Abandoned);
        } else {
            let deadline = self.calls[call].exchange.next_deadline();
            let at_us = deadline.get().max(now_us);
            self.schedule(at_us, Event::Deadline(call));
        }
    }

    fn queued_call(&self, call: usize) -> QueuedCall {
        let call = &self.calls[call];
        QueuedCall {
            rank: Rank::new(1),
            is_retry: call.exchange.has_been_sent(),
            goal_ms: call.spec.goal_ms,
            deadline: call.spec.deadline,
            body_bytes: ByteCount::new(500),
            waits_since: MonoTime::new(call.queued_us),
        }
    }

    fn find(
        &mut self,
        now_us: u64,
        call: usize,
        excluded: &[EndpointKey],
    ) -> Result<Choice, CallPlan> {
        let now = MonoTime::new(now_us);
        let queued = self.queued_call(call);
        let rejected = self.calls[call].exchange.rejected_endpoints();
        let broken = excluded.iter().filter(|it| !rejected.contains(it));
        let broken: Vec<_> = broken.cloned().collect();
        let node = &mut self.nodes[self.calls[call].node];
        let mut criteria = SelectionCriteria {
            service: &self.service,
            excluded,
            copy: None,
            prompt_holder: None,
            prompt: TokenCount::ZERO,
            with_backup: false,
            version: None,
        };
        if self.strategy == Strategy::Limit {
            let limited = SelectionCriteria {
                excluded: &broken,
                ..criteria.clone()
            };
            let draw = self.random.random();
            let plan = node.admission.plan(
                now,
                &node.table,
                &mut node.selector,
                &limited,
                &queued,
                draw,
            );
            match plan {
                CallPlan::Send(key) => {
                    criteria.excluded = &broken;
                    let choice = node.selector.choose(now, &node.table, &criteria, &key);
                    return choice.ok_or(CallPlan::Unrestricted);
                }
                CallPlan::Unrestricted => {}
                other => return Err(other),
            }
        }
        let choice = node.selector.select(now, &node.table, &criteria);
        choice.ok_or(CallPlan::Unrestricted)
    }

    fn place(&mut self, now_us: u64, call: usize, excluded: &[EndpointKey]) {
        self.end_attempt(now_us, call, Outcome::Abandoned);
        let now = MonoTime::new(now_us);
        self.calls[call].queued_us = now_us;
        let input = match self.find(now_us, call, excluded) {
            Ok(choice) => ExchangeInput::Placed(Box::new(choice)),
            Err(CallPlan::Wait) => {
                let queued = self.queued_call(call);
                let number = self.calls[call].node;
                let node = &mut self.nodes[number];
                match node.admission.enqueue(now, queued) {
                    Some(ticket) => {
                        node.tickets.insert(ticket, call);
                        self.calls[call].ticket = Some(ticket);
                        self.schedule_turn(now_us, number);
                        ExchangeInput::Queued
                    }
                    None => {
                        let expected_wait = node.admission.return_wait(now, self.load.goal_ms);
                        self.refusal(now_us, call, expected_wait)
                    }
                }
            }
            Err(CallPlan::Crowded { expected_wait } | CallPlan::Hopeless { expected_wait }) => {
                self.refusal(now_us, call, expected_wait)
            }
            Err(_) => ExchangeInput::PlacementFailed,
        };
        self.input(now_us, call, input);
    }

    fn refusal(&mut self, now_us: u64, call: usize, expected_wait: Micros) -> ExchangeInput {
        let remaining = self.calls[call].spec.deadline.since(MonoTime::new(now_us));
        let draw = self.random.random();
        let delay = retry_delay(expected_wait, remaining, MIN_RETRY_AFTER_MS, draw);
        ExchangeInput::Hopeless {
            reason: RefusalReason::Overloaded,
            retry_after_ms: Some(delay),
        }
    }

    fn schedule_turn(&mut self, now_us: u64, number: usize) {
        let now = MonoTime::new(now_us);
        let node = &self.nodes[number];
        let criteria = SelectionCriteria::any_call(&self.service);
        let turn = node.admission.next_turn(now, &node.table, &criteria);
        if let Some(at) = turn {
            self.schedule(at.get().max(now_us + 1), Event::Turn(number));
        }
    }

    fn serve_queue(&mut self, now_us: u64, number: usize) {
        let now = MonoTime::new(now_us);
        let node = &mut self.nodes[number];
        let service = self.service.clone();
        let criteria = SelectionCriteria::any_call(&service);
        let planned = node
            .admission
            .take_planned(now, &node.table, &mut node.selector, &criteria);
        for (ticket, plan) in planned {
            let node = &mut self.nodes[number];
            let Some(call) = node.tickets.remove(&ticket) else {
                continue;
            };
            self.calls[call].ticket = None;
            let input = match plan {
                CallPlan::Send(key) => {
                    let choice = node.selector.choose(now, &node.table, &criteria, &key);
                    choice.map_or(ExchangeInput::AssignmentFailed, |it| {
                        ExchangeInput::Placed(Box::new(it))
                    })
                }
                CallPlan::Crowded { expected_wait } | CallPlan::Hopeless { expected_wait } => {
                    self.refusal(now_us, call, expected_wait)
                }
                CallPlan::Unrestricted | CallPlan::Wait => ExchangeInput::AssignmentFailed,
            };
            self.input(now_us, call, input);
        }
        self.schedule_turn(now_us, number);
    }

    fn send(&mut self, now_us: u64, call: usize, choice: &Choice) {
        self.end_attempt(now_us, call, Outcome::Abandoned);
        let key = &choice.endpoint.key;
        let endpoint = self.entries.iter().position(|it| it.key == *key).unwrap();
        let number = self.calls[call].node;
        let node = &mut self.nodes[number];
        node.table.record_start(key, TokenCount::ZERO);
        node.admission.record_sent(key);
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            call,
            endpoint,
            sent_us: now_us,
            is_left: false,
            response: None,
        });
        self.calls[call].attempt = Some(attempt);
        self.tally.attempts += usize::from(self.calls[call].is_counted);
        let at_us = now_us + network_us(number, endpoint);
        self.schedule(at_us, Event::AtEndpoint(attempt));
    }

    fn end_attempt(&mut self, now_us: u64, call: usize, outcome: Outcome) {
        if let Some(ticket) = self.calls[call].ticket.take() {
            let node = &mut self.nodes[self.calls[call].node];
            node.tickets.remove(&ticket);
            node.admission.remove(ticket);
        }
        let Some(attempt) = self.calls[call].attempt.take() else {
            return;
        };
        let number = self.calls[call].node;
        let sent = &mut self.attempts[attempt];
        let key = self.entries[sent.endpoint].key.clone();
        let table = &mut self.nodes[number].table;
        table.record_end(&key);
        if sent.response.is_none() {
            sent.is_left = true;
            table.record_outcome(MonoTime::new(now_us), &key, outcome);
            let at_us = now_us + network_us(number, sent.endpoint);
            self.schedule(at_us, Event::Left(attempt));
        }
    }

    fn receive(&mut self, now_us: u64, attempt: usize) {
        if self.attempts[attempt].is_left {
            return;
        }
        let number = self.attempts[attempt].endpoint;
        let endpoint = &mut self.endpoints[number];
        if endpoint.running.len() < SLOTS as usize {
            self.run(now_us, attempt);
        } else if endpoint.waiting.len() < QUEUE {
            endpoint.waiting.push_back(attempt);
        } else {
            let load = endpoint.load();
            self.respond(now_us, attempt, load, true);
        }
    }

    fn run(&mut self, now_us: u64, attempt: usize) {
        let number = self.attempts[attempt].endpoint;
        self.endpoints[number].running.push(attempt);
        let call = &mut self.calls[self.attempts[attempt].call];
        call.runs += 1;
        let is_repeated = call.repeat == RepeatPolicy::OnceOnly && call.runs > 1;
        self.tally.run_twice += usize::from(is_repeated);
        let is_slow = now_us / SLOW_PERIOD_US % ENDPOINTS as u64 == number as u64;
        let factor = if is_slow { self.load.slow_percent } else { 100 };
        let spread = WORK_SPREAD_PERCENT;
        let spread = self.random.random_range(100 - spread..=100 + spread);
        let work_us = self.load.work_us * factor / 100 * spread / 100;
        self.schedule(now_us + work_us, Event::Done(attempt));
    }

    fn finish(&mut self, now_us: u64, attempt: usize) {
        let number = self.attempts[attempt].endpoint;
        let endpoint = &mut self.endpoints[number];
        endpoint.running.retain(|it| *it != attempt);
        let load = endpoint.load();
        let next = endpoint.waiting.pop_front();
        self.respond(now_us, attempt, load, false);
        if let Some(next) = next {
            self.run(now_us, next);
        }
    }

    fn respond(&mut self, now_us: u64, attempt: usize, load: LoadSample, is_rejection: bool) {
        let sent = &mut self.attempts[attempt];
        if sent.is_left {
            return;
        }
        sent.response = Some((load, is_rejection));
        let node = self.calls[sent.call].node;
        let at_us = now_us + network_us(node, sent.endpoint);
        self.schedule(at_us, Event::AtNode(attempt));
    }

    fn handle_response(&mut self, now_us: u64, attempt: usize) {
        let sent = &self.attempts[attempt];
        let (call, sent_us) = (sent.call, sent.sent_us);
        if self.calls[call].attempt != Some(attempt) {
            return;
        }
        let now = MonoTime::new(now_us);
        let (load, is_rejection) = sent.response.unwrap();
        let entry = &self.entries[sent.endpoint];
        let node = &mut self.nodes[self.calls[call].node];
        let sample = self.load.is_reported.then_some(load);
        if let Some(load) = sample {
            node.table.record_load(now, &entry.key, load);
        }
        let latency = Micros::new(now_us - sent_us);
        let goal_ms = self.load.goal_ms;
        node.admission.record_response(
            now,
            &entry.key,
            entry.slots,
            sample,
            (!is_rejection).then_some(latency),
            goal_ms,
        );
        let outcome = match (is_rejection, self.strategy) {
            (false, _) => Outcome::Answered { latency },
            (true, Strategy::SendAtOnce) => Outcome::Rejected,
            (true, Strategy::Limit) => Outcome::Abandoned,
        };
        node.table.record_outcome(now, &entry.key, outcome);
        let class = match is_rejection {
            true => ResponseClass::NotRun,
            false => ResponseClass::Final,
        };
        let may_retry = is_rejection
            && self.calls[call].exchange.allows_retry(false)
            && self.take_retry(now, call);
        self.input(now_us, call, ExchangeInput::Answered { class, may_retry });
    }

    fn take_retry(&mut self, now: MonoTime, call: usize) -> bool {
        let node = &mut self.nodes[self.calls[call].node];
        node.retries.try_take_retry(now, NODES, RetryKind::Plain)
    }

    fn expire(&mut self, now_us: u64, call: usize) {
        let now = MonoTime::new(now_us);
        let exchange = &self.calls[call].exchange;
        if exchange.is_over() || exchange.next_deadline() > now {
            return;
        }
        let next =
            match exchange.allows_retry_at_deadline(now) && !self.is_delay_explained(now, call) {
                true => self.plan_move(now_us, call),
                false => NextStep::Stay,
            };
        if let (NextStep::Move(_), Some(attempt)) = (&next, self.calls[call].attempt) {
            let node = &mut self.nodes[self.calls[call].node];
            let key = &self.entries[self.attempts[attempt].endpoint].key;
            node.table.record_outcome(now, key, Outcome::Broken);
        }
        let effects = self.calls[call].exchange.expire(now, false, next);
        self.apply(now_us, call, effects);
    }

    fn is_delay_explained(&self, now: MonoTime, call: usize) -> bool {
        let Some(attempt) = self.calls[call].attempt else {
            return false;
        };
        let sent = &self.attempts[attempt];
        let node = &self.nodes[self.calls[call].node];
        let key = &self.entries[sent.endpoint].key;
        let waited = now.since(MonoTime::new(sent.sent_us));
        self.strategy == Strategy::Limit && node.admission.explains_delay(now, key, waited)
    }

    fn plan_move(&mut self, now_us: u64, call: usize) -> NextStep {
        let now = MonoTime::new(now_us);
        let Some(attempt) = self.calls[call].attempt else {
            return NextStep::Stay;
        };
        let mut excluded = self.calls[call].exchange.excluded_endpoints().to_vec();
        excluded.push(self.entries[self.attempts[attempt].endpoint].key.clone());
        let found = self.find(now_us, call, &excluded);
        match found {
            Ok(choice) if self.take_retry(now, call) => NextStep::Move(Box::new(choice)),
            _ => NextStep::Stay,
        }
    }

    fn answer(&mut self, now_us: u64, call: usize) {
        let ended = &self.calls[call];
        if !ended.is_counted {
            return;
        }
        let took_us = now_us - ended.first_arrival_us;
        self.tally.answered += 1;
        self.tally.answer_us += took_us;
        let is_in_time = took_us <= self.load.goal_ms.micros().get();
        self.tally.in_time += usize::from(is_in_time);
    }

    fn refuse(&mut self, now_us: u64, call: usize, not_run: bool, retry_after_ms: Option<Millis>) {
        let ended = &self.calls[call];
        let wait_us = now_us - ended.arrived_us;
        let is_late = wait_us > self.load.goal_ms.micros().get() / 8 + TIMER_US;
        if ended.is_counted {
            self.tally.refusals += usize::from(not_run);
            let is_unsent = !ended.exchange.has_been_sent();
            self.tally.late_refusals += usize::from(not_run && is_unsent && is_late);
        }
        let may_return = not_run || ended.repeat == RepeatPolicy::Idempotent;
        let remaining_us = (ended.first_arrival_us + CALLER_TIMEOUT_US).saturating_sub(now_us);
        let delay_us = retry_after_ms.unwrap_or_default().micros().get();
        if may_return && !ended.is_second && delay_us <= remaining_us / 3 {
            let at_us = now_us + delay_us + 2_000;
            self.schedule(at_us, Event::Return(call));
        } else if ended.is_counted {
            self.tally.refused += usize::from(not_run);
            self.tally.failed += usize::from(!not_run);
        }
    }
}
