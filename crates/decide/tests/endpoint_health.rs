//! Endpoints that leave, fall silent or fail; who watches them.

use parsleylatch_decide::{
    endpoint_health::{
        EndpointLoad, EndpointWatch, ListedEndpoint, LoadResponse, WatchEffect, WatchInput,
    },
    gossip::{EndpointSummary, ItemValue, ItemVersion, ObservationId, ObservedCondition},
    membership::MemberLocation,
    view::EndpointCondition,
};
use parsleylatch_types::{EndpointId, Millis, MonoTime, RequestCount};
use test_case::test_case;

const NODES: usize = 6;

fn location(node: usize) -> MemberLocation {
    MemberLocation {
        node: format!("n{node}").parse().unwrap(),
        failure_domain: format!("d{}", node % 3).parse().unwrap(),
        region: "r".parse().unwrap(),
    }
}

fn endpoint() -> EndpointId {
    "engine-1".parse().unwrap()
}

fn listed(leaving: bool) -> WatchInput {
    WatchInput::Listed(vec![ListedEndpoint {
        id: endpoint(),
        failure_domain: "d0".parse().unwrap(),
        region: "r".parse().unwrap(),
        reports_load: true,
        leaving,
    }])
}

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(millis)
}

fn watch(node: usize) -> EndpointWatch {
    let mut watch = EndpointWatch::new(location(node), ItemVersion::default());
    let members = (0..NODES).map(location).collect();
    watch.handle(at(0), WatchInput::Members(members));
    watch.handle(at(0), listed(false));
    watch
}

/// Nodes that watch the endpoint, the first one first.
fn watchers() -> Vec<usize> {
    let known = watch(0);
    let mut watchers: Vec<usize> = (0..NODES)
        .filter(|node| known.is_watched_by(&endpoint(), &location(*node).node))
        .collect();
    watchers.sort_by_key(|node| !is_first(*node));
    watchers
}

fn is_first(node: usize) -> bool {
    let mut watch = EndpointWatch::new(location(node), ItemVersion::default());
    watch.handle(
        at(0),
        WatchInput::Members((0..NODES).map(location).collect()),
    );
    let effects = watch.handle(at(0), listed(false));
    effects.contains(&WatchEffect::Watch(vec![(endpoint(), true)]))
}

fn response(running: u64, leaving: bool) -> WatchInput {
    let load = EndpointLoad {
        running: RequestCount::new(running),
        waiting: RequestCount::ZERO,
        capacity: RequestCount::new(64),
    };
    WatchInput::Load(endpoint(), Some(LoadResponse { load, leaving }))
}

fn no_response() -> WatchInput {
    WatchInput::Load(endpoint(), None)
}

fn observed(watcher: usize, condition: ObservedCondition) -> WatchInput {
    let count = RequestCount::new(8);
    let summary = EndpointSummary::new(condition, count, RequestCount::ZERO, count);
    let id = ObservationId::new(&endpoint(), &location(watcher).node);
    WatchInput::Observed(id, ItemVersion::default(), summary)
}

fn published(effects: &[WatchEffect]) -> Vec<EndpointSummary> {
    let published = effects.iter().filter_map(|effect| match effect {
        WatchEffect::Publish(item) => match item.value {
            ItemValue::Endpoint(summary) => Some(summary),
            _ => None,
        },
        _ => None,
    });
    published.collect()
}

#[test]
fn watch_two_of_six() {
    let watchers = watchers();
    assert_eq!(watchers.len(), 2);
    assert_ne!(
        location(watchers[0]).failure_domain,
        location(watchers[1]).failure_domain
    );
    assert!(is_first(watchers[0]) && !is_first(watchers[1]));
}

#[test]
fn watch_region_without_nodes() {
    let far = |node: usize| MemberLocation {
        region: "elsewhere".parse().unwrap(),
        ..location(node)
    };
    let members: Vec<MemberLocation> = (0..NODES).map(far).collect();
    let mut watching = 0;
    for node in 0..NODES {
        let mut watch = EndpointWatch::new(far(node), ItemVersion::default());
        watch.handle(at(0), WatchInput::Members(members.clone()));
        watch.handle(at(0), listed(false));
        watching += usize::from(watch.is_watched_by(&endpoint(), &far(node).node));
    }
    assert_eq!(watching, 2);
}

