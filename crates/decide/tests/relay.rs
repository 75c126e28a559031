//! Parts of the relay's decisions: routes, endpoint selection, probes, retry budgets,
//! registry and store source.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use parsleylatch_decide::relay::{
    Backend, ConfigurationError, EndpointEntry, EndpointKey, EndpointOwnership, EndpointTable,
    EngineReport, ListedEntry, LoadSample, NodeLocation, Outcome, ProbeFinding, Registry,
    RelayConfiguration, RelayConfigurationParts, RelayRoute, RelayWorkspace, RemovalLog,
    RepeatPolicy, RetryKind, RetryWindow, RunProgress, SelectionCriteria, Selector, SourceFacts,
    SourceState, StallDetector, StoreSource, receives_full_state, region_readers,
};
use parsleylatch_settings::KeyDigest;
use parsleylatch_types::{
    FailureDomain, Incarnation, Micros, Millis, MonoTime, NodeId, Rank, Region, Revision,
    ServiceName, SlotCount, StoreEra, StorePosition, StreamEventId, TokenCount, Weight,
};
use test_case::test_case;

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(millis)
}

fn service() -> ServiceName {
    "engines".parse().unwrap()
}

/// Entry `number` in a failure domain, with port 1,000 + `number`.
fn entry(number: u16, domain: &str) -> EndpointEntry {
    EndpointEntry {
        key: EndpointKey {
            id: format!("i-{number}").parse().unwrap(),
            incarnation: Incarnation::new(1),
        },
        service: service(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
        failure_domain: domain.parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: SlotCount::new(4),
        is_leaving: false,
    }
}

fn regions() -> HashMap<FailureDomain, Region> {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let parsed = regions.map(|(domain, region)| (domain.parse().unwrap(), region.parse().unwrap()));
    parsed.into()
}

/// Applies a listing to a table; the endpoints are assigned to `nodes`.
fn list(
    table: &mut EndpointTable,
    now: MonoTime,
    entries: &[EndpointEntry],
    own: &str,
    nodes: Vec<NodeLocation>,
) {
    let entries: Vec<Arc<EndpointEntry>> = entries.iter().cloned().map(Arc::new).collect();
    let ownership = EndpointOwnership {
        own: &own.parse().unwrap(),
        nodes: &nodes.into(),
        regions: &regions(),
    };
    table.update(now, entries.iter(), ownership);
}

/// Node without a known region.
fn node(id: &str) -> NodeLocation {
    NodeLocation {
        id: id.parse().unwrap(),
        region: None,
        failure_domain: None,
    }
}

fn table_of(entries: &[EndpointEntry], own: &str, nodes: &[&str]) -> EndpointTable {
    let mut table = EndpointTable::new();
    let nodes = nodes.iter().map(|id| node(id)).collect();
    list(&mut table, at(0), entries, own, nodes);
    table
}

fn selector() -> Selector {
    Selector::new("a".parse().unwrap(), "north".parse().unwrap(), regions(), 7)
}

fn criteria<'a>(
    service: &'a ServiceName,
    excluded: &'a [EndpointKey],
    prompt: u32,
) -> SelectionCriteria<'a> {
    SelectionCriteria {
        service,
        excluded,
        copy: None,
        prompt_holder: None,
        prompt: TokenCount::new(prompt),
        with_backup: prompt > 0,
        version: None,
    }
}

fn route(name: &str, prefix: &str) -> RelayRoute {
    RelayRoute {
        name: name.parse().unwrap(),
        host: "A.example".into(),
        path_prefix: prefix.into(),
        repeat: RepeatPolicy::Idempotent,
        timeout_ms: Millis::new(800),
        goal_ms: Millis::new(150),
        gap_goal_ms: None,
        rank: Rank::new(1),
        attempts: 2,
        is_public: false,
        backends: vec![Backend {
            service: service(),
            weight: Weight::new(1),
        }],
    }
}

fn configuration(routes: Vec<RelayRoute>) -> Result<RelayConfiguration, ConfigurationError> {
    let workspace = RelayWorkspace {
        id: "union-1".parse().unwrap(),
        rank: None,
    };
    let parts = RelayConfigurationParts {
        version: 3,
        routes,
        workspaces: Some(vec![(workspace, vec![KeyDigest::of_key("key-1")])]),
        ..RelayConfigurationParts::default()
    };
    RelayConfiguration::build(Revision::new(9), parts)
}

