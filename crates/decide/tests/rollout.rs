//! Roll-outs over several nodes that share their evidence: exposure of a bad
//! version, and the end of a good one.

use parsleylatch_decide::{
    moves::{FULL_SHARE, MoveEvidence, Observer},
    relay::{
        RolloutEffect, RolloutOrder, RolloutPhase, Rollouts, VersionLimit, VersionRule,
        VersionTrial,
    },
};
use parsleylatch_types::{
    EndpointVersion, Incarnation, Micros, Millis, MonoTime, Revision, ServiceName, Share,
};
use test_case::test_case;

const NODES: usize = 6;
/// Time from the order to its end.
const DURATION_MS: u64 = 12_000;
/// Time between two requests of a node.
const REQUEST_MS: u64 = 20;
/// Time between two exchanges of evidence.
const EXCHANGE_MS: u64 = 300;
/// Part of all requests that a bad version may get.
const EXPOSURE: Share = Share::new(100_000);
/// Requests that it may get beyond that.
const EXPOSURE_SLACK: usize = 50;

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(millis)
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
    let old = vec![version("v1")];
    node.apply_order(at(0), Revision::new(5), order(), old, EXPOSURE, phase)
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

struct Played {
    requests: usize,
    exposed: usize,
    ends: Vec<RolloutPhase>,
}

/// Plays a roll-out; `is_bad` says whether the new version fails at a time and draw.
fn play(is_bad: fn(u64, usize) -> bool) -> Played {
    let mut nodes: Vec<Rollouts> = (0..NODES).map(node).collect();
    for node in &mut nodes {
        apply_order(node, None);
    }
    let mut played = Played {
        requests: 0,
        exposed: 0,
        ends: Vec::new(),
    };
    for now_ms in (0..DURATION_MS).step_by(REQUEST_MS as usize) {
        let now = at(now_ms);
        for node in &mut nodes {
            played.requests += 1;
            let rule = node.rules(now).remove(&service()).unwrap();
            // Draws that are spread evenly.
            let random = (played.requests as u64 * 617_411 % 1_000_000) as u32;
            let is_new = rule.limit(random, false) == VersionLimit::Preferred(version("v2"));
            played.exposed += usize::from(is_new);
            let name = if is_new { "v2" } else { "v1" };
            let fails = is_new && is_bad(now_ms, played.requests);
            let latency = (!fails).then(|| Micros::new(10_000));
            let mut effects = node.record_trial(now, &trial(name, latency));
            effects.extend(node.expire(now));
            let ended = phases(&effects).into_iter();
            played
                .ends
                .extend(ended.filter(|it| *it != RolloutPhase::Running));
        }
        if now_ms % EXCHANGE_MS == 0 {
            exchange(now, &mut nodes);
        }
    }
    played
}

/// Each node tells the next one what it knows.
fn exchange(now: MonoTime, nodes: &mut [Rollouts]) {
    for teller in 0..nodes.len() {
        let told: Vec<(ServiceName, Revision, Millis, MoveEvidence)> = nodes[teller]
            .evidence(now)
            .into_iter()
            .map(|(service, revision, elapsed, evidence)| {
                (service.clone(), revision, elapsed, evidence.clone())
            })
            .collect();
        let listener = (teller + 1) % NODES;
        for (service, revision, elapsed_ms, evidence) in told {
            nodes[listener].merge(now, &service, revision, elapsed_ms, &evidence);
        }
    }
}

#[test_case(|_, _| true ; "always")]
#[test_case(|_, request| request % 3 == 0 ; "a third of the answers")]
#[test_case(|now_ms, _| now_ms > 4_000 ; "after a third of the time")]
#[test_case(|now_ms, request| now_ms > 8_000 && request % 2 == 0 ; "half after two thirds of the time")]
fn bad_version_exposure(is_bad: fn(u64, usize) -> bool) {
    let played = play(is_bad);
    let allowed = played.requests / 10 + EXPOSURE_SLACK;
    assert!(
        played.exposed <= allowed,
        "{} of {}",
        played.exposed,
        played.requests
    );
    assert!(!played.ends.is_empty());
    assert!(
        played
            .ends
            .iter()
            .all(|end| *end == RolloutPhase::TakenBack),
        "{:?}",
        played.ends
    );
}

#[test]
fn good_version_done() {
    let played = play(|_, _| false);
    assert_eq!(played.ends.first(), Some(&RolloutPhase::Done));
    assert!(played.ends.iter().all(|end| *end == RolloutPhase::Done));
}

#[test]
fn order_known_running() {
    let mut node = node(1);
    assert_eq!(
        phases(&apply_order(&mut node, None)),
        [RolloutPhase::Running]
    );
    assert!(phases(&apply_order(&mut node, None)).is_empty());
}

#[test_case(RolloutPhase::Done, FULL_SHARE ; "done")]
#[test_case(RolloutPhase::TakenBack, Share::ZERO ; "taken back")]
fn order_ended_before(phase: RolloutPhase, share: Share) {
    let mut node = node(1);
    assert!(phases(&apply_order(&mut node, Some(phase))).is_empty());
    let rule = node.rules(at(10)).remove(&service()).unwrap();
    assert_eq!(rule.share, share);
    assert!(!node.is_open());
}

#[test]
fn order_without_other_version_ignored() {
    let mut node = node(1);
    let effects = node.apply_order(at(0), Revision::new(5), order(), Vec::new(), EXPOSURE, None);
    assert!(effects.is_empty());
    assert!(node.rules(at(10)).is_empty());
}

#[test_case(0, false, true ; "in the share")]
#[test_case(500_000, false, false ; "beyond the share")]
#[test_case(0, true, false ; "repeat")]
fn limit_on_trial(random: u32, is_retry: bool, is_new: bool) {
    let rule = VersionRule {
        target: version("v2"),
        share: Share::new(50_000),
    };
    let limit = rule.limit(random, is_retry);
    assert_eq!(limit == VersionLimit::Preferred(version("v2")), is_new);
}
