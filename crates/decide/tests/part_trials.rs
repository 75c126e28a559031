//! Requests that share parts with those that crash endpoints: which are refused and which
//! are trials, over nodes that share their evidence late.

use std::collections::BTreeSet;

use parsleylatch_decide::relay::{
    CrashEvidence, EndpointKey, NodeTurn, PartAdmission, PartTrial, PartTrials, PartVerdicts,
    PromptChain,
};
use parsleylatch_types::{Incarnation, Millis, MonoTime, PromptPartId, Seed};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use test_case::test_case;

/// Time in which evidence is known everywhere, and requests with the deadly part that may
/// reach endpoints later than that after the fifth crash, as the operators state them.
const STABLE_MS: u64 = 4_000;
const LATE_REQUESTS_LIMIT: usize = 3;
const DEADLY_PART: &str = "dead";
const STEP_MS: u64 = 5;
const ENDPOINTS: usize = 12;
/// Attempts of a request.
const ATTEMPTS: usize = 5;
/// Time until an answer begins, and until it is under way.
const PREFILL_MS: u64 = 300;
const UNDER_WAY_MS: u64 = 600;
/// Longest wait of a request that finds a trial running.
const PLACEMENT_WAIT_MS: u64 = 550;
/// Interval between a node's queries, and nodes that each round queries.
const POLL_INTERVAL_MS: u64 = 300;
const POLLED_PEERS: usize = 2;

fn at(ms: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(ms)
}

fn part(text: &str) -> PromptPartId {
    text.parse().unwrap()
}

fn prompt(shared: &[&str], last: &str) -> PromptChain {
    PromptChain::new(shared.iter().map(|it| part(it)), Some(part(last)))
}

fn endpoint(number: usize) -> EndpointKey {
    EndpointKey {
        id: format!("i-{number}").parse().unwrap(),
        incarnation: Incarnation::new(1),
    }
}