#[test_case("a.example", "/x/1", Some("outer") ; "shorter prefix")]
#[test_case("a.example", "/x/y/1", Some("inner") ; "longest prefix")]
#[test_case("a.example", "/x/y", Some("outer") ; "prefix without its last slash")]
#[test_case("a.example", "/xy/1", None ; "no prefix")]
#[test_case("b.example", "/x/1", None ; "another host")]
fn find_route(host: &str, path: &str, name: Option<&str>) {
    let built = configuration(vec![route("outer", "/x/"), route("inner", "/x/y/")]).unwrap();
    let found = built.route(host, path);
    assert_eq!(found.map(|it| it.name.as_str()), name);
}

#[test]
fn find_workspace_by_key() {
    let built = configuration(Vec::new()).unwrap();
    assert_eq!(built.workspace("key-1").unwrap().id.as_str(), "union-1");
    assert!(built.workspace("key-2").is_none());
}

#[test_case("x/" ; "no first slash")]
#[test_case("/x" ; "no last slash")]
fn build_invalid_prefix(prefix: &str) {
    let error = configuration(vec![route("r", prefix)]).unwrap_err();
    assert!(matches!(error, ConfigurationError::PathPrefix { .. }));
}

#[test]
fn build_without_backend() {
    let mut without_backend = route("r", "/x/");
    without_backend.backends.clear();
    assert!(matches!(
        configuration(vec![without_backend]),
        Err(ConfigurationError::NoBackend(_))
    ));
}

/// Every engine is assigned to exactly one node, so nodes do not select the same one.
#[test]
fn select_own_engines() {
    let entries: Vec<EndpointEntry> = (0..36).map(|number| entry(number, "a")).collect();
    let nodes = ["n1", "n2", "n3"];
    let service = service();
    let mut selected = Vec::new();
    for own in nodes {
        let mut table = table_of(&entries, own, &nodes);
        let mut selector = selector();
        let mut chosen = Vec::new();
        for _ in 0..4 {
            let choice = selector.select(at(0), &table, &criteria(&service, &[], 5_000));
            let key = choice.unwrap().endpoint.key.clone();
            table.record_start(&key, TokenCount::new(5_000));
            chosen.push(key);
        }
        selected.extend(chosen);
    }
    let count = selected.len();
    selected.sort();
    selected.dedup();
    assert_eq!(selected.len(), count, "two nodes chose the same engine");
}

/// Engines are assigned within their region, so that prompts stay there.
#[test]
fn select_own_region() {
    let domains = ["a", "c"];
    let entries: Vec<EndpointEntry> = (0..36)
        .map(|number| entry(number, domains[usize::from(number % 2)]))
        .collect();
    let nodes = node_locations(&[("north", 3), ("south", 3)]);
    let service = service();
    for own in ["north-0", "north-1", "north-2"] {
        let mut table = EndpointTable::new();
        list(&mut table, at(0), &entries, own, nodes.clone());
        let mut selector = selector();
        for _ in 0..4 {
            let choice = selector.select(at(0), &table, &criteria(&service, &[], 5_000));
            let endpoint = choice.unwrap().endpoint;
            assert_eq!(endpoint.failure_domain.as_str(), "a", "{own}");
            table.record_start(&endpoint.key, TokenCount::new(5_000));
        }
    }
}

/// Engines of a region without nodes are assigned to the nodes of other regions.
#[test]
fn select_region_without_nodes() {
    let entries: Vec<EndpointEntry> = (0..6).map(|number| entry(number, "c")).collect();
    let nodes = node_locations(&[("north", 2)]);
    let service = service();
    let mut selected = Vec::new();
    for own in ["north-0", "north-1"] {
        let mut table = EndpointTable::new();
        list(&mut table, at(0), &entries, own, nodes.clone());
        let choice = selector().select(at(0), &table, &criteria(&service, &[], 5_000));
        selected.push(choice.unwrap().endpoint.key.clone());
    }
    assert_ne!(selected[0], selected[1]);
}

