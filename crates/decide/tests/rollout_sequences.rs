//! Roll-outs that follow each other: what a version is compared with, and which versions get
//! requests, at each moment.

use std::collections::{BTreeMap, BTreeSet};

use parsleylatch_decide::{
    moves::{ExposureLimit, MoveEvidence, Observer},
    relay::{EndedOrder, RolloutEffect, RolloutOrder, RolloutPhase, Rollouts, VersionTrial},
};
use parsleylatch_types::{
    EndpointVersion, Incarnation, Micros, Millis, MonoTime, RequestCount, Revision, Seed,
    ServiceName, Share, StoreEra, StorePosition, TrialNumber,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use test_case::test_case;

const NODES: usize = 3;
/// Bounds of the exposure of a bad version, as the operators state them.
const EXPOSURE_SLACK: u64 = 50;
const BAD_ANSWERS: usize = 50;
const ROLLBACK_MS: u64 = 5_000;
const EXPOSURE_LIMIT: ExposureLimit = ExposureLimit {
    share: Share::new(100_000),
    slack: RequestCount::new(EXPOSURE_SLACK),
};
const EVIDENCE_INTERVAL_MS: u64 = 300;
/// Time until a written order or status is known to all nodes.
const STORE_DELAY_MS: u64 = 100;
const STEP_MS: u64 = 5;
/// Mean time to the first event.
const LATENCY_MS: u64 = 300;
/// Time between the first order and the beginning of requests.
const LEAD_MS: u64 = 500;

fn at(ms: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(ms)
}

fn service() -> ServiceName {
    "desk".parse().unwrap()
}

fn version(name: &str) -> EndpointVersion {
    name.parse().unwrap()
}

fn position(revision: u64) -> StorePosition {
    StorePosition::new(StoreEra::ZERO, Revision::new(revision))
}

fn node(number: usize, incarnation: u64) -> Rollouts {
    Rollouts::new(Observer {
        node: format!("node-{number}").parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
    })
}

/// What a version's answers are like.
#[derive(Clone, Copy)]
struct Quality {
    /// Failures in a hundred answers.
    failing_percent: u32,
    /// Latency in relation to the usual one.
    slowness: u64,
}

const GOOD: Quality = Quality {
    failing_percent: 0,
    slowness: 1,
};

const fn failing(percent: u32) -> Quality {
    Quality {
        failing_percent: percent,
        slowness: 1,
    }
}

const SLOW: Quality = Quality {
    failing_percent: 0,
    slowness: 5,
};

/// When an order follows the one before it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OrderedAfter {
    /// This long after its end.
    End(u64),
    /// This long after it was ordered, whether or not it has ended.
    Order(u64),
}

/// One order, of the version `v2` for the first one, `v3` for the next, and so on.
#[derive(Clone, Copy)]
struct Step {
    after: OrderedAfter,
    quality: Quality,
}

const fn ended(quality: Quality) -> Step {
    Step {
        after: OrderedAfter::End(300),
        quality,
    }
}

const fn replacing(after_ms: u64, quality: Quality) -> Step {
    Step {
        after: OrderedAfter::Order(after_ms),
        quality,
    }
}

/// What happens beside the orders.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Event {
    Nothing,
    /// The endpoints of the first version are not listed for three seconds, from one second
    /// after the last order on.
    OldVersionAway,
    /// A node is replaced one second after the last order.
    NodeReplaced,
}

#[derive(Clone, Copy)]
struct Scenario {
    requests_per_s: u64,
    duration_ms: u64,
    event: Event,
}

const PLAIN: Scenario = Scenario {
    requests_per_s: 16,
    duration_ms: 16_000,
    event: Event::Nothing,
};

struct Attempt {
    node: usize,
    number: TrialNumber,
    answered_ms: u64,
    latency: Option<Micros>,
}

/// What the operator sees of one order.
#[derive(Clone, Debug, Default)]
struct Course {
    ordered_ms: u64,
    end: Option<(u64, RolloutPhase)>,
}

/// Requests by version, as (time, whether the answer is bad).
type Arrivals = BTreeMap<usize, Vec<(u64, bool)>>;

