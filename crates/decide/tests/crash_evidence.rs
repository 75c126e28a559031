//! Prompt parts that crash endpoints, and crashes of other causes.

use std::collections::BTreeSet;

use parsleylatch_decide::relay::{
    CrashEvidence, EndpointKey, PartDecision, PromptChain, PromptPartState,
};
use parsleylatch_types::{Incarnation, Millis, MonoTime, PromptPartId, Seed};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use test_case::test_case;

/// Time in which a deadly part has to be known everywhere, set by the operators.
const STABLE_MS: u64 = 4_000;
/// Interval between a node's queries, and the nodes that each round queries.
const POLL_INTERVAL_MS: u64 = 300;
const POLLED_PEERS: usize = 2;
/// Interval at which the simulated nodes handle their deadlines.
const EXPIRY_INTERVAL_MS: u64 = 10;
/// Transit time of a message between regions.
const TRANSIT_MS: u64 = 12;

fn at(ms: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(ms)
}

fn endpoint(number: usize) -> EndpointKey {
    incarnation(number, 1)
}

fn incarnation(number: usize, incarnation: u64) -> EndpointKey {
    EndpointKey {
        id: format!("i-{number}").parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
    }
}

fn part(text: &str) -> PromptPartId {
    text.parse().unwrap()
}

fn prompt(shared: &[&str], last: &str) -> PromptChain {
    PromptChain::new(shared.iter().map(|it| part(it)), Some(part(last)))
}

fn quarantined(evidence: &CrashEvidence) -> Vec<&str> {
    let verdicts = evidence.verdicts();
    verdicts
        .quarantined
        .keys()
        .map(PromptPartId::as_str)
        .collect()
}

/// Runs all due deadlines up to a time.
fn expire_until(evidence: &mut CrashEvidence, until: MonoTime) -> Vec<PartDecision> {
    let mut decisions = Vec::new();
    while let Some(deadline) = evidence.next_deadline().filter(|it| *it <= until) {
        decisions.extend(evidence.expire(deadline));
    }
    decisions
}

/// Three crashes of two requests with `first` and the deadly part.
fn record_deadly_part(evidence: &mut CrashEvidence, start_ms: u64) {
    let requests = [
        prompt(&["first", "deadly"], "a"),
        prompt(&["first", "deadly"], "b"),
        prompt(&["first", "deadly"], "a"),
    ];
    for (number, request) in requests.iter().enumerate() {
        let now = at(start_ms + number as u64 * 1_000);
        evidence.record_crash(now, &endpoint(number), request);
    }
}

#[test_case(&["first", "deadly"], &["first", "deadly"] ; "same first part")]
#[test_case(&["one", "deadly"], &["two", "deadly"] ; "different first parts")]
#[test_case(&["deadly", "x"], &["deadly", "y"] ; "deadly first part")]
#[test_case(&["one", "deadly", "x"], &["two", "deadly", "y"] ; "deadly part in the middle")]
fn deadly_part_quarantined(one: &[&str], other: &[&str]) {
    let mut evidence = CrashEvidence::default();
    evidence.record_crash(at(0), &endpoint(1), &prompt(one, "a"));
    evidence.record_crash(at(1_000), &endpoint(2), &prompt(other, "b"));
    assert!(quarantined(&evidence).is_empty());
    evidence.record_crash(at(2_000), &endpoint(3), &prompt(one, "c"));
    let decisions = expire_until(&mut evidence, at(2_000 + STABLE_MS));
    assert_eq!(quarantined(&evidence), ["deadly"]);
    let decision = &decisions[0];
    assert_eq!(decision.state, PromptPartState::Quarantined);
    assert_eq!((decision.crashes, decision.requests), (3, 3));
}

/// Requests that are merely waiting at the crashed endpoints share a part more often
/// than the deadly requests share theirs; one answer shows that it is sound.
#[test]
fn deadly_part_quarantined_beside_popular_part() {
    let mut evidence = CrashEvidence::default();
    for number in 0..4 {
        let now = at(number * 700);
        let key = endpoint(number as usize);
        let deadly = prompt(&["popular", "deadly"], &format!("d-{number}"));
        evidence.record_crash(now, &key, &deadly);
        for bystander in 0..3 {
            let waiting = prompt(&["popular"], &format!("s-{number}-{bystander}"));
            evidence.record_crash(now, &key, &waiting);
        }
    }
    evidence.record_answer(at(2_600), at(2_300), &[part("popular")]);
    expire_until(&mut evidence, at(6_000));
    assert_eq!(quarantined(&evidence), ["deadly"]);
}