/// An engine that has the prompt is preferred by the time that reading it would take.
#[test_case(2, 0 ; "busy")]
#[test_case(12, 1 ; "too busy")]
fn select_prompt_holder(streams: usize, expected: usize) {
    let entries = [entry(1, "a"), entry(2, "a")];
    let mut table = table_of(&entries, "n1", &["n1"]);
    for _ in 0..streams {
        table.record_start(&entries[0].key, TokenCount::ZERO);
    }
    let service = service();
    let with_holder = SelectionCriteria {
        prompt_holder: Some(&entries[0].key),
        ..criteria(&service, &[], 5_000)
    };
    let choice = selector().select(at(0), &table, &with_holder).unwrap();
    assert_eq!(choice.endpoint.key, entries[expected].key);
}

/// A prompt's holder has just answered, so failures of other endpoints in its failure
/// domain do not count against it.
#[test]
fn select_prompt_holder_in_broken_domain() {
    let entries = [entry(1, "a"), entry(2, "a"), entry(3, "a"), entry(4, "b")];
    let mut table = table_of(&entries, "n1", &["n1"]);
    table.record_outcome(at(100), &entries[1].key, Outcome::Broken);
    table.record_outcome(at(110), &entries[2].key, Outcome::Broken);
    let service = service();
    let with_holder = SelectionCriteria {
        prompt_holder: Some(&entries[0].key),
        ..criteria(&service, &[], 5_000)
    };
    let choice = selector().select(at(200), &table, &with_holder).unwrap();
    assert_eq!(choice.endpoint.key, entries[0].key);
}

#[test]
fn select_backup_elsewhere() {
    let entries = [entry(1, "a"), entry(2, "a"), entry(3, "b")];
    let table = table_of(&entries, "n1", &["n1"]);
    let service = service();
    for _ in 0..20 {
        let choice = selector()
            .select(at(0), &table, &criteria(&service, &[], 5_000))
            .unwrap();
        let backup = choice.backup.unwrap();
        assert_ne!(backup.failure_domain, choice.endpoint.failure_domain);
    }
}

/// Copies from one node are spread over several engines.
#[test]
fn select_backup_spread() {
    let mut entries = vec![entry(0, "a")];
    entries.extend((1..=10).map(|number| entry(number, "b")));
    let mut table = table_of(&entries, "n1", &["n1"]);
    let mut selector = selector();
    let mut counts: HashMap<EndpointKey, u32> = HashMap::new();
    for _ in 0..20 {
        let excluded = [entries[0].key.clone()];
        let backup = selector
            .select_backup(at(0), &table, &entries[0], &excluded)
            .unwrap();
        table.record_copy(&backup.key);
        *counts.entry(backup.key.clone()).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count <= 4), "{counts:?}");
}

#[test_case(Outcome::Broken ; "broken")]
#[test_case(Outcome::Unreachable ; "unreachable")]
fn select_after_failure(outcome: Outcome) {
    let entries = [entry(1, "a"), entry(2, "b")];
    let mut table = table_of(&entries, "n1", &["n1"]);
    let service = service();
    table.record_outcome(at(0), &entries[0].key, outcome);
    let early = selector()
        .select(at(100), &table, &criteria(&service, &[], 0))
        .unwrap();
    assert_eq!(early.endpoint.key, entries[1].key);
    let later = selector()
        .select(at(20_000), &table, &criteria(&service, &[], 0))
        .unwrap();
    assert_eq!(later.endpoint.key, entries[0].key);
}

/// Two endpoints that fail together suspend their whole failure domain.
#[test]
fn select_after_domain_failure() {
    let entries = [entry(1, "a"), entry(2, "a"), entry(3, "a"), entry(4, "c")];
    let mut table = table_of(&entries, "n1", &["n1"]);
    let service = service();
    table.record_outcome(at(0), &entries[0].key, Outcome::Broken);
    assert!(!table.is_suspended(at(50), &entries[2].key));
    table.record_outcome(at(100), &entries[1].key, Outcome::Broken);
    assert!(table.is_suspended(at(150), &entries[2].key));
    let choice = selector()
        .select(at(150), &table, &criteria(&service, &[], 0))
        .unwrap();
    assert_eq!(choice.endpoint.key, entries[3].key);
}