#[test]
fn watch_taken_over() {
    let gone = watchers()[0];
    let live: Vec<MemberLocation> = (0..NODES)
        .filter(|node| *node != gone)
        .map(location)
        .collect();
    let mut watching = 0;
    for node in (0..NODES).filter(|node| *node != gone) {
        let mut watch = watch(node);
        watch.handle(at(10), WatchInput::Members(live.clone()));
        watching += usize::from(watch.is_watched_by(&endpoint(), &location(node).node));
    }
    assert_eq!(watching, 2);
}

#[test]
fn load_leaving_published_at_once() {
    let mut watch = watch(watchers()[1]);
    watch.handle(at(0), response(1, false));
    let effects = watch.handle(at(10), response(1, true));
    assert_eq!(published(&effects)[0].condition, ObservedCondition::Leaving);
    assert_eq!(watch.condition(&endpoint()), EndpointCondition::Leaving);
    // It ends its process: still leaving.
    for round in 0..5 {
        watch.handle(at(1_000 * round), no_response());
    }
    assert_eq!(watch.condition(&endpoint()), EndpointCondition::Leaving);
}

#[test]
fn load_published_within_rate() {
    let mut watch = watch(watchers()[0]);
    let mut count = 0;
    for step in 0..1_000 {
        let effects = watch.handle(at(step * 10), response(step % 64, false));
        count += published(&effects).len();
    }
    assert!((9..=11).contains(&count), "{count} loads told in 10 s");
}

#[test]
fn load_second_watcher_conditions_only() {
    let mut watch = watch(watchers()[1]);
    let mut count = 0;
    for step in 0..100 {
        let effects = watch.handle(at(step * 500), response(step % 64, false));
        count += published(&effects).len();
    }
    assert_eq!(count, 1);
}

#[test]
fn load_one_answer_lost() {
    let mut watch = watch(watchers()[0]);
    watch.handle(at(0), response(1, false));
    watch.handle(at(500), no_response());
    assert_eq!(watch.condition(&endpoint()), EndpointCondition::Live);
    watch.handle(at(1_000), no_response());
    assert_eq!(watch.condition(&endpoint()), EndpointCondition::Suspect);
    watch.handle(at(1_500), response(1, false));
    assert_eq!(watch.condition(&endpoint()), EndpointCondition::Live);
}

#[test_case(&[ObservedCondition::Leaving, ObservedCondition::Live], EndpointCondition::Leaving ; "one says leaving")]
#[test_case(&[ObservedCondition::Suspect, ObservedCondition::Live], EndpointCondition::Live ; "one watcher cut off")]
#[test_case(&[ObservedCondition::Suspect, ObservedCondition::Gone], EndpointCondition::Suspect ; "no answer to both")]
#[test_case(&[], EndpointCondition::Live ; "nothing said")]
fn observed_conditions(conditions: &[ObservedCondition], expected: EndpointCondition) {
    let watchers = watchers();
    let reader = (0..NODES).find(|node| !watchers.contains(node)).unwrap();
    let mut watch = watch(reader);
    for (watcher, condition) in watchers.iter().zip(conditions) {
        watch.handle(at(10), observed(*watcher, *condition));
    }
    assert_eq!(watch.condition(&endpoint()), expected);
}

#[test]
fn observed_from_dead_watcher() {
    let watchers = watchers();
    let reader = (0..NODES).find(|node| !watchers.contains(node)).unwrap();
    let mut watch = watch(reader);
    watch.handle(at(10), observed(watchers[0], ObservedCondition::Suspect));
    assert_eq!(watch.condition(&endpoint()), EndpointCondition::Suspect);
    let live = (0..NODES).filter(|node| *node != watchers[0]);
    watch.handle(at(20), WatchInput::Members(live.map(location).collect()));
    watch.handle(at(30), observed(watchers[1], ObservedCondition::Live));
    assert_eq!(watch.condition(&endpoint()), EndpointCondition::Live);
}

#[test]
fn listed_leaving() {
    let mut watch = watch(0);
    watch.handle(at(10), listed(true));
    assert_eq!(watch.condition(&endpoint()), EndpointCondition::Leaving);
}

#[test]
fn attempt_lost_counts_at_once() {
    let mut watch = watch(0);
    watch.handle(at(10), WatchInput::Attempt(endpoint(), true));
    assert_eq!(watch.condition(&endpoint()), EndpointCondition::Suspect);
    watch.expire(at(1_600));
    assert_eq!(watch.condition(&endpoint()), EndpointCondition::Live);
}