/// More requests wait at each crashed endpoint than are kept, and the ids of their parts
/// come first in order.
#[test]
fn deadly_part_quarantined_beside_many_requests() {
    let mut evidence = CrashEvidence::default();
    for number in 0..16 {
        let now = at(number * 700);
        let key = endpoint(number as usize);
        let deadly = prompt(&["popular", "deadly"], &format!("d-{number}"));
        evidence.record_crash(now, &key, &deadly);
        for bystander in 0..15 {
            let waiting = prompt(&["another"], &format!("s-{number}-{bystander}"));
            evidence.record_crash(now, &key, &waiting);
        }
        let cleared = [part("another"), part("popular")];
        evidence.record_answer(now + Millis::new(500), now + Millis::new(200), &cleared);
    }
    expire_until(&mut evidence, at(14_000));
    assert_eq!(quarantined(&evidence), ["deadly"]);
}

/// A request that has crashed three endpoints is not sent again, also if no other has.
#[test]
fn deadly_request_quarantined() {
    let mut evidence = CrashEvidence::default();
    let request = prompt(&["first", "deadly"], "a");
    for number in 0..3 {
        evidence.record_crash(at(number * 1_200), &endpoint(number as usize), &request);
    }
    assert_eq!(quarantined(&evidence), ["a"]);
    // The next request with the part decides on the part itself.
    let other = prompt(&["first", "deadly"], "b");
    evidence.record_crash(at(6_000), &endpoint(7), &other);
    assert_eq!(quarantined(&evidence), ["a"]);
    expire_until(&mut evidence, at(6_000 + STABLE_MS));
    assert!(quarantined(&evidence).contains(&"deadly"));
    assert!(!quarantined(&evidence).contains(&"first"));
}

/// The network has reset the connections of all endpoints, and answers have cleared the
/// part since. Later it becomes deadly.
#[test]
fn deadly_part_quarantined_after_resets() {
    let mut nodes = [CrashEvidence::default(), CrashEvidence::default()];
    for number in 0..6 {
        let request = prompt(&["first", "deadly"], &format!("s-{number}"));
        nodes[0].record_crash(at(0), &endpoint(number), &request);
    }
    let answered = [part("first"), part("deadly")];
    nodes[0].record_answer(at(2_000), at(1_000), &answered);
    for number in 0..6 {
        nodes[0].record_answer(at(2_100), at(1_100), &[part(&format!("s-{number}"))]);
    }
    let known = nodes[0].crashes(at(3_000));
    nodes[1].merge(at(3_000), &known);
    for number in 0..4_usize {
        let now = at(20_000 + number as u64 * 800);
        let request = prompt(&["first", "deadly"], &format!("d-{number}"));
        nodes[number % 2].record_crash(now, &endpoint(number), &request);
        // The other node may not know of the latest crash yet.
        let stale = nodes[(number + 1) % 2].crashes(now);
        nodes[number % 2].merge(now, &stale);
        let recent = nodes[number % 2].crashes(now);
        nodes[(number + 1) % 2].merge(now, &recent);
    }
    for node in &mut nodes {
        node.record_answer(at(23_000), at(22_900), &[part("first")]);
        expire_until(node, at(27_000));
        assert_eq!(quarantined(node), ["deadly"]);
    }
    assert_eq!(nodes[0].digest(), nodes[1].digest());
}

/// Once a part is blamed, crashes of another deadly part don't move the blame to a part
/// that both have in common.
#[test]
fn deadly_part_quarantined_two_parts() {
    let mut evidence = CrashEvidence::default();
    record_deadly_part(&mut evidence, 0);
    expire_until(&mut evidence, at(5_000));
    for number in 0..3 {
        let other = prompt(&["first", "other"], &format!("o-{number}"));
        evidence.record_crash(
            at(6_000 + number * 800),
            &endpoint(20 + number as usize),
            &other,
        );
    }
    expire_until(&mut evidence, at(12_000));
    assert_eq!(quarantined(&evidence), ["deadly", "other"]);
}

/// Crashes without a common cause in the prompts: (time, endpoint, incarnation, request).
#[test_case(&(0..30).map(|n| (n as u64 * 8, n, 1, n)).collect::<Vec<_>>() ; "failure domain lost")]
#[test_case(&[(0, 1, 1, 1), (2_000, 1, 2, 2), (4_000, 1, 3, 3), (6_000, 1, 4, 4), (8_000, 1, 5, 5)] ; "flapping endpoint")]
#[test_case(&[(0, 1, 1, 1), (900, 2, 1, 1)] ; "unlucky session")]
#[test_case(&[(0, 1, 1, 1), (5, 2, 1, 2), (900, 1, 1, 3), (5_000, 2, 1, 4), (9_000, 1, 1, 5)] ; "two endpoints that reset connections")]
fn sound_part_not_quarantined(crashes: &[(u64, usize, u64, usize)]) {
    let mut evidence = CrashEvidence::default();
    for (ms, number, born, request) in crashes {
        expire_until(&mut evidence, at(*ms));
        let request = prompt(&["first", "second"], &format!("r-{request}"));
        evidence.record_crash(at(*ms), &incarnation(*number, *born), &request);
    }
    expire_until(&mut evidence, at(60_000));
    assert!(quarantined(&evidence).is_empty());
}

