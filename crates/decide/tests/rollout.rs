//! Roll-outs over several nodes that share their evidence: exposure of a bad
//! version, and the end of a good one.

use std::sync::Arc;

use parsleylatch_decide::{
    moves::{ExposureLimit, FULL_SHARE, MoveEvidence, Observer},
    relay::{
        RolloutEffect, RolloutOrder, RolloutPhase, Rollouts, VersionChoice, VersionRule,
        VersionTrial,
    },
};
use parsleylatch_types::{
    EndpointVersion, Incarnation, Micros, Millis, MonoTime, RequestCount, Revision, ServiceName,
    Share, StoreEra, StorePosition, TrialNumber,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use test_case::test_case;

const NODES: usize = 6;
/// Time from the order to its end.
const DURATION_MS: u64 = 12_000;
/// Time between requests of a node.
const REQUEST_INTERVAL_MS: u64 = 20;
/// Time between exchanges of evidence.
const EVIDENCE_INTERVAL_MS: u64 = 300;
/// Requests that a bad version may receive beyond a tenth of all requests.
const EXPOSURE_SLACK: usize = 50;
const EXPOSURE_LIMIT: ExposureLimit = ExposureLimit {
    share: Share::new(100_000),
    slack: RequestCount::new(EXPOSURE_SLACK as u64),
};

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(millis)
}

fn position(revision: u64) -> StorePosition {
    StorePosition::new(StoreEra::ZERO, Revision::new(revision))
}

fn service() -> ServiceName {
    "desk".parse().unwrap()
}

fn version(name: &str) -> EndpointVersion {
    name.parse().unwrap()
}

fn order() -> RolloutOrder {
    RolloutOrder {
        service: service(),
        target: version("v2"),
        duration_ms: Millis::new(DURATION_MS),
    }
}

fn node(number: usize) -> Rollouts {
    Rollouts::new(Observer {
        node: format!("node-{number}").parse().unwrap(),
        incarnation: Incarnation::new(1),
    })
}

fn apply_order(node: &mut Rollouts, phase: Option<RolloutPhase>) -> Vec<RolloutEffect> {
    node.apply_order(at(0), position(5), order(), EXPOSURE_LIMIT, phase)
        .unwrap()
}

fn phases(effects: &[RolloutEffect]) -> Vec<RolloutPhase> {
    let recorded = effects.iter().filter_map(|effect| match effect {
        RolloutEffect::Record { status, .. } => Some(status.phase),
        RolloutEffect::Announce(_) => None,
    });
    recorded.collect()
}

fn trial(version_name: &str, latency: Option<Micros>) -> VersionTrial {
    VersionTrial {
        service: service(),
        version: version(version_name),
        route: "r-1".parse().unwrap(),
        endpoint: format!("i-{version_name}").parse().unwrap(),
        latency,
    }
}

struct Simulation {
    requests: usize,
    exposed: usize,
    ends: Vec<RolloutPhase>,
}

/// Simulates a roll-out; `is_bad` tells whether the new version fails at a time and for a
/// request number.
fn simulate(is_bad: fn(u64, usize) -> bool) -> Simulation {
    let mut nodes: Vec<Rollouts> = (0..NODES).map(node).collect();
    for node in &mut nodes {
        apply_order(node, None);
    }
    let mut simulation = Simulation {
        requests: 0,
        exposed: 0,
        ends: Vec::new(),
    };
    for now_ms in (0..DURATION_MS).step_by(REQUEST_INTERVAL_MS as usize) {
        let now = at(now_ms);
        for node in &mut nodes {
            simulation.requests += 1;
            let rule = node.rules(now).remove(&service()).unwrap();
            // Evenly distributed pseudo-random numbers.
            let random = (simulation.requests as u64 * 617_411 % 1_000_000) as u32;
            let is_new =
                rule.limit(random, false).choice == VersionChoice::Preferred(version("v2"));
            simulation.exposed += usize::from(is_new);
            let name = if is_new { "v2" } else { "v1" };
            let fails = is_new && is_bad(now_ms, simulation.requests);
            let latency = (!fails).then(|| Micros::new(10_000));
            let mut effects = node.record_trial(now, &trial(name, latency));
            effects.extend(node.expire(now));
            let ended = phases(&effects).into_iter();
            simulation
                .ends
                .extend(ended.filter(|it| *it != RolloutPhase::Running));
        }
        if now_ms % EVIDENCE_INTERVAL_MS == 0 {
            let effects = exchange_evidence(now, &mut nodes);
            let ended = phases(&effects).into_iter();
            simulation
                .ends
                .extend(ended.filter(|it| *it != RolloutPhase::Running));
        }
    }
    simulation
}