/// After a failure of its domain, an endpoint is only a last resort until it shows a
/// sign of life, because its entry may outlive its process.
#[test]
fn select_after_domain_failure_without_sign_of_life() {
    let mut entries = vec![entry(1, "a"), entry(2, "a"), entry(3, "a"), entry(4, "c")];
    let mut table = table_of(&entries, "n1", &["n1"]);
    let service = service();
    table.record_outcome(at(100), &entries[0].key, Outcome::Replaced);
    table.record_outcome(at(150), &entries[1].key, Outcome::Replaced);
    let choice = selector()
        .select(at(5_000), &table, &criteria(&service, &[], 0))
        .unwrap();
    assert_eq!(choice.endpoint.key, entries[3].key);
    // An endpoint first listed after the failure is trusted.
    entries.push(entry(5, "a"));
    list(&mut table, at(5_100), &entries, "n1", Vec::new());
    let choice = selector()
        .select(at(5_200), &table, &criteria(&service, &[], 0))
        .unwrap();
    assert_eq!(choice.endpoint.key, entries[4].key);
}

#[test]
fn select_all_excluded() {
    let entries = [entry(1, "a")];
    let table = table_of(&entries, "n1", &["n1"]);
    let excluded = [entries[0].key.clone()];
    let service = service();
    let criteria = criteria(&service, &excluded, 0);
    assert!(selector().select(at(0), &table, &criteria).is_none());
}

/// A suspended endpoint is still an alternative, one that is leaving is not. No request leaves
/// an attempt for a suspended one by its own decision.
#[test_case(false, true ; "suspended")]
#[test_case(true, false ; "leaving")]
fn alternative_eligible(is_leaving: bool, expected: bool) {
    let mut other = entry(2, "b");
    other.is_leaving = is_leaving;
    let entries = [entry(1, "a"), other];
    let mut table = table_of(&entries, "n1", &["n1"]);
    table.record_outcome(at(0), &entries[1].key, Outcome::Broken);
    let excluded = [entries[0].key.clone()];
    let service = service();
    let criteria = criteria(&service, &excluded, 0);
    let selected = selector().select(at(0), &table, &criteria);
    assert_eq!(selected.is_some(), expected);
    assert!(table.has_failed_recently(at(999), &entries[1].key));
    assert!(!table.has_failed_recently(at(1_000), &entries[1].key));
    assert!(!table.has_failed_recently(at(0), &entries[0].key));
}

/// An endpoint that goes on after a silence is used again at once.
#[test]
fn sign_of_life_ends_suspension() {
    let entries = [entry(1, "a"), entry(2, "b")];
    let mut table = table_of(&entries, "n1", &["n1"]);
    table.record_outcome(at(0), &entries[0].key, Outcome::Broken);
    assert!(table.is_suspended(at(100), &entries[0].key));
    table.record_sign_of_life(at(100), &entries[0].key);
    assert!(!table.is_suspended(at(100), &entries[0].key));
}

/// An entry whose address belongs to a newer process is unusable.
#[test]
fn superseded_entry_unusable() {
    let old = entry(1, "a");
    let mut new = entry(2, "a");
    new.address = old.address;
    new.key.incarnation = Incarnation::new(2);
    let table = table_of(&[old.clone(), new.clone()], "n1", &["n1"]);
    assert!(!table.is_usable(&old.key));
    assert!(table.is_usable(&new.key));
}

#[test]
fn replaced_endpoint_unusable() {
    let one = entry(1, "a");
    let mut table = table_of(std::slice::from_ref(&one), "n1", &["n1"]);
    table.record_outcome(at(0), &one.key, Outcome::Replaced);
    assert!(!table.is_usable(&one.key));
}

/// Statistics of an incarnation do not carry over to the next one.
#[test]
fn restarted_endpoint_not_suspended() {
    let old = entry(1, "a");
    let mut table = table_of(std::slice::from_ref(&old), "n1", &["n1"]);
    table.record_outcome(at(0), &old.key, Outcome::Broken);
    let mut new = old.clone();
    new.key.incarnation = Incarnation::new(2);
    list(
        &mut table,
        at(1),
        std::slice::from_ref(&new),
        "n1",
        Vec::new(),
    );
    assert!(!table.is_suspended(at(1), &new.key));
    assert!(!table.is_usable(&old.key));
}

#[test]
fn occupancy_own_and_reported() {
    let one = entry(1, "a");
    let mut table = table_of(std::slice::from_ref(&one), "n1", &["n1"]);
    table.record_start(&one.key, TokenCount::ZERO);
    assert_eq!(table.occupancy(at(0), &service()), (1, 4));
    let load = LoadSample {
        running: 3,
        waiting: 2,
        ..LoadSample::default()
    };
    table.record_load(at(0), &one.key, load);
    assert_eq!(table.occupancy(at(100), &service()), (5, 4));
    assert_eq!(table.occupancy(at(5_000), &service()), (1, 4));
    table.record_end(&one.key);
    assert_eq!(table.occupancy(at(5_000), &service()), (0, 4));
}