struct Simulation {
    scenario: Scenario,
    steps: Vec<Step>,
    random: Pcg64,
    nodes: Vec<Rollouts>,
    courses: Vec<Course>,
    arrivals: Arrivals,
    attempts: Vec<Attempt>,
    refused: usize,
    requests: u64,
    /// Effects of the store that are not known to the nodes yet: time, order, phase.
    statuses: Vec<(u64, usize, RolloutPhase)>,
    replaced_ms: Option<u64>,
}

impl Simulation {
    fn new(scenario: Scenario, steps: &[Step], seed: Seed) -> Self {
        Self {
            scenario,
            steps: steps.to_vec(),
            random: Pcg64::seed_from_u64(seed.get()),
            nodes: (0..NODES).map(|it| node(it, 1)).collect(),
            courses: Vec::new(),
            arrivals: BTreeMap::new(),
            attempts: Vec::new(),
            refused: 0,
            requests: 0,
            statuses: Vec::new(),
            replaced_ms: None,
        }
    }

    /// Runs until some seconds after the time limit of the last order.
    fn run(mut self) -> Self {
        let mut ends_ms = u64::MAX;
        let mut now_ms = 0;
        while now_ms < ends_ms {
            if self.courses.len() < self.steps.len() && self.is_order_due(now_ms) {
                self.order(now_ms);
            } else if self.courses.len() == self.steps.len() {
                let ordered_ms = self.courses[self.courses.len() - 1].ordered_ms;
                ends_ms = ordered_ms + self.scenario.duration_ms + 8_000;
                self.apply_event(now_ms, ordered_ms);
            }
            let interval_ms = 1_000 / self.scenario.requests_per_s;
            if now_ms >= LEAD_MS && now_ms % interval_ms < STEP_MS {
                self.send(now_ms);
            }
            self.finish_attempts(now_ms);
            for node in 0..NODES {
                let effects = self.nodes[node].expire(at(now_ms));
                self.apply(now_ms, effects);
            }
            if now_ms % EVIDENCE_INTERVAL_MS == 0 {
                self.exchange_evidence(now_ms);
            }
            self.apply_statuses(now_ms);
            now_ms += STEP_MS;
        }
        self
    }

    fn is_order_due(&self, now_ms: u64) -> bool {
        let Some(last) = self.courses.last() else {
            return true;
        };
        match self.steps[self.courses.len()].after {
            OrderedAfter::Order(delay_ms) => now_ms >= last.ordered_ms + delay_ms,
            OrderedAfter::End(delay_ms) => last
                .end
                .is_some_and(|(end_ms, _)| now_ms >= end_ms + delay_ms),
        }
    }

    fn current_order(&self) -> RolloutOrder {
        RolloutOrder {
            service: service(),
            target: version(&format!("v{}", self.courses.len() + 1)),
            duration_ms: Millis::new(self.scenario.duration_ms),
        }
    }

    fn order_position(number: usize) -> StorePosition {
        position(10 * number as u64)
    }

    fn order(&mut self, now_ms: u64) {
        self.courses.push(Course {
            ordered_ms: now_ms,
            end: None,
        });
        let order = self.current_order();
        for node in 0..NODES {
            self.apply_order(now_ms, node, order.clone());
        }
    }

    fn apply_order(&mut self, now_ms: u64, node: usize, order: RolloutOrder) {
        let position = Self::order_position(self.courses.len());
        let rollouts = &mut self.nodes[node];
        rollouts
            .apply_order(at(now_ms), position, order, EXPOSURE_LIMIT, None)
            .unwrap();
        let listed = self.listed(now_ms);
        let names = listed.into_iter().map(|it| version(&format!("v{it}")));
        let names: BTreeSet<_> = names.collect();
        rollouts_observe(&mut self.nodes[node], now_ms, names);
    }

    /// Numbers of the versions whose endpoints are listed.
    fn listed(&self, now_ms: u64) -> Vec<usize> {
        let last = self.courses.last().map_or(0, |it| it.ordered_ms);
        let is_last = self.courses.len() == self.steps.len();
        let is_away = self.scenario.event == Event::OldVersionAway
            && is_last
            && (last + 1_000..last + 4_000).contains(&now_ms);
        let first = if is_away { 2 } else { 1 };
        let done = self
            .courses
            .iter()
            .rposition(|it| it.end.is_some_and(|(_, phase)| phase == RolloutPhase::Done));
        match done {
            // The old endpoints are stopped.
            Some(done) => vec![done + 2],
            None => (first..=self.courses.len() + 1).collect(),
        }
    }