/// Sends the evidence of each node to the next one, and returns the effects.
fn exchange_evidence(now: MonoTime, nodes: &mut [Rollouts]) -> Vec<RolloutEffect> {
    let mut effects = Vec::new();
    for sender in 0..nodes.len() {
        let messages: Vec<(ServiceName, StorePosition, Millis, MoveEvidence)> = nodes[sender]
            .evidence(now)
            .into_iter()
            .map(|(service, revision, elapsed, evidence)| {
                (service.clone(), revision, elapsed, evidence.clone())
            })
            .collect();
        let receiver = (sender + 1) % NODES;
        for (service, position, elapsed_ms, evidence) in messages {
            let merged = &mut nodes[receiver];
            effects.extend(merged.merge(now, &service, position, elapsed_ms, &evidence));
        }
    }
    effects
}

#[test_case(|_, _| true ; "always")]
#[test_case(|_, request| request % 3 == 0 ; "a third of the responses")]
#[test_case(|now_ms, _| now_ms > 4_000 ; "after a third of the time")]
#[test_case(|now_ms, request| now_ms > 8_000 && request % 2 == 0 ; "half after two thirds of the time")]
fn bad_version_exposure_bounded(is_bad: fn(u64, usize) -> bool) {
    let simulation = simulate(is_bad);
    let allowed = simulation.requests / 10 + EXPOSURE_SLACK;
    assert!(
        simulation.exposed <= allowed,
        "{} of {}",
        simulation.exposed,
        simulation.requests
    );
    assert!(!simulation.ends.is_empty());
    assert!(
        simulation
            .ends
            .iter()
            .all(|end| *end == RolloutPhase::TakenBack),
        "{:?}",
        simulation.ends
    );
}

#[test]
fn good_version_completes() {
    let simulation = simulate(|_, _| false);
    assert_eq!(simulation.ends.first(), Some(&RolloutPhase::Done));
    assert!(simulation.ends.iter().all(|end| *end == RolloutPhase::Done));
}

#[test]
fn order_applied_twice_recorded_once() {
    let mut node = node(1);
    assert_eq!(
        phases(&apply_order(&mut node, None)),
        [RolloutPhase::Running]
    );
    assert!(phases(&apply_order(&mut node, None)).is_empty());
}

#[test_case(RolloutPhase::Done, FULL_SHARE ; "done")]
#[test_case(RolloutPhase::TakenBack, Share::ZERO ; "taken back")]
fn order_already_ended(phase: RolloutPhase, share: Share) {
    let mut node = node(1);
    assert!(phases(&apply_order(&mut node, Some(phase))).is_empty());
    let rule = node.rules(at(10)).remove(&service()).unwrap();
    assert_eq!(rule.share, share);
    assert!(!node.is_open());
}