fn report(running: u32, waiting: u32, events: Option<u64>) -> EngineReport {
    let runs = events.map(|events| RunProgress {
        id: "s1".into(),
        events,
    });
    EngineReport {
        running,
        waiting,
        runs: runs.into_iter().collect(),
        ..EngineReport::default()
    }
}

#[test_case(&report(1, 0, Some(5)), 2_000, ProbeFinding::Present ; "as far as received")]
#[test_case(&report(1, 0, Some(7)), 2_000, ProbeFinding::Present ; "events in transit")]
#[test_case(&report(1, 0, Some(8)), 2_000, ProbeFinding::Undelivered ; "undelivered events")]
#[test_case(&report(1, 0, None), 2_000, ProbeFinding::Present ; "unlisted request with prompt being read")]
#[test_case(&report(0, 1, None), 2_000, ProbeFinding::Present ; "unlisted queued request")]
#[test_case(&report(0, 0, None), 2_000, ProbeFinding::Missing ; "no requests")]
#[test_case(&report(0, 0, None), 500, ProbeFinding::TooEarly ; "report may be older than the request")]
fn find_request(report: &EngineReport, sent_for_ms: u64, finding: ProbeFinding) {
    let found = report.find_request("s1", Some(StreamEventId::new(5)), Millis::new(sent_for_ms));
    assert_eq!(found, finding);
}

// 100 requests x 0.8 x 0.85 plus a share of 90 x 0.8; plain retries may use 60% of it.
#[test_case(9, RetryKind::Resumption, 68 + 8 ; "few nodes")]
#[test_case(9, RetryKind::Plain, 45 ; "few nodes, plain")]
#[test_case(40, RetryKind::Resumption, 68 + 4 ; "many nodes, floor")]
#[test_case(40, RetryKind::Plain, 41 ; "many nodes, plain")]
#[test_case(400, RetryKind::Resumption, 68 ; "more nodes than twice the slack")]
fn retry_window_bounded(nodes: usize, kind: RetryKind, allowed: usize) {
    let mut window = RetryWindow::new(Millis::new(10_000), 80, 90);
    for request in 0..100 {
        window.record_request(at(request));
    }
    let taken = (0..200)
        .filter(|_| window.try_take_retry(at(100), nodes, kind))
        .count();
    assert_eq!(taken, allowed);
    assert!(!window.try_take_retry(at(9_000), nodes, kind));
}

/// A stream can be resumed after plain retries have used up their share.
#[test]
fn retry_window_resumption_after_plain() {
    let mut window = RetryWindow::new(Millis::new(10_000), 80, 90);
    while window.try_take_retry(at(0), 9, RetryKind::Plain) {}
    assert!(window.try_take_retry(at(1), 9, RetryKind::Resumption));
    assert!(window.try_take_retry(at(20_000), 9, RetryKind::Plain));
}

#[test]
fn stall_timeout_bounded() {
    let goal = Some(Millis::new(700));
    let mut detector = StallDetector::default();
    assert_eq!(detector.stall_timeout(goal), Millis::new(350));
    for event in 0..20 {
        detector.record_event(at(event * 30));
    }
    assert_eq!(detector.stall_timeout(goal), Millis::new(280));
    for event in 0..40 {
        detector.record_event(at(1_000 + event * 230));
    }
    assert_eq!(detector.stall_timeout(goal), Millis::new(350));
}

fn registry_of(numbers: &[u16]) -> Vec<ListedEntry> {
    let listed = numbers.iter().map(|number| listed(entry(*number, "a")));
    listed.collect()
}

fn listed(entry: EndpointEntry) -> ListedEntry {
    ListedEntry {
        entry,
        sequence: None,
        is_rewritten: false,
    }
}

fn position(revision: u64) -> StorePosition {
    StorePosition::new(StoreEra::ZERO, Revision::new(revision))
}