    fn apply_event(&mut self, now_ms: u64, ordered_ms: u64) {
        let since_ms = now_ms - ordered_ms;
        if self.scenario.event == Event::OldVersionAway && [1_000, 4_000].contains(&since_ms) {
            let names = self.listed(now_ms).into_iter();
            let names: BTreeSet<_> = names.map(|it| version(&format!("v{it}"))).collect();
            for node in &mut self.nodes {
                rollouts_observe(node, now_ms, names.clone());
            }
        }
        if self.scenario.event == Event::NodeReplaced && since_ms == 1_000 {
            self.nodes[0] = node(0, 2);
            self.attempts.retain(|it| it.node != 0);
            self.apply_order(now_ms, 0, self.current_order());
            self.replaced_ms = Some(now_ms);
        }
    }

    fn send(&mut self, now_ms: u64) {
        self.requests += 1;
        let node = self.random.random_range(0..NODES);
        let rule = self.nodes[node].rules(at(now_ms)).remove(&service());
        let limit = rule.map(|it| it.limit(self.random.random_range(0..1_000_000), false));
        let allows = |number: &usize| {
            let name = version(&format!("v{number}"));
            limit.as_ref().is_none_or(|it| it.allows(&name))
        };
        let allowed: Vec<usize> = self.listed(now_ms).into_iter().filter(allows).collect();
        if allowed.is_empty() {
            self.refused += 1;
            return;
        }
        let chosen = allowed[self.random.random_range(0..allowed.len())];
        let quality = match chosen {
            1 => GOOD,
            _ => self.steps[chosen - 2].quality,
        };
        let fails = self.random.random_range(0..100) < quality.failing_percent;
        let latency_ms = LATENCY_MS * quality.slowness * self.random.random_range(80..130) / 100;
        let arrivals = self.arrivals.entry(chosen).or_default();
        arrivals.push((now_ms, fails || quality.slowness > 1));
        let number = TrialNumber::new(self.requests);
        let trial = VersionTrial {
            service: service(),
            version: version(&format!("v{chosen}")),
            route: "r-1".parse().unwrap(),
            endpoint: format!("i-v{chosen}").parse().unwrap(),
            latency: None,
        };
        self.nodes[node].start_trial(at(now_ms), number, trial);
        self.attempts.push(Attempt {
            node,
            number,
            answered_ms: now_ms + if fails { 20 } else { latency_ms },
            latency: (!fails).then(|| Micros::new(latency_ms * 1_000)),
        });
    }

    fn finish_attempts(&mut self, now_ms: u64) {
        let due = |it: &mut Attempt| it.answered_ms <= now_ms;
        for attempt in self.attempts.extract_if(.., due).collect::<Vec<_>>() {
            let node = &mut self.nodes[attempt.node];
            let effects = node.end_trial(at(now_ms), attempt.number, attempt.latency);
            self.apply(now_ms, effects);
        }
    }

    /// Writes statuses to the store, where the first end of an order counts.
    fn apply(&mut self, now_ms: u64, effects: Vec<RolloutEffect>) {
        for effect in effects {
            let RolloutEffect::Record {
                order_position,
                status,
            } = effect
            else {
                continue;
            };
            let number = self.courses.len();
            let is_current = order_position == Self::order_position(number);
            let course = &mut self.courses[number - 1];
            if is_current && status.phase != RolloutPhase::Running && course.end.is_none() {
                course.end = Some((now_ms, status.phase));
                let known_ms = now_ms + STORE_DELAY_MS;
                self.statuses.push((known_ms, number, status.phase));
            }
        }
    }

    fn apply_statuses(&mut self, now_ms: u64) {
        let number = self.courses.len();
        let due = self.statuses.extract_if(.., |it| it.0 <= now_ms);
        for (_, ended, phase) in due.collect::<Vec<_>>() {
            for node in self.nodes.iter_mut().filter(|_| ended == number) {
                node.apply_phase(at(now_ms), &service(), phase);
            }
        }
    }