/// The loss of a domain is noticed over a second, by requests with the same first part;
/// their retries begin elsewhere.
#[test]
fn sound_part_not_quarantined_late_probes() {
    let mut evidence = CrashEvidence::default();
    for number in 0..12 {
        let request = prompt(&["popular"], &format!("r-{number}"));
        let now = at(number * 100);
        evidence.record_crash(now, &endpoint(number as usize), &request);
    }
    expire_until(&mut evidence, at(1_900));
    evidence.record_answer(at(2_000), at(1_700), &[part("popular")]);
    expire_until(&mut evidence, at(60_000));
    assert!(quarantined(&evidence).is_empty());
    assert!(
        evidence
            .verdicts()
            .suspected
            .iter()
            .all(|it| it.as_str() != "popular")
    );
}

/// An answer that began before the part became deadly does not clear it.
#[test_case(3_500, true ; "begun after the crashes")]
#[test_case(500, false ; "begun before the crashes")]
fn quarantine_ended_by_answer(began_ms: u64, is_ended: bool) {
    let mut evidence = CrashEvidence::default();
    record_deadly_part(&mut evidence, 1_000);
    expire_until(&mut evidence, at(5_000));
    assert_eq!(quarantined(&evidence), ["deadly"]);
    let decisions =
        evidence.record_answer(at(6_000), at(began_ms), &[part("first"), part("deadly")]);
    assert_eq!(quarantined(&evidence).is_empty(), is_ended);
    let states: Vec<PromptPartState> = decisions.iter().map(|it| it.state).collect();
    assert_eq!(states.contains(&PromptPartState::Cleared), is_ended);
}

/// A quarantine lasts while requests with the part come, and ends some minutes later.
#[test]
fn quarantine_ended_without_requests() {
    let mut evidence = CrashEvidence::default();
    record_deadly_part(&mut evidence, 0);
    for minute in 1..30 {
        expire_until(&mut evidence, at(minute * 60_000));
        evidence.record_refusal(at(minute * 60_000), &part("deadly"));
        assert_eq!(quarantined(&evidence), ["deadly"], "minute {minute}");
    }
    expire_until(&mut evidence, at(45 * 60_000));
    assert!(quarantined(&evidence).is_empty());
    assert!(!evidence.is_open());
}

/// A sound part that was blamed is not refused for ever, however many requests come.
#[test]
fn quarantine_ended_despite_requests() {
    let mut evidence = CrashEvidence::default();
    record_deadly_part(&mut evidence, 0);
    for minute in 1..=61 {
        expire_until(&mut evidence, at(minute * 60_000));
        evidence.record_refusal(at(minute * 60_000), &part("deadly"));
    }
    assert!(quarantined(&evidence).is_empty());
}

/// A node that has just started learns of crashes that are older than its process.
#[test]
fn evidence_merged_at_start() {
    let mut known = CrashEvidence::default();
    record_deadly_part(&mut known, 100_000);
    expire_until(&mut known, at(110_000));
    let mut starting = CrashEvidence::default();
    starting.merge(at(5), &known.crashes(at(130_000)));
    assert_eq!(quarantined(&starting), ["deadly"]);
    assert_eq!(starting.digest(), known.digest());
}

/// Nodes that merge the same crashes in any order agree.
#[test]
fn evidence_merged_in_any_order() {
    let mut nodes = [CrashEvidence::default(), CrashEvidence::default()];
    for number in 0..4 {
        let request = prompt(&["first", "deadly"], &format!("r-{number}"));
        let now = at(number * 500);
        nodes[number as usize % 2].record_crash(now, &endpoint(number as usize), &request);
    }
    nodes[0].record_answer(at(1_800), at(1_700), &[part("first")]);
    for _ in 0..2 {
        let [one, other] = &mut nodes;
        one.merge(at(2_000), &other.crashes(at(2_000)));
        other.merge(at(2_000), &one.crashes(at(2_000)));
    }
    for node in &mut nodes {
        expire_until(node, at(5_000));
        assert_eq!(quarantined(node), ["deadly"]);
    }
    assert_eq!(nodes[0].digest(), nodes[1].digest());
    assert_eq!(nodes[0].verdicts(), nodes[1].verdicts());
}