#[test]
fn registry_missing_removed() {
    let mut registry = Registry::new();
    registry.apply(at(0), position(1), registry_of(&[1, 2]));
    let change = registry
        .apply(at(1_000), position(2), registry_of(&[2]))
        .unwrap();
    assert_eq!(change.removed, [entry(1, "a").key.id]);
    assert_eq!(registry.entries().count(), 1);
}

/// Entries missing right after an outage are held, and removed after the grace period.
#[test]
fn registry_missing_after_outage() {
    let mut registry = Registry::new();
    registry.apply(at(0), position(1), registry_of(&[1, 2]));
    registry.record_failure(at(1_000));
    let change = registry
        .apply(at(5_000), position(2), registry_of(&[2]))
        .unwrap();
    assert_eq!((change.held.len(), change.removed.len()), (1, 0));
    let change = registry
        .apply(at(7_100), position(2), registry_of(&[2]))
        .unwrap();
    assert_eq!((change.held.len(), change.removed.len()), (0, 1));
}

/// An endpoint that was leaving is not held after an outage.
#[test]
fn registry_leaving_after_outage() {
    let mut registry = Registry::new();
    let mut leaving = entry(1, "a");
    leaving.is_leaving = true;
    registry.apply(at(0), position(1), vec![listed(leaving)]);
    registry.record_failure(at(1_000));
    let change = registry.apply(at(5_000), position(2), Vec::new()).unwrap();
    assert_eq!((change.held.len(), change.removed.len()), (0, 1));
}

#[test]
fn registry_older_ignored() {
    let mut registry = Registry::new();
    registry.apply(at(0), position(5), registry_of(&[1]));
    assert_eq!(registry.apply(at(10), position(4), Vec::new()), None);
    assert_eq!(registry.entries().count(), 1);
}

fn node_locations(counts: &[(&str, usize)]) -> Vec<NodeLocation> {
    let mut node_locations = Vec::new();
    for (region, count) in counts {
        node_locations.extend((0..*count).map(|number| NodeLocation {
            id: format!("{region}-{number}").parse().unwrap(),
            region: Some(region.parse().unwrap()),
            failure_domain: None,
        }));
    }
    node_locations
}

#[test_case(&[("east", 9)], None ; "small")]
#[test_case(&[("east", 24)], None ; "largest with only readers")]
#[test_case(&[("east", 20), ("west", 20)], Some(3) ; "large")]
#[test_case(&[("east", 2), ("west", 200)], Some(2) ; "few nodes in region")]
fn region_readers_count(counts: &[(&str, usize)], expected: Option<usize>) {
    let nodes = node_locations(counts);
    let readers = region_readers(&nodes, &"east".parse().unwrap());
    assert_eq!(readers.as_ref().map(Vec::len), expected);
    let mut found = readers.into_iter().flatten();
    assert!(found.all(|id| id.as_str().starts_with("east")));
}

/// Removing a node replaces at most one reader.
#[test]
fn region_readers_stable() {
    let mut nodes = node_locations(&[("east", 40)]);
    let region: Region = "east".parse().unwrap();
    let before: Vec<NodeId> = region_readers(&nodes, &region)
        .unwrap()
        .into_iter()
        .cloned()
        .collect();
    nodes.retain(|node| node.id != before[0]);
    let after = region_readers(&nodes, &region).unwrap();
    assert!(after.contains(&&before[1]) && after.contains(&&before[2]));
}

#[test]
fn removal_log_since_revision() {
    let mut log = RemovalLog::default();
    log.restart(position(10));
    log.record(position(12), "a");
    log.record(position(15), "b");
    let since = |revision| -> Option<Vec<String>> {
        Some(log.since(position(revision))?.map(str::to_owned).collect())
    };
    assert_eq!(since(9), None);
    assert_eq!(since(10), Some(vec!["a".to_owned(), "b".to_owned()]));
    assert_eq!(since(12), Some(vec!["b".to_owned()]));
    assert_eq!(since(15), Some(Vec::new()));
}

#[test_case(&[("east", 9), ("west", 9)], "west-5", "west", 0.5, true ; "small deployment")]
#[test_case(&[("east", 50), ("west", 50)], "east-5", "east", 0.5, true ; "own region")]
#[test_case(&[("east", 50), ("west", 50)], "west-new", "west", 0.5, false ; "remote")]
#[test_case(&[("east", 50), ("west", 50)], "west-new", "west", 0.01, true ; "remote and drawn")]
fn full_state_recipients(
    counts: &[(&str, usize)],
    requester: &str,
    region: &str,
    random: f64,
    expected: bool,
) {
    let requester: NodeId = requester.parse().unwrap();
    let is_full_state = receives_full_state(
        &node_locations(counts),
        &"east".parse().unwrap(),
        (&requester, &region.parse().unwrap()),
        random,
    );
    assert_eq!(is_full_state, expected);
}