    fn exchange_evidence(&mut self, now_ms: u64) {
        for sender in 0..NODES {
            let sent: Vec<(StorePosition, Millis, MoveEvidence)> = self.nodes[sender]
                .evidence(at(now_ms))
                .into_iter()
                .map(|(_, position, elapsed, evidence)| (position, elapsed, evidence.clone()))
                .collect();
            let ended: Vec<(EndpointVersion, EndedOrder)> = self.nodes[sender]
                .ended_orders(&service())
                .map(|(version, order)| (version.clone(), *order))
                .collect();
            let receiver = (sender + 1) % NODES;
            for (position, elapsed_ms, evidence) in sent {
                let node = &mut self.nodes[receiver];
                node.merge_ended_orders(at(now_ms), &service(), position, &ended);
                let effects = node.merge(at(now_ms), &service(), position, elapsed_ms, &evidence);
                self.apply(now_ms, effects);
            }
        }
    }

    /// Asserts that the version of an order, which is bad, got no more than allowed.
    fn assert_bounded(&self, order: usize) {
        let course = &self.courses[order];
        let limit_ms = course.ordered_ms + self.scenario.duration_ms;
        let window = course.ordered_ms..=limit_ms;
        let number = order + 2;
        let empty = Vec::new();
        let got = self.arrivals.get(&number).unwrap_or(&empty);
        let all = self.arrivals.values().flatten();
        let all = all.filter(|(ms, _)| window.contains(ms)).count() as u64;
        let exposed = got.iter().filter(|(ms, _)| window.contains(ms)).count() as u64;
        let allowed = all / 10 + EXPOSURE_SLACK;
        assert!(exposed <= allowed, "v{number}: {exposed} of {all} requests");
        let mut bad = got.iter().filter(|(_, is_bad)| *is_bad);
        if let Some((fiftieth_ms, _)) = bad.nth(BAD_ANSWERS - 1) {
            let late = got.iter().filter(|(ms, _)| *ms > fiftieth_ms + ROLLBACK_MS);
            assert_eq!(late.count(), 0, "v{number}");
        }
    }

    /// Requests to the version of an order that were sent in a time.
    fn arrivals_in(&self, order: usize, from_ms: u64, until_ms: u64) -> usize {
        let got = self.arrivals.get(&(order + 2)).into_iter().flatten();
        got.filter(|(ms, _)| (from_ms..until_ms).contains(ms))
            .count()
    }
}

fn rollouts_observe(node: &mut Rollouts, now_ms: u64, listed: BTreeSet<EndpointVersion>) {
    node.observe_versions(at(now_ms), &service(), listed);
}

/// Neither the version of the last order nor any one before it gets more requests than
/// allowed, and none of them is compared with a bad one.
#[test_case(&[ended(failing(80)), ended(failing(40))], PLAIN ; "failing after failing")]
#[test_case(&[ended(SLOW), ended(SLOW)], PLAIN ; "slow after slow")]
#[test_case(&[ended(SLOW), ended(failing(40))], PLAIN ; "failing after slow")]
#[test_case(&[ended(failing(80)), ended(SLOW)], PLAIN ; "slow after failing")]
#[test_case(&[ended(failing(90)), ended(failing(60)), ended(SLOW), ended(failing(40))], PLAIN ; "four in a row")]
#[test_case(&[ended(failing(80)), replacing(2_000, failing(40))], PLAIN ; "order replaced")]
#[test_case(&[ended(SLOW), replacing(5_000, SLOW)], PLAIN ; "order of a slow version replaced")]
#[test_case(&[ended(failing(30)), replacing(1_000, failing(60)), replacing(1_000, failing(40))], PLAIN ; "two orders replaced")]
#[test_case(&[ended(failing(80)), ended(failing(40))], Scenario { event: Event::OldVersionAway, ..PLAIN } ; "old version away for a while")]
#[test_case(&[ended(failing(80)), ended(failing(40))], Scenario { event: Event::NodeReplaced, ..PLAIN } ; "node replaced")]
#[test_case(&[ended(failing(80)), ended(failing(40))], Scenario { requests_per_s: 60, ..PLAIN } ; "60 requests per second")]
#[test_case(&[ended(failing(80)), ended(failing(40))], Scenario { requests_per_s: 9, duration_ms: 30_000, ..PLAIN } ; "9 requests per second")]
fn bad_version_after_bad_one_rolled_back(steps: &[Step], scenario: Scenario) {
    for seed in 1..=10 {
        println!("seed {seed}");
        let simulation = Simulation::new(scenario, steps, Seed::new(seed)).run();
        let last = simulation.courses.len() - 1;
        let end = simulation.courses[last].end;
        assert!(
            end.is_some_and(|(_, phase)| phase == RolloutPhase::TakenBack),
            "seed {seed}: {end:?}"
        );
        for order in 0..=last {
            simulation.assert_bounded(order);
        }
        if scenario.event != Event::OldVersionAway {
            assert_eq!(simulation.refused, 0, "seed {seed}");
        }
        for order in 0..last {
            // A node that is replaced has to learn from the others.
            let from_ms = simulation.courses[order + 1].ordered_ms + STEP_MS;
            let until_ms = simulation.replaced_ms.unwrap_or(u64::MAX);
            assert_eq!(simulation.arrivals_in(order, from_ms, until_ms), 0);
            let learned_ms = until_ms.saturating_add(EVIDENCE_INTERVAL_MS);
            assert_eq!(simulation.arrivals_in(order, learned_ms, u64::MAX), 0);
        }
    }
}