/// Requests that come, and the nodes that they come at.
#[derive(Clone, Copy)]
struct Scenario {
    nodes: usize,
    /// Time until a message of another node is merged.
    lag_ms: u64,
    /// Shared parts of deadly and of sound prompts, one of which is drawn for each request.
    deadly: &'static [&'static [&'static str]],
    sound: &'static [&'static [&'static str]],
    deadly_interval_ms: u64,
    sound_interval_ms: u64,
    sound_batch: usize,
    /// When deadly requests begin, and when all requests end.
    trouble_ms: u64,
    end_ms: u64,
}

const PLAIN: Scenario = Scenario {
    nodes: 3,
    lag_ms: 15,
    deadly: &[&[DEADLY_PART, "a"]],
    sound: &[&["s", "a"]],
    deadly_interval_ms: 1_000,
    sound_interval_ms: 6_000,
    sound_batch: 5,
    trouble_ms: 8_500,
    end_ms: 55_000,
};

struct Request {
    node: usize,
    prompt: PromptChain,
    is_deadly: bool,
    sent_ms: u64,
    waits_since: Option<u64>,
    attempts: usize,
    endpoint: usize,
    attempt_ms: Option<u64>,
    trial: Option<PartTrial>,
    has_crashed_trial: bool,
}

struct Node {
    evidence: CrashEvidence,
    trials: PartTrials,
}

/// Outcome of a scenario.
#[derive(Default)]
struct Outcome {
    crashes_ms: Vec<u64>,
    deadly_arrivals_ms: Vec<u64>,
    /// Time of sending of each sound request, and whether it began.
    sound: Vec<(u64, bool)>,
}

struct Simulation {
    scenario: Scenario,
    random: Pcg64,
    nodes: Vec<Node>,
    requests: Vec<Request>,
    /// When evidence of one node arrives at another: time, receiver, reply of the sender.
    messages: Vec<(u64, usize, usize)>,
    incarnations: Vec<u64>,
    outcome: Outcome,
    sent: usize,
}

impl Simulation {
    fn new(scenario: Scenario, seed: Seed) -> Self {
        let node = |_| Node {
            evidence: CrashEvidence::default(),
            trials: PartTrials::default(),
        };
        Self {
            scenario,
            random: Pcg64::seed_from_u64(seed.get()),
            nodes: (0..scenario.nodes).map(node).collect(),
            requests: Vec::new(),
            messages: Vec::new(),
            incarnations: vec![1; ENDPOINTS],
            outcome: Outcome::default(),
            sent: 0,
        }
    }

    fn run(mut self) -> Outcome {
        let scenario = self.scenario;
        for now_ms in (0..scenario.end_ms + 5_000).step_by(STEP_MS as usize) {
            let is_open = now_ms < scenario.end_ms;
            if is_open && now_ms % scenario.sound_interval_ms == 0 {
                for _ in 0..scenario.sound_batch {
                    self.send(now_ms, false);
                }
            }
            let since = now_ms.checked_sub(scenario.trouble_ms);
            if is_open && since.is_some_and(|it| it % scenario.deadly_interval_ms == 0) {
                self.send(now_ms, true);
            }
            self.exchange_evidence(now_ms);
            self.step_requests(now_ms);
            for node in &mut self.nodes {
                node.evidence.expire(at(now_ms));
            }
        }
        self.outcome
    }

    fn send(&mut self, now_ms: u64, is_deadly: bool) {
        self.sent += 1;
        let shapes = match is_deadly {
            true => self.scenario.deadly,
            false => self.scenario.sound,
        };
        let shared = shapes[self.random.random_range(0..shapes.len())];
        self.requests.push(Request {
            node: self.random.random_range(0..self.nodes.len()),
            prompt: prompt(shared, &format!("own-{}", self.sent)),
            is_deadly,
            sent_ms: now_ms,
            waits_since: None,
            attempts: 0,
            endpoint: 0,
            attempt_ms: None,
            trial: None,
            has_crashed_trial: false,
        });
    }

    /// Sends recent evidence to random nodes, and delivers what is due.
    fn exchange_evidence(&mut self, now_ms: u64) {
        for sender in 0..self.nodes.len() {
            let is_due = (now_ms + sender as u64 * 35) % POLL_INTERVAL_MS < STEP_MS;
            if !is_due || !self.nodes[sender].evidence.has_news(at(now_ms)) {
                continue;
            }
            for _ in 0..POLLED_PEERS {
                let receiver = self.random.random_range(0..self.nodes.len());
                self.messages
                    .push((now_ms + self.scenario.lag_ms, sender, receiver));
            }
        }
        let messages = std::mem::take(&mut self.messages);
        let (due, later): (Vec<_>, Vec<_>) = messages.into_iter().partition(|it| it.0 <= now_ms);
        self.messages = later;
        for (_, sender, receiver) in due {
            let known = self.nodes[sender].evidence.crashes(at(now_ms));
            let crashes = self.nodes[receiver].evidence.crashes(at(now_ms));
            self.nodes[receiver].evidence.merge(at(now_ms), &known);
            self.nodes[sender].evidence.merge(at(now_ms), &crashes);
        }
    }

    fn step_requests(&mut self, now_ms: u64) {
        for mut request in std::mem::take(&mut self.requests) {
            let is_open = match request.attempt_ms {
                None => self.place(now_ms, &mut request),
                Some(since) => self.progress(now_ms, now_ms - since, &mut request),
            };
            if is_open {
                self.requests.push(request);
            }
        }
    }

    /// Starts an attempt; returns whether the request goes on.
    fn place(&mut self, now_ms: u64, request: &mut Request) -> bool {
        let turn = NodeTurn {
            index: request.node,
            nodes: self.nodes.len(),
        };
        let node = &mut self.nodes[request.node];
        let verdicts = node.evidence.verdicts().clone();
        let admission = node
            .trials
            .admit(at(now_ms), &verdicts, &request.prompt, turn);
        let is_restricted = admission != PartAdmission::Unrestricted;
        match admission {
            _ if request.has_crashed_trial && is_restricted => return self.end(request, false),
            PartAdmission::Refused(part) => {
                node.evidence.record_refusal(at(now_ms), &part);
                return self.end(request, false);
            }
            PartAdmission::Pending(_) => {
                let since = *request.waits_since.get_or_insert(now_ms);
                return now_ms - since < PLACEMENT_WAIT_MS || self.end(request, false);
            }
            PartAdmission::Trial(trial) => request.trial = Some(trial),
            PartAdmission::Unrestricted => {}
        }
        request.attempts += 1;
        request.endpoint = self.random.random_range(0..ENDPOINTS);
        request.attempt_ms = Some(now_ms);
        if request.is_deadly {
            self.outcome.deadly_arrivals_ms.push(now_ms);
        }
        true
    }

    /// Goes on with an attempt; returns whether the request goes on.
    fn progress(&mut self, now_ms: u64, age_ms: u64, request: &mut Request) -> bool {
        let node = &mut self.nodes[request.node];
        if request.is_deadly && age_ms >= PREFILL_MS {
            let key = EndpointKey {
                incarnation: Incarnation::new(self.incarnations[request.endpoint]),
                ..endpoint(request.endpoint)
            };
            self.incarnations[request.endpoint] += 1;
            self.outcome.crashes_ms.push(now_ms);
            node.evidence
                .record_crash(at(now_ms), &key, &request.prompt);
            // Requests that the endpoint has not begun to answer are lost with it.
            for other in &mut self.requests {
                let is_hit = other.endpoint == request.endpoint
                    && other.attempt_ms.is_some_and(|it| now_ms - it < PREFILL_MS);
                if is_hit && !other.is_deadly {
                    let evidence = &mut self.nodes[other.node].evidence;
                    evidence.record_crash(at(now_ms), &key, &other.prompt);
                    other.has_crashed_trial |= other.trial.take().is_some();
                    other.attempt_ms = None;
                }
            }
            request.has_crashed_trial |= request.trial.take().is_some();
            request.attempt_ms = None;
            return request.attempts < ATTEMPTS;
        }
        if age_ms >= UNDER_WAY_MS {
            let parts: Vec<PromptPartId> = request.prompt.parts().cloned().collect();
            let began_at = at(now_ms - UNDER_WAY_MS + PREFILL_MS);
            node.evidence.record_answer(at(now_ms), began_at, &parts);
            if let Some(trial) = request.trial.take() {
                node.trials.end(&trial);
            }
            return self.end(request, true);
        }
        true
    }

    fn end(&mut self, request: &Request, has_begun: bool) -> bool {
        if !request.is_deadly {
            self.outcome.sound.push((request.sent_ms, has_begun));
        }
        false
    }
}

impl Outcome {
    fn fifth_crash_ms(&self) -> u64 {
        let last = self.crashes_ms.len() - 1;
        self.crashes_ms[last.min(4)]
    }

    fn late_requests(&self) -> usize {
        let limit_ms = self.fifth_crash_ms() + STABLE_MS;
        let arrivals = self.deadly_arrivals_ms.iter();
        arrivals.filter(|ms| **ms > limit_ms).count()
    }

    /// Sound requests that are judged, and those of them that began.
    fn judged_sound(&self) -> (usize, usize) {
        let from_ms = self.fifth_crash_ms() + 2 * STABLE_MS;
        let judged: Vec<bool> = self
            .sound
            .iter()
            .filter(|(sent_ms, _)| *sent_ms > from_ms)
            .map(|(_, has_begun)| *has_begun)
            .collect();
        (judged.len(), judged.iter().filter(|it| **it).count())
    }
}

/// Deadly requests are kept from endpoints, and sound ones that share their other parts
/// begin.
#[test_case(PLAIN ; "deadly part first")]
#[test_case(Scenario { deadly: &[&["a", DEADLY_PART, "b"]], sound: &[&["a", "s", "b"]], ..PLAIN } ; "deadly part in the middle")]
#[test_case(Scenario { deadly: &[&["a", "b", DEADLY_PART]], sound: &[&["a", "b"]], ..PLAIN } ; "deadly part deepest")]
#[test_case(Scenario { deadly: &[&[DEADLY_PART, "a", "b", "c"]], sound: &[&["s", "a", "b", "c"], &["t", "a"]], ..PLAIN } ; "several shared parts")]
#[test_case(Scenario { sound: &[&["s", "a"], &["t", "a"], &["a"], &["u", "b"]], ..PLAIN } ; "several sound callers")]
#[test_case(Scenario { deadly: &[&[DEADLY_PART, "a"], &["b", DEADLY_PART], &[DEADLY_PART, "c"]], sound: &[&["s", "a"], &["b", "s"]], ..PLAIN } ; "deadly part beside others")]
#[test_case(Scenario { sound_interval_ms: 4_000, sound_batch: 1, end_ms: 120_000, ..PLAIN } ; "rare sound requests")]
#[test_case(Scenario { sound_interval_ms: 15_000, sound_batch: 12, ..PLAIN } ; "large batches")]
#[test_case(Scenario { sound_interval_ms: 50, sound_batch: 1, end_ms: 35_000, ..PLAIN } ; "steady sound requests")]
#[test_case(Scenario { deadly_interval_ms: 5_000, end_ms: 90_000, ..PLAIN } ; "rare deadly requests")]
#[test_case(Scenario { deadly_interval_ms: 200, ..PLAIN } ; "many deadly requests")]
#[test_case(Scenario { nodes: 1, ..PLAIN } ; "1 node")]
#[test_case(Scenario { nodes: 9, ..PLAIN } ; "9 nodes")]
#[test_case(Scenario { nodes: 64, sound_interval_ms: 3_000, ..PLAIN } ; "64 nodes")]
#[test_case(Scenario { lag_ms: 1_500, ..PLAIN } ; "evidence merged late")]
#[test_case(Scenario { end_ms: 200_000, ..PLAIN } ; "minutes of trouble")]
fn sound_part_served_beside_deadly_part(scenario: Scenario) {
    for seed in 1..=8 {
        let outcome = Simulation::new(scenario, Seed::new(seed)).run();
        let late = outcome.late_requests();
        let (judged, begun) = outcome.judged_sound();
        println!("seed {seed}: {late} late; {begun} of {judged} sound requests began");
        assert!(late <= LATE_REQUESTS_LIMIT, "seed {seed}: {late} late");
        assert!(judged >= 20, "seed {seed}: {judged} judged");
        assert!(2 * begun > judged, "seed {seed}: {begun} of {judged}");
    }
}

/// Three endpoints have reset connections of requests that share a part.
fn resets() -> CrashEvidence {
    let mut evidence = CrashEvidence::default();
    for number in 0..3 {
        let request = prompt(&["a"], &format!("own-{number}"));
        evidence.record_crash(at(1_000 * number), &endpoint(number as usize), &request);
    }
    evidence.expire(at(4_000));
    evidence
}

fn turns(nodes: usize) -> impl Iterator<Item = NodeTurn> {
    (0..nodes).map(move |index| NodeTurn { index, nodes })
}

/// Every request with the part is refused, so that only a trial can show that it is sound.
#[test]
fn quarantine_ended_by_retrial() {
    let mut evidence = resets();
    let mut trials = PartTrials::default();
    let turn = NodeTurn { index: 0, nodes: 1 };
    let mut tried_ms = None;
    for now_ms in (4_000..60_000).step_by(500) {
        let request = prompt(&["a"], &format!("late-{now_ms}"));
        let verdicts = evidence.verdicts().clone();
        match trials.admit(at(now_ms), &verdicts, &request, turn) {
            PartAdmission::Refused(part) => evidence.record_refusal(at(now_ms), &part),
            PartAdmission::Trial(_) => {
                tried_ms = Some(now_ms);
                break;
            }
            other => panic!("{other:?} at {now_ms} ms"),
        }
    }
    let tried_ms = tried_ms.unwrap();
    evidence.record_answer(at(tried_ms + 600), at(tried_ms + 300), &[part("a")]);
    assert!(evidence.verdicts().quarantined.is_empty());
}

/// At most one node starts a trial of a request with all blamed parts at a time, and none
/// again soon after it has crashed an endpoint.
#[test_case(3 ; "3 nodes")]
#[test_case(64 ; "64 nodes")]
fn retrial_by_one_node(nodes: usize) {
    let mut evidence = resets();
    let request = prompt(&["a"], "late");
    let admits = |verdicts: &PartVerdicts, now_ms: u64| {
        let admitted = turns(nodes).filter(|turn| {
            let admission = PartTrials::default().judge(at(now_ms), verdicts, &request, *turn);
            matches!(admission, PartAdmission::Trial(_))
        });
        admitted.map(|it| it.index).collect::<BTreeSet<_>>()
    };
    let mut first = None;
    for now_ms in (4_000..60_000).step_by(100) {
        let admitted = admits(evidence.verdicts(), now_ms);
        assert!(admitted.len() <= 1, "{admitted:?} at {now_ms} ms");
        first = first.or((!admitted.is_empty()).then_some(now_ms));
    }
    let first = first.unwrap();
    evidence.record_crash(at(first + 300), &endpoint(9), &request);
    evidence.expire(at(first + 400));
    for now_ms in (first + 400..first + 100_000).step_by(100) {
        assert!(admits(evidence.verdicts(), now_ms).is_empty(), "{now_ms}");
    }
}