/// An order holds although no endpoint is listed: entries lapse in an outage of the store.
/// Until another version answers, the target gets its share only.
#[test]
fn order_without_other_version_in_force() {
    let mut node = node(1);
    assert_eq!(
        phases(&apply_order(&mut node, None)),
        [RolloutPhase::Running]
    );
    let rule = node.rules(at(10)).remove(&service()).unwrap();
    assert!(rule.share <= EXPOSURE_LIMIT.share, "{rule:?}");
    // The old version is back, and the target turns out to be slow.
    let mut effects = Vec::new();
    for now in (2_000..6_000).step_by(20).map(at) {
        for (name, latency_us) in [("v1", 10_000), ("v2", 50_000)] {
            let answered = trial(name, Some(Micros::new(latency_us)));
            effects.extend(node.record_trial(now, &answered));
        }
        effects.extend(node.expire(now));
    }
    assert_eq!(phases(&effects).last(), Some(&RolloutPhase::TakenBack));
    let rule = node.rules(at(6_000)).remove(&service()).unwrap();
    assert_eq!(rule.share, Share::ZERO);
}

/// All versions except the target are compared with it, also one that is listed later.
#[test]
fn order_compares_version_listed_later() {
    let mut node = node(1);
    apply_order(&mut node, None);
    let mut effects = Vec::new();
    for now in (0..4_000).step_by(20).map(at) {
        for (name, latency_us) in [("v0", 10_000), ("v2", 50_000)] {
            let answered = trial(name, Some(Micros::new(latency_us)));
            effects.extend(node.record_trial(now, &answered));
        }
        effects.extend(node.expire(now));
    }
    assert_eq!(phases(&effects).last(), Some(&RolloutPhase::TakenBack));
}

#[test_case(0, false, true ; "in the share")]
#[test_case(500_000, false, false ; "beyond the share")]
#[test_case(0, true, false ; "repeat")]
fn limit_on_trial(random: u32, is_retry: bool, is_new: bool) {
    let rule = VersionRule {
        target: version("v2"),
        share: Share::new(50_000),
        rejected: Arc::default(),
    };
    let limit = rule.limit(random, is_retry);
    assert_eq!(
        limit.choice == VersionChoice::Preferred(version("v2")),
        is_new
    );
}

/// Rates, latencies and behaviour of a simulated service with little traffic.
struct SlowService {
    request_interval_ms: u64,
    /// Latency of the old version.
    latency_ms: u64,
    /// Latency of the new version for requests sent at a time.
    new_latency_ms: fn(u64) -> u64,
}

/// Time from the order to its end for services with little traffic.
const LONG_DURATION_MS: u64 = 15_000;
/// Time that a status needs to reach the store.
const STORE_DELAY_MS: u64 = 500;

/// One attempt that has not responded yet.
struct OpenAttempt {
    node: usize,
    id: TrialNumber,
    sent_ms: u64,
    latency_ms: u64,
    version: &'static str,
}

/// Simulates a roll-out of a service whose attempts take longer than the time between
/// requests; each end is returned with its time.
fn simulate_slow_service(service_load: &SlowService, seed: u64) -> (Simulation, Vec<u64>) {
    let order = RolloutOrder {
        duration_ms: Millis::new(LONG_DURATION_MS),
        ..order()
    };
    let mut nodes: Vec<Rollouts> = (0..NODES).map(node).collect();
    for node in &mut nodes {
        node.apply_order(at(0), position(5), order.clone(), EXPOSURE_LIMIT, None)
            .unwrap();
    }
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut simulation = Simulation {
        requests: 0,
        exposed: 0,
        ends: Vec::new(),
    };
    let mut ended_at = Vec::new();
    let mut open: Vec<OpenAttempt> = Vec::new();
    for now_ms in (0..LONG_DURATION_MS).step_by(5) {
        let now = at(now_ms);
        let mut effects = Vec::new();
        if now_ms % service_load.request_interval_ms == 0 {
            let number = rng.random_range(0..NODES);
            let rule = nodes[number].rules(now).remove(&service()).unwrap();
            let limit = rule.limit(rng.random_range(0..1_000_000), false);
            let is_new = limit.choice == VersionChoice::Preferred(version("v2"));
            let base_ms = match is_new {
                true => (service_load.new_latency_ms)(now_ms),
                false => service_load.latency_ms,
            };
            simulation.requests += 1;
            simulation.exposed += usize::from(is_new);
            let attempt = OpenAttempt {
                node: number,
                id: TrialNumber::new(simulation.requests as u64),
                sent_ms: now_ms,
                latency_ms: base_ms * rng.random_range(60..170) / 100,
                version: if is_new { "v2" } else { "v1" },
            };
            nodes[number].start_trial(now, attempt.id, trial(attempt.version, None));
            open.push(attempt);
        }
        let due = |it: &mut OpenAttempt| it.sent_ms + it.latency_ms <= now_ms;
        for attempt in open.extract_if(.., due) {
            let latency = Micros::new(attempt.latency_ms * 1_000);
            effects.extend(nodes[attempt.node].end_trial(now, attempt.id, Some(latency)));
        }
        for node in &mut nodes {
            effects.extend(node.expire(now));
        }
        if now_ms % EVIDENCE_INTERVAL_MS == 0 {
            effects.extend(exchange_evidence(now, &mut nodes));
        }
        for end in phases(&effects) {
            if end != RolloutPhase::Running {
                simulation.ends.push(end);
                ended_at.push(now_ms);
            }
        }
    }
    (simulation, ended_at)
}