/// A good version is done in time after bad ones, as it would be alone.
#[test_case(&[ended(GOOD)], PLAIN ; "alone")]
#[test_case(&[ended(failing(80)), ended(GOOD)], PLAIN ; "after a failing version")]
#[test_case(&[ended(SLOW), ended(GOOD)], PLAIN ; "after a slow version")]
#[test_case(&[ended(failing(80)), ended(SLOW), ended(GOOD)], PLAIN ; "after two bad versions")]
#[test_case(&[ended(failing(80)), replacing(2_000, GOOD)], PLAIN ; "after a replaced order")]
#[test_case(&[ended(failing(80)), ended(GOOD)], Scenario { duration_ms: 30_000, ..PLAIN } ; "within 30 s")]
#[test_case(&[ended(failing(80)), ended(GOOD)], Scenario { requests_per_s: 60, ..PLAIN } ; "60 requests per second")]
#[test_case(&[ended(failing(80)), ended(GOOD)], Scenario { requests_per_s: 8, ..PLAIN } ; "8 requests per second")]
#[test_case(&[ended(failing(80)), ended(GOOD)], Scenario { event: Event::NodeReplaced, ..PLAIN } ; "node replaced")]
fn good_version_after_bad_one_completed(steps: &[Step], scenario: Scenario) {
    for seed in 1..=10 {
        let simulation = Simulation::new(scenario, steps, Seed::new(seed)).run();
        let last = &simulation.courses[simulation.courses.len() - 1];
        let limit_ms = last.ordered_ms + scenario.duration_ms - STORE_DELAY_MS;
        assert!(
            last.end.is_some_and(|(end_ms, phase)| {
                phase == RolloutPhase::Done && end_ms <= limit_ms
            }),
            "seed {seed}: {last:?}"
        );
    }
}

/// A node that has taken back `v2`, and then gets an order for `target`.
fn node_after_bad_version(target: &str, phase: Option<RolloutPhase>) -> Rollouts {
    let mut node = node(0, 1);
    for (number, target) in ["v2", target].into_iter().enumerate() {
        let order = RolloutOrder {
            service: service(),
            target: version(target),
            duration_ms: Millis::new(PLAIN.duration_ms),
        };
        let position = position(10 * (number as u64 + 1));
        node.apply_order(at(0), position, order, EXPOSURE_LIMIT, None)
            .unwrap();
        if number > 0 {
            continue;
        }
        let served = VersionTrial {
            service: service(),
            version: version("v1"),
            route: "r-1".parse().unwrap(),
            endpoint: "i-v1".parse().unwrap(),
            latency: Some(Micros::new(10_000)),
        };
        node.record_trial(at(0), &served);
        if let Some(phase) = phase {
            node.apply_phase(at(0), &service(), phase);
        }
    }
    node
}

fn allowed(node: &Rollouts, random: u32) -> Vec<&'static str> {
    let rule = node.rules(at(10)).remove(&service()).unwrap();
    let limit = rule.limit(random, false);
    let names = ["v1", "v2", "v3"].into_iter();
    names.filter(|it| limit.allows(&version(it))).collect()
}