/// Many crashes of requests with many parts take bounded memory, and a part in
/// quarantine stays so as long as its requests are refused.
#[test]
fn evidence_bounded() {
    let mut evidence = CrashEvidence::default();
    record_deadly_part(&mut evidence, 0);
    expire_until(&mut evidence, at(5_000));
    for number in 0..700 {
        let now = at(6_000 + number);
        let shared = (0..200).map(|it| part(&format!("p-{number}-{it}")));
        let request = PromptChain::new(shared, Some(part(&format!("l-{number}"))));
        evidence.record_refusal(now, &part("deadly"));
        evidence.record_crash(now, &endpoint(100 + number as usize), &request);
    }
    assert!(evidence.crashes(at(7_000)).len() <= 512);
    assert!(evidence.verdicts().suspected.len() <= 2_100);
    assert!(quarantined(&evidence).contains(&"deadly"));
}

/// Nodes agree on the requests of a crash that hit many, in whatever order they learn them.
#[test]
fn evidence_bounded_requests() {
    let requests = || (0..30).map(|it| prompt(&["first"], &format!("r-{it:02}")));
    let mut nodes = [CrashEvidence::default(), CrashEvidence::default()];
    for request in requests() {
        nodes[0].record_crash(at(1_000), &endpoint(1), &request);
    }
    for request in requests().collect::<Vec<_>>().iter().rev() {
        nodes[1].record_crash(at(1_000), &endpoint(1), request);
    }
    assert_eq!(nodes[0].crashes(at(2_000))[0].requests.len(), 8);
    assert_eq!(nodes[0].digest(), nodes[1].digest());
}

struct Cluster {
    nodes: Vec<CrashEvidence>,
    random: Pcg64,
}

impl Cluster {
    fn start(nodes: usize, seed: Seed) -> Self {
        Self {
            nodes: (0..nodes).map(|_| CrashEvidence::default()).collect(),
            random: Pcg64::seed_from_u64(seed.get()),
        }
    }

    /// One node's round of queries: the recent crashes go out, and those that the node
    /// lacks come back.
    fn poll(&mut self, now_ms: u64, node: usize) {
        if !self.nodes[node].has_news(at(now_ms)) {
            return;
        }
        let others = self.nodes.len() - 1;
        for _ in 0..POLLED_PEERS {
            let peer = (node + 1 + self.random.random_range(0..others)) % self.nodes.len();
            let sent = self.nodes[node].recent_crashes(at(now_ms));
            let digest = self.nodes[node].digest();
            let (asked, answered) = (at(now_ms + TRANSIT_MS), at(now_ms + 2 * TRANSIT_MS));
            self.nodes[peer].merge(asked, &sent);
            if self.nodes[peer].digest() != digest {
                let reply = self.nodes[peer].crashes(asked);
                self.nodes[node].merge(answered, &reply);
            }
        }
    }

    fn quarantining(&self) -> usize {
        let nodes = self.nodes.iter();
        nodes
            .filter(|it| quarantined(it).contains(&"deadly"))
            .count()
    }
}

/// All nodes refuse a deadly part in time after its fifth crash.
#[test_case(9, 1_000 ; "9 nodes")]
#[test_case(64, 1_000 ; "64 nodes")]
#[test_case(295, 1_000 ; "295 nodes")]
#[test_case(295, 400 ; "295 nodes, fast crashes")]
#[test_case(295, 200 ; "295 nodes, very fast crashes")]
fn evidence_spread_in_time(nodes: usize, crash_interval_ms: u64) {
    for seed in 1..=5 {
        let mut cluster = Cluster::start(nodes, Seed::new(seed));
        let phases: Vec<u64> = (0..nodes)
            .map(|_| cluster.random.random_range(0..POLL_INTERVAL_MS))
            .collect();
        let fifth_ms = 4 * crash_interval_ms;
        let mut covered_ms = None;
        for now_ms in 0..=fifth_ms + STABLE_MS {
            if now_ms % crash_interval_ms == 0 && now_ms <= fifth_ms {
                let node = cluster.random.random_range(0..nodes);
                let number = (now_ms / crash_interval_ms) as usize;
                let request = prompt(&["first", "deadly"], &format!("r-{number}"));
                cluster.nodes[node].record_crash(at(now_ms), &endpoint(number), &request);
            }
            for (node, phase_ms) in phases.iter().enumerate() {
                if now_ms % POLL_INTERVAL_MS == *phase_ms {
                    cluster.poll(now_ms, node);
                }
                if now_ms % EXPIRY_INTERVAL_MS == 0 {
                    cluster.nodes[node].expire(at(now_ms));
                }
            }
            if covered_ms.is_none() && cluster.quarantining() == nodes {
                covered_ms = Some(now_ms);
            }
        }
        println!("seed {seed}: fifth crash at {fifth_ms} ms, known everywhere at {covered_ms:?}");
        assert_eq!(cluster.quarantining(), nodes, "seed {seed}");
        let names: BTreeSet<Vec<&str>> = cluster.nodes.iter().map(quarantined).collect();
        assert_eq!(names.len(), 1, "seed {seed}");
    }
}