/// Readers of another region receive the full state.
#[test]
fn full_state_remote_reader() {
    let nodes = node_locations(&[("east", 50), ("west", 50)]);
    let (east, west) = ("east".parse().unwrap(), "west".parse().unwrap());
    let readers = region_readers(&nodes, &west).unwrap();
    for reader in readers {
        assert!(receives_full_state(&nodes, &east, (reader, &west), 0.5));
    }
}

/// A full log drops its oldest removals and reports that it no longer reaches back.
#[test]
fn removal_log_bounded() {
    let mut log = RemovalLog::default();
    for revision in 1..=5_000 {
        log.record(position(revision), "a");
    }
    assert!(log.since(StorePosition::ZERO).is_none());
    assert_eq!(log.since(position(4_999)).unwrap().count(), 1);
}

fn facts(is_reader: bool, is_initialized: bool, silence_ms: u64, random: f64) -> SourceFacts {
    SourceFacts {
        is_reader,
        is_initialized,
        nodes: 300,
        region_nodes: 100,
        silence: Millis::new(silence_ms).micros(),
        change_bound: Millis::new(4_000),
        random,
    }
}

#[test_case(facts(true, true, 9_000, 0.5), SourceState::Reading ; "reader")]
#[test_case(facts(false, true, 200, 0.0), SourceState::Asking ; "recent response")]
#[test_case(facts(false, true, 1_600, 0.5), SourceState::Asking ; "no response and not drawn")]
#[test_case(facts(false, true, 1_600, 0.0), SourceState::SteppedIn ; "no response and drawn")]
#[test_case(facts(false, false, 1_600, 0.0), SourceState::Asking ; "first response not yet due")]
#[test_case(facts(false, false, 4_100, 0.01), SourceState::Asking ; "no first response and not drawn")]
#[test_case(facts(false, false, 4_100, 0.001), SourceState::SteppedIn ; "no first response and drawn")]
#[test_case(SourceFacts { nodes: 70, ..facts(false, false, 0, 0.5) }, SourceState::Reading ; "starting")]
fn store_source_update(facts: SourceFacts, expected: SourceState) {
    let mut source = StoreSource::start(at(0));
    source.update(
        at(1),
        SourceFacts {
            silence: Micros::ZERO,
            is_reader: false,
            is_initialized: true,
            ..facts
        },
    );
    assert_eq!(source.state(), SourceState::Asking);
    source.update(at(2), facts);
    assert_eq!(source.state(), expected);
}

/// A node whose peers have all lost power asked them until it was drawn, after 12 s in the end.
/// It reads the store early enough to see a change within the bound, which leaves a round of
/// evaluations and a call that times out.
#[test_case(2_500, 500 ; "short bound")]
#[test_case(4_000, 1_200 ; "long bound")]
fn store_source_never_drawn_reads_within_bound(change_bound_ms: u64, reserve_ms: u64) {
    let mut source = StoreSource::start(at(0));
    source.update(at(0), facts(false, true, 0, 0.99));
    assert_eq!(source.state(), SourceState::Asking);
    let silent_ms = (300..=change_bound_ms - reserve_ms).step_by(300);
    for silence_ms in silent_ms {
        let change_bound = Millis::new(change_bound_ms);
        let facts = SourceFacts {
            change_bound,
            ..facts(false, true, silence_ms, 0.99)
        };
        source.update(at(silence_ms), facts);
    }
    assert_eq!(source.state(), SourceState::SteppedIn);
}

/// A node that stepped in reads the store until a reader responds, whatever the random
/// number.
#[test]
fn store_source_stepped_in_until_response() {
    let mut source = StoreSource::start(at(0));
    source.update(at(1), facts(false, true, 1_600, 0.0));
    source.update(at(2), facts(false, true, 1_900, 0.9));
    assert!(source.reads_store());
    source.update(at(3), facts(false, true, 100, 0.0));
    assert!(!source.reads_store());
}
