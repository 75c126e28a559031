//! Endpoints that requests are bound to, and their assignment to nodes.

use std::{collections::HashMap, sync::Arc};

use parsleylatch_decide::relay::{
    Border, CopySource, CrossingCosts, EndpointEntry, EndpointKey, EndpointOwnership,
    EndpointTable, LoadSample, MemoryCopy, NodeLocation, Outcome, SelectionCriteria, Selector,
};
use parsleylatch_types::{
    FailureDomain, Incarnation, Micros, Millis, MonoTime, Region, ServiceName, SlotCount,
    TokenCount,
};
use test_case::test_case;

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(millis)
}

fn service() -> ServiceName {
    "engines".parse().unwrap()
}

fn regions() -> HashMap<FailureDomain, Region> {
    let regions = [("a", "north"), ("b", "north"), ("c", "south")];
    let parsed = regions.map(|(domain, region)| (domain.parse().unwrap(), region.parse().unwrap()));
    parsed.into()
}

fn entry(number: u16, domain: &str) -> Arc<EndpointEntry> {
    Arc::new(EndpointEntry {
        key: EndpointKey {
            id: format!("i-{number}").parse().unwrap(),
            incarnation: Incarnation::new(1),
        },
        service: service(),
        address: ([127, 0, 0, 1], 1_000 + number).into(),
        failure_domain: domain.parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: SlotCount::new(4),
        is_leaving: false,
    })
}

fn node(id: &str, domain: &str) -> NodeLocation {
    let domain: FailureDomain = domain.parse().unwrap();
    NodeLocation {
        id: id.parse().unwrap(),
        region: regions().get(&domain).cloned(),
        failure_domain: Some(domain),
    }
}

/// Endpoints that the node `own` of domain `a` knows; each has reported an idle state.
struct Known {
    entries: Vec<Arc<EndpointEntry>>,
    table: EndpointTable,
    selector: Selector,
}

fn known(domains: &[&str], nodes: &[NodeLocation], own: &str) -> Known {
    let numbered = domains.iter().zip(0..);
    let entries: Vec<_> = numbered.map(|(domain, it)| entry(it, domain)).collect();
    let mut table = EndpointTable::new();
    let ownership = EndpointOwnership {
        own: &own.parse().unwrap(),
        nodes: &nodes.into(),
        regions: &regions(),
    };
    table.update(at(0), entries.iter(), ownership);
    for entry in &entries {
        let load = LoadSample {
            running: 0,
            waiting: 0,
            ..LoadSample::default()
        };
        table.record_load(at(0), &entry.key, load);
    }
    let own_domain = nodes.iter().find(|it| it.id.as_str() == own).unwrap();
    let mut selector = Selector::new(
        own_domain.failure_domain.clone().unwrap(),
        own_domain.region.clone().unwrap(),
        regions(),
        7,
    );
    selector.set_locality(Some(CrossingCosts::default()));
    Known {
        entries,
        table,
        selector,
    }
}

impl Known {
    /// Domains of the endpoints of 50 streams.
    fn domains(
        &mut self,
        excluded: &[EndpointKey],
        prompt_holder: Option<&EndpointKey>,
    ) -> Vec<String> {
        let service = service();
        let criteria = SelectionCriteria {
            service: &service,
            excluded,
            copy: None,
            prompt_holder,
            prompt: TokenCount::new(5_000),
            with_backup: false,
            version: None,
        };
        let mut select = || self.selector.select(at(10), &self.table, &criteria);
        let chosen = (0..50).map(|_| select().unwrap().endpoint.failure_domain.to_string());
        chosen.collect()
    }
}

/// The engines of a domain belong to nodes of the domain, so that each node's preferred ones
/// lie in its own. Without the failure domains of nodes they belong to nodes of the region.
#[test_case("a", "b", true ; "domain_with_nodes")]
#[test_case("b", "a", true ; "other_domain_with_nodes")]
fn owns_own_domain(endpoints: &str, other: &str, is_chosen: bool) {
    let nodes: Vec<_> = (0..8)
        .map(|it| node(&format!("n-{it}"), if it % 2 == 0 { "a" } else { "b" }))
        .collect();
    for number in 0..8 {
        let own = format!("n-{number}");
        let own_domain = if number % 2 == 0 { "a" } else { "b" };
        // A node of another domain prefers none of these engines: their costs differ by the
        // assignment, which is larger than the jitter of a stream.
        let mut known = known(&[endpoints, other], &nodes, &own);
        let chosen = known.domains(&[], None);
        let is_own = chosen.iter().all(|it| it == own_domain);
        assert_eq!(is_own, is_chosen, "{own}: {chosen:?}");
    }
}

/// A domain without nodes has its engines assigned in its region.
#[test]
fn owns_domain_without_nodes() {
    let nodes = [node("n-0", "a"), node("n-1", "c")];
    let mut near = known(&["b", "c"], &nodes, "n-0");
    // Domain `a` has no engine, so the node uses those of its region.
    assert!(near.domains(&[], None).iter().all(|it| it == "b"));
}