fn assert_ended_in_time(service_load: &SlowService, expected: RolloutPhase) {
    for seed in 0..40 {
        let (simulation, ended_at) = simulate_slow_service(service_load, seed);
        let first = simulation.ends.first();
        assert_eq!(
            first,
            Some(&expected),
            "seed {seed}: {:?} at {ended_at:?}",
            simulation.ends
        );
        assert!(
            ended_at[0] + STORE_DELAY_MS <= LONG_DURATION_MS,
            "seed {seed}: {ended_at:?}"
        );
        let allowed = simulation.requests / 10 + EXPOSURE_SLACK;
        if expected == RolloutPhase::TakenBack {
            assert!(
                simulation.exposed <= allowed,
                "seed {seed}: {} of {}",
                simulation.exposed,
                simulation.requests
            );
        }
    }
}

#[test_case(105, |_| 5_400 ; "nine requests per second")]
#[test_case(215, |_| 5_400 ; "five requests per second")]
#[test_case(105, |_| 3_900 ; "three times slower")]
#[test_case(105, |_| 2_400 ; "twice slower")]
#[test_case(105, |_| 9_600 ; "eight times slower")]
#[test_case(105, |now_ms| if now_ms < 6_000 { 1_200 } else { 5_400 } ; "slow after a while")]
#[test_case(10, |_| 5_400 ; "a hundred requests per second")]
fn slow_version_kept(request_interval_ms: u64, new_latency_ms: fn(u64) -> u64) {
    let service_load = SlowService {
        request_interval_ms,
        latency_ms: 1_200,
        new_latency_ms,
    };
    assert_ended_in_time(&service_load, RolloutPhase::TakenBack);
}

#[test_case(105, 1_200 ; "nine requests per second")]
#[test_case(215, 1_200 ; "five requests per second")]
#[test_case(10, 25 ; "short calls")]
fn good_version_with_little_traffic_completes(request_interval_ms: u64, latency_ms: u64) {
    let new_latency_ms = match latency_ms {
        25 => |_| 25,
        _ => |_| 1_200,
    };
    let service_load = SlowService {
        request_interval_ms,
        latency_ms,
        new_latency_ms,
    };
    assert_ended_in_time(&service_load, RolloutPhase::Done);
}

/// One failure on a route with few requests does not keep a good version from passing.
#[test]
fn good_version_with_failure_on_rare_route_completes() {
    let mut node = node(1);
    apply_order(&mut node, None);
    let rare = VersionTrial {
        route: "r-2".parse().unwrap(),
        ..trial("v2", None)
    };
    let mut effects = node.record_trial(at(0), &rare);
    for now in (0..DURATION_MS).step_by(20).map(at) {
        for name in ["v1", "v2"] {
            effects.extend(node.record_trial(now, &trial(name, Some(Micros::new(10_000)))));
        }
        effects.extend(node.expire(now));
    }
    assert_eq!(phases(&effects).last(), Some(&RolloutPhase::Done));
}