fn observe(node: &mut Rollouts, listed: &[&str]) {
    let listed = listed.iter().map(|it| version(it)).collect();
    rollouts_observe(node, 5, listed);
}

/// All requests go to the old version if the only other one is bad.
#[test]
fn order_back_to_old_version_refuses_none() {
    let mut node = node_after_bad_version("v1", Some(RolloutPhase::TakenBack));
    observe(&mut node, &["v1", "v2"]);
    assert_eq!(allowed(&node, 999_999), ["v1"]);
    // Another old version takes the requests beyond the share.
    observe(&mut node, &["v1", "v2", "v3"]);
    assert_eq!(allowed(&node, 999_999), ["v3"]);
}

/// A version whose order was replaced is used only if no other one is listed; one that was
/// taken back is not used then either.
#[test_case(None, &["v2"] ; "replaced")]
#[test_case(Some(RolloutPhase::TakenBack), &[] ; "taken back")]
fn earlier_version_used_without_other(phase: Option<RolloutPhase>, alone: &[&str]) {
    let mut node = node_after_bad_version("v3", phase);
    observe(&mut node, &["v1", "v2", "v3"]);
    assert_eq!(allowed(&node, 999_999), ["v1"]);
    observe(&mut node, &["v2", "v3"]);
    let used = allowed(&node, 999_999);
    let listed: Vec<_> = used.into_iter().filter(|it| *it != "v1").collect();
    assert_eq!(listed, alone);
    observe(&mut node, &["v1", "v2", "v3"]);
    assert_eq!(allowed(&node, 999_999), ["v1"]);
}

/// Times of orders.
const DURATIONS_MS: [u64; 3] = [16_000, 30_000, 60_000];
const RATE_SEEDS: u64 = 20;

/// Runs of a single order for a version of a quality.
fn simulate_alone(
    requests_per_s: u64,
    duration_ms: u64,
    quality: Quality,
) -> impl Iterator<Item = (u64, Simulation)> {
    let scenario = Scenario {
        requests_per_s,
        duration_ms,
        ..PLAIN
    };
    (1..=RATE_SEEDS).map(move |seed| {
        let simulation = Simulation::new(scenario, &[ended(quality)], Seed::new(seed));
        (seed, simulation.run())
    })
}

/// A good version of a service with few requests gets enough of them to be done in time.
#[test_case(4 ; "4 requests per second")]
#[test_case(8 ; "8 requests per second")]
#[test_case(12 ; "12 requests per second")]
#[test_case(16 ; "16 requests per second")]
#[test_case(24 ; "24 requests per second")]
#[test_case(40 ; "40 requests per second")]
#[test_case(60 ; "60 requests per second")]
fn good_version_completed_at_rate(requests_per_s: u64) {
    for duration_ms in DURATIONS_MS {
        for (seed, simulation) in simulate_alone(requests_per_s, duration_ms, GOOD) {
            let end = simulation.courses[0].end;
            assert!(
                end.is_some_and(|(end_ms, phase)| {
                    phase == RolloutPhase::Done && end_ms + STORE_DELAY_MS <= duration_ms
                }),
                "{duration_ms} ms, seed {seed}: {end:?}"
            );
        }
    }
}

/// A bad version gets no more requests than allowed at any rate, however often it fails.
#[test_case(4 ; "4 requests per second")]
#[test_case(8 ; "8 requests per second")]
#[test_case(12 ; "12 requests per second")]
#[test_case(16 ; "16 requests per second")]
#[test_case(24 ; "24 requests per second")]
#[test_case(40 ; "40 requests per second")]
#[test_case(60 ; "60 requests per second")]
fn bad_version_bounded_at_rate(requests_per_s: u64) {
    for duration_ms in DURATIONS_MS {
        for quality in [failing(10), failing(20), failing(40), failing(100), SLOW] {
            for (seed, simulation) in simulate_alone(requests_per_s, duration_ms, quality) {
                println!(
                    "{duration_ms} ms, {} in 100, seed {seed}",
                    quality.failing_percent
                );
                simulation.assert_bounded(0);
            }
        }
    }
}
