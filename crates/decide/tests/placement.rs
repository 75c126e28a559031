//! Tests of the selection of engines for attempts.

use std::{collections::BTreeMap, sync::Arc};

use parsleylatch_decide::{
    generation::PlacementConstraints,
    placement::{PlacementRequest, Placer},
    view::{EndpointCondition, EndpointKind, EndpointView, Snapshot},
};
use parsleylatch_settings::{Tier, TokenTimeouts};
use parsleylatch_types::{EndpointId, Micros, Millis, MonoTime, RequestCount};
use test_case::test_case;

const NOW: MonoTime = MonoTime::new(1_000_000);

fn engine(name: &str, region: &str, condition: EndpointCondition) -> EndpointView {
    EndpointView {
        id: name.parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        kind: EndpointKind::Engine {
            model: "drafts".parse().unwrap(),
            version: "v1".parse().unwrap(),
        },
        failure_domain: "domain-1".parse().unwrap(),
        region: region.parse().unwrap(),
        condition,
        reported_running: RequestCount::ZERO,
        reported_waiting: RequestCount::ZERO,
        capacity: RequestCount::new(64),
        pace_us: None,
    }
}

fn snapshot(engines: Vec<EndpointView>) -> Snapshot {
    let endpoints = engines.into_iter().map(Arc::new).collect();
    Snapshot {
        endpoints,
        ..Snapshot::default()
    }
}

fn constraints(failed: &[&str]) -> PlacementConstraints {
    PlacementConstraints {
        endpoint_versions: vec!["v1".parse().unwrap()],
        failed_endpoints: failed.iter().map(|id| id.parse().unwrap()).collect(),
    }
}

fn place(
    placer: &mut Placer,
    snapshot: &Snapshot,
    prompt: &str,
    failed: &[&str],
) -> Option<String> {
    let constraints = constraints(failed);
    let model = "drafts".parse().unwrap();
    let detection = TokenTimeouts::default();
    let request = PlacementRequest {
        model: &model,
        prompt,
        constraints: &constraints,
        detection: &detection,
        tier: Tier::Paying,
        cluster_threads: RequestCount::new(1),
    };
    placer
        .place(NOW, snapshot, &request)
        .map(|placement| placement.endpoint.to_string())
}

fn placer() -> Placer {
    Placer::new("home".parse().unwrap())
}

const LIVE: EndpointCondition = EndpointCondition::Live;
const SUSPECT: EndpointCondition = EndpointCondition::Suspect;
const LEAVING: EndpointCondition = EndpointCondition::Leaving;

#[test_case(&[("near", "home", LIVE), ("far", "away", LIVE)], &[], Some("near") ; "same region first")]
#[test_case(&[("near", "home", SUSPECT), ("far", "away", LIVE)], &[], Some("far") ; "suspect after remote")]
#[test_case(&[("near", "home", LIVE), ("far", "away", LIVE)], &["near"], Some("far") ; "failed last")]
#[test_case(&[("near", "home", LIVE)], &["near"], Some("near") ; "failed if no other")]
#[test_case(&[("near", "home", LEAVING), ("far", "away", LIVE)], &[], Some("far") ; "leaving never")]
#[test_case(&[("near", "home", LEAVING)], &[], None ; "only leaving")]
fn place_rank(
    engines: &[(&str, &str, EndpointCondition)],
    failed: &[&str],
    expected: Option<&str>,
) {
    let engines = engines
        .iter()
        .map(|(name, region, condition)| engine(name, region, *condition));
    let snapshot = snapshot(engines.collect());
    assert_eq!(
        place(&mut placer(), &snapshot, "prompt", failed).as_deref(),
        expected
    );
}

#[test]
fn place_other_version() {
    let mut other = engine("near", "home", LIVE);
    other.kind = EndpointKind::Engine {
        model: "drafts".parse().unwrap(),
        version: "v2".parse().unwrap(),
    };
    assert_eq!(
        place(&mut placer(), &snapshot(vec![other]), "prompt", &[]),
        None
    );
}

fn ten_engines() -> Snapshot {
    snapshot(
        (0..10)
            .map(|number| engine(&format!("engine-{number}"), "home", LIVE))
            .collect(),
    )
}

/// Prompts with the same prefix go to the same engine, on every node.
#[test]
fn place_affinity() {
    let snapshot = ten_engines();
    let prefix = "h".repeat(256);
    let first = place(&mut placer(), &snapshot, &format!("{prefix} one"), &[]);
    let second = place(&mut placer(), &snapshot, &format!("{prefix} two"), &[]);
    assert_eq!(first, second);
}

/// A frequent prompt prefix does not overload one engine.
#[test]
fn place_bounded_load() {
    let snapshot = ten_engines();
    let mut placer = placer();
    let mut counts = BTreeMap::<String, u64>::new();
    for _ in 0..200 {
        *counts
            .entry(place(&mut placer, &snapshot, "hot", &[]).unwrap())
            .or_default() += 1;
    }
    let most = counts.values().max().copied().unwrap();
    assert!(most <= 20 * 125 / 100 + 1, "{counts:?}");
}

/// Different prompts spread over the engines even if all reported loads are zero.
#[test]
fn place_no_herd() {
    let snapshot = ten_engines();
    let mut counts = BTreeMap::<String, u64>::new();
    for number in 0..2_000 {
        // One placer per request: nodes don't know of each other's placements.
        let chosen = place(&mut placer(), &snapshot, &format!("prompt {number}"), &[]);
        *counts.entry(chosen.unwrap()).or_default() += 1;
    }
    assert_eq!(counts.len(), 10);
    assert!(
        counts.values().all(|count| (120..=290).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn place_token_timeout_follows_pace() {
    let snapshot = ten_engines();
    let mut placer = placer();
    let chosen: EndpointId = place(&mut placer, &snapshot, "p", &[])
        .unwrap()
        .parse()
        .unwrap();
    placer.record_end(&chosen, Tier::Paying);
    placer.record_pace(&chosen, Micros::new(100_000));
    let (constraints, detection) = (constraints(&[]), TokenTimeouts::default());
    let model = "drafts".parse().unwrap();
    let request = PlacementRequest {
        model: &model,
        prompt: "p",
        constraints: &constraints,
        detection: &detection,
        tier: Tier::Paying,
        cluster_threads: RequestCount::new(1),
    };
    let placement = placer.place(NOW, &snapshot, &request).unwrap();
    assert_eq!(placement.endpoint, chosen);
    assert_eq!(placement.token_timeout_ms, Millis::new(800));
}

/// An endpoint that failed an attempt is chosen last for some time.
#[test]
fn place_after_fault() {
    let snapshot = ten_engines();
    let mut placer = placer();
    let chosen = place(&mut placer, &snapshot, "p", &[]).unwrap();
    placer.record_fault(NOW, &chosen.parse().unwrap());
    assert_ne!(place(&mut placer, &snapshot, "p", &[]), Some(chosen));
}

/// An engine that has not reported its capacity yet is not full after one placement.
#[test]
fn place_capacity_unknown() {
    let engines = (0..3).map(|number| engine(&format!("engine-{number}"), "home", LIVE));
    let unknown = engines.map(|engine| EndpointView {
        capacity: RequestCount::ZERO,
        ..engine
    });
    let snapshot = snapshot(unknown.collect());
    let mut placer = placer();
    let first = place(&mut placer, &snapshot, "p", &[]);
    assert_eq!(place(&mut placer, &snapshot, "p", &[]), first);
}