/// A bound request never waits for its domain: without a usable or open endpoint there it goes
/// elsewhere at once.
#[test_case("no_endpoint" ; "no_endpoint")]
#[test_case("suspended" ; "suspended")]
#[test_case("excluded" ; "excluded")]
fn select_domain_unusable(case: &str) {
    let domains: &[&str] = match case {
        "no_endpoint" => &["b", "b", "c"],
        _ => &["a", "b", "c"],
    };
    let mut known = known(domains, &[node("n-0", "a"), node("n-1", "b")], "n-0");
    let first = known.entries[0].key.clone();
    if case == "suspended" {
        known
            .table
            .record_outcome(at(5), &first, Outcome::Unreachable);
    }
    let excluded: Vec<_> = (case == "excluded").then_some(first).into_iter().collect();
    let chosen = known.domains(&excluded, None);
    assert!(chosen.iter().all(|it| it != "a"), "{chosen:?}");
}

/// Streams leave a domain whose engines run so many that they would be late, and no other.
#[test_case(1, 0, 0 ; "engines_with_room")]
#[test_case(14, 2, 30 ; "engines_loaded")]
fn select_streams_by_load(running: u32, waiting: u32, least: usize) {
    let nodes = [node("n-0", "a"), node("n-1", "b")];
    let mut known = known(&["a", "a", "b", "b"], &nodes, "n-0");
    let service = service();
    let mut left = 0;
    for step in 1..=100 {
        let now = at(step * 200);
        for entry in &known.entries {
            let is_own = entry.failure_domain.to_string() == "a";
            let load = LoadSample {
                running: if is_own { running } else { 0 },
                waiting: if is_own { waiting } else { 0 },
                ..LoadSample::default()
            };
            known.table.record_load(now, &entry.key, load);
        }
        let locality = known.selector.locality_mut().unwrap();
        locality.record_demand(&service, Millis::new(10_000).micros());
        let criteria = SelectionCriteria {
            service: &service,
            excluded: &[],
            copy: None,
            prompt_holder: None,
            prompt: TokenCount::new(5_000),
            with_backup: false,
            version: None,
        };
        let choice = known.selector.select(now, &known.table, &criteria);
        let domain = choice.unwrap().endpoint.failure_domain.clone();
        left += usize::from(domain.to_string() == "b");
    }
    match least {
        0 => assert_eq!(left, 0),
        _ => assert!(left >= least, "{left} of 100"),
    }
}

/// A stream whose prompt has been read elsewhere isn't bound.
#[test]
fn select_prompt_elsewhere() {
    let mut known = known(&["a", "b"], &[node("n-0", "a"), node("n-1", "b")], "n-0");
    let holder = known.entries[1].key.clone();
    known
        .table
        .record_start(&known.entries[0].key, TokenCount::new(5_000));
    let chosen = known.domains(&[], Some(&holder));
    assert!(chosen.iter().all(|it| it == "b"), "{chosen:?}");
}

/// A stream with a copy elsewhere resumes there.
#[test]
fn select_copy_elsewhere() {
    let mut known = known(&["a", "b"], &[node("n-0", "a"), node("n-1", "b")], "n-0");
    let service = service();
    let copy = MemoryCopy {
        holder: known.entries[1].key.clone(),
        source: CopySource::Backup,
    };
    let criteria = SelectionCriteria {
        service: &service,
        excluded: &[],
        copy: Some(&copy),
        prompt_holder: None,
        prompt: TokenCount::new(5_000),
        with_backup: false,
        version: None,
    };
    let choice = known.selector.select(at(10), &known.table, &criteria);
    assert_eq!(choice.unwrap().endpoint.key, copy.holder);
}

/// Round trips and costs decide without settings, and nothing is bound.
#[test]
fn select_locality_off() {
    let mut known = known(&["a", "b"], &[node("n-0", "a"), node("n-1", "b")], "n-0");
    known.selector.set_locality(None);
    let own = known.entries[0].key.clone();
    for _ in 0..5 {
        known.table.record_start(&own, TokenCount::new(5_000));
    }
    let chosen = known.domains(&[], None);
    assert!(chosen.iter().all(|it| it == "b"), "{chosen:?}");
    assert!(known.selector.locality().is_none());
}

/// Bytes over a border add to the cost of an endpoint behind it.
#[test]
fn crossing_cost_by_bytes() {
    let known = known(&["a", "b"], &[node("n-0", "a")], "n-0");
    let mut selector = known.selector;
    selector.set_locality(Some(CrossingCosts {
        domain: "200us/kB".parse().unwrap(),
        region: "1000us/kB".parse().unwrap(),
    }));
    let locality = selector.locality_mut().unwrap();
    locality.record_transfer(&service(), "20000B".parse().unwrap());
    let cost = |border| locality.crossing_cost(&service(), border);
    assert_eq!(cost(Border::Domain), Micros::new(4_000));
    assert_eq!(cost(Border::Region), Micros::new(20_000));
}
