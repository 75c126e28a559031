//! Simulated fleet that moves a workspace to a version with a given behaviour.

use std::collections::BinaryHeap;

use parsleylatch_decide::{
    generation::PlacementConstraints,
    moves::{
        FULL_SHARE, MoveEffect, MoveInput, MoveOutcome, MovePlan, MoveReason, MoveTable, Observer,
        ReplacedVersions, Trial,
    },
    version_choice::VersionPlan,
};
use parsleylatch_types::{
    EndpointId, EndpointVersion, Incarnation, Micros, Millis, MonoTime, Percent, RequestId, Share,
    UnixMillis, WorkspaceId,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

pub(crate) const NODES: usize = 9;
/// Engines of each version in each region.
const ENGINES: usize = 3;
/// Interval between load reports of an engine.
const LOAD_INTERVAL_MS: u64 = 500;
/// Interval at which a node sends its evidence.
const EVIDENCE_INTERVAL_MS: u64 = 200;
/// Duration of a generation on the old version.
const ANSWER_MS: u64 = 2_000;
/// Time after which an attempt on a faulty engine fails.
const FAILURE_MS: u64 = 100;
/// Time until health checks remove a dead engine from placement.
const HEALTH_CHECK_DELAY_MS: u64 = 1_000;
const PACE: Micros = Micros::new(27_000);

/// How the new version behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Behaviour {
    /// Fails as rarely as the old version.
    Good,
    /// As [`Behaviour::Good`], but one of its engines dies.
    GoodEngineDies,
    /// Fails from the start at the given rate.
    FailsAtOnce(f64),
    /// Fails once its share has exceeded a fifth of the traffic.
    FailsLate,
    /// Takes three times as long for each token.
    Slow,
    /// Is slow only while its share exceeds a tenth of the traffic.
    SlowUnderLoad,
    /// Fails in the second region only.
    FailsOnOneRoute,
}

/// Result of one simulated move.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SimulationResult {
    pub(crate) outcome: Option<MoveOutcome>,
    pub(crate) ended_at_ms: u64,
    pub(crate) requests: u64,
    /// Requests with a failed or slow attempt on the new version.
    pub(crate) affected: u64,
    /// Time from the attempt at which the combined evidence of all nodes was
    /// enough for a veto until the last request on the new version.
    pub(crate) stopped_after_ms: u64,
}

/// Request rate and deadline of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    pub(crate) requests_per_s: u64,
    pub(crate) deadline_ms: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct AttemptEnd {
    at_ms: std::cmp::Reverse<u64>,
    node: usize,
    version: EndpointVersion,
    engine: usize,
    failed: bool,
    pace_us: Micros,
}

pub(crate) fn workspace() -> WorkspaceId {
    "mvua".parse().unwrap()
}

pub(crate) fn plan(deadline_ms: u64) -> MovePlan {
    MovePlan {
        id: "mvua:7".parse().unwrap(),
        workspace: workspace(),
        model: "drafts".parse().unwrap(),
        from: ReplacedVersions::Named(vec!["v1".parse().unwrap()]),
        to: "v2".parse().unwrap(),
        deadline_ms: Millis::new(deadline_ms),
        decision_ms: Millis::new(deadline_ms),
        canary_share: Share::new(5_000),
        tolerated_failures: Share::new(10_000),
        rejected_failures: Share::new(100_000),
        slow_pace_percent: Percent::new(200),
        has_once_only_operations: false,
        exposure_limit: None,
    }
}

pub(crate) fn observer(node: usize) -> Observer {
    Observer {
        node: format!("node-{node}").parse().unwrap(),
        incarnation: Incarnation::new(1),
    }
}

pub(crate) fn table(node: usize, now: MonoTime, plan: MovePlan) -> MoveTable {
    let mut table = MoveTable::new(observer(node));
    let input = MoveInput::Template {
        workspace: plan.workspace.clone(),
        plan: Some(plan),
    };
    table.handle(now, input);
    table
}

pub(crate) fn at(ms: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(ms)
}

/// Two nodes in three are in the first region.
fn region_of(node: usize) -> usize {
    usize::from(node % 3 == 2) + 1
}

fn engine_id(version: &EndpointVersion, region: usize, engine: usize) -> EndpointId {
    format!("{version}-{region}-{engine}").parse().unwrap()
}

pub(crate) struct Fleet {
    behaviour: Behaviour,
    load: Load,
    tables: Vec<MoveTable>,
    plan: MovePlan,
    rng: Pcg64,
    ends: BinaryHeap<AttemptEnd>,
    share: f64,
    had_high_share: bool,
    /// Receives every attempt of every node without delay.
    central_table: MoveTable,
    detectable_at_ms: Option<u64>,
    last_new_request_ms: u64,
    result: SimulationResult,
}

impl Fleet {
    pub(crate) fn new(behaviour: Behaviour, load: Load, seed: u64) -> Self {
        let plan = plan(load.deadline_ms);
        Self {
            behaviour,
            load,
            tables: (0..NODES)
                .map(|node| table(node, at(0), plan.clone()))
                .collect(),
            plan: plan.clone(),
            rng: Pcg64::seed_from_u64(seed),
            ends: BinaryHeap::new(),
            share: 0.0,
            had_high_share: false,
            central_table: table(NODES, at(0), plan),
            detectable_at_ms: None,
            last_new_request_ms: 0,
            result: SimulationResult {
                outcome: None,
                ended_at_ms: 0,
                requests: 0,
                affected: 0,
                stopped_after_ms: 0,
            },
        }
    }

    /// Runs until twice the deadline or until 5 s after the move has ended.
    pub(crate) fn run(mut self) -> SimulationResult {
        let step_ms = 1_000 / self.load.requests_per_s;
        for now_ms in (0..2 * self.load.deadline_ms).step_by(step_ms as usize) {
            self.finish_attempts(now_ms);
            self.exchange_evidence(now_ms, step_ms);
            self.report_loads(now_ms, step_ms);
            self.expire(now_ms);
            self.send_request(now_ms);
            if self.result.outcome.is_some() && now_ms > self.result.ended_at_ms + 5_000 {
                break;
            }
        }
        let detectable_at_ms = self.detectable_at_ms.unwrap_or(self.last_new_request_ms);
        let stopped = self.last_new_request_ms.saturating_sub(detectable_at_ms);
        self.result.stopped_after_ms = stopped;
        self.result
    }

    fn send_request(&mut self, now_ms: u64) {
        let node = self.rng.random_range(0..NODES);
        let id = RequestId::from_parts(UnixMillis::new(now_ms), self.rng.random());
        let chosen = self.version_of(node, now_ms, id);
        let is_new = chosen == self.plan.to;
        self.share += (f64::from(u8::from(is_new)) - self.share) / 200.0;
        self.had_high_share |= self.share > 0.2;
        let engine = self.choose_engine(now_ms, region_of(node), is_new);
        let is_dead = self.is_dead(now_ms, region_of(node), engine) && is_new;
        let (failed, slow) = if is_new {
            self.attempt_result(node)
        } else {
            (self.rng.random_bool(0.001), false)
        };
        let failed = failed || is_dead;
        self.result.requests += 1;
        if is_new {
            self.last_new_request_ms = now_ms;
            self.result.affected += u64::from(failed || slow);
        }
        let duration_ms = if failed {
            FAILURE_MS
        } else {
            ANSWER_MS * if slow { 3 } else { 1 }
        };
        self.ends.push(AttemptEnd {
            at_ms: std::cmp::Reverse(now_ms + duration_ms),
            node,
            version: chosen,
            engine,
            failed,
            pace_us: PACE.saturating_mul(if slow { 3 } else { 1 }),
        });
    }

    fn version_of(&self, node: usize, now_ms: u64, id: RequestId) -> EndpointVersion {
        let order = PlacementConstraints {
            endpoint_versions: self.plan.from.named().to_vec(),
            failed_endpoints: Vec::new(),
        };
        let versions: Option<VersionPlan> =
            self.tables[node].version_plan(at(now_ms), &workspace());
        let order = versions.map_or(order.clone(), |versions| {
            versions.constraints_for(id, &order)
        });
        order.endpoint_versions[0].clone()
    }

    /// Returns whether an attempt on the new version fails, and whether it is slow.
    fn attempt_result(&mut self, node: usize) -> (bool, bool) {
        match self.behaviour {
            Behaviour::Good | Behaviour::GoodEngineDies => (self.rng.random_bool(0.001), false),
            Behaviour::FailsAtOnce(rate) => (self.rng.random_bool(rate), false),
            Behaviour::FailsLate => (self.had_high_share, false),
            Behaviour::Slow => (false, true),
            Behaviour::SlowUnderLoad => (false, self.share > 0.1),
            Behaviour::FailsOnOneRoute => (region_of(node) == 2, false),
        }
    }

    fn is_dead(&self, now_ms: u64, region: usize, engine: usize) -> bool {
        let is_chosen = self.behaviour == Behaviour::GoodEngineDies && (region, engine) == (1, 0);
        is_chosen && now_ms >= self.dies_at_ms()
    }

    fn dies_at_ms(&self) -> u64 {
        self.load.deadline_ms / 2
    }

    /// Chooses an engine of a region. A dead engine gets requests until health checks
    /// have detected it.
    fn choose_engine(&mut self, now_ms: u64, region: usize, is_new: bool) -> usize {
        let engine = self.rng.random_range(0..ENGINES);
        let is_detected = now_ms >= self.dies_at_ms() + HEALTH_CHECK_DELAY_MS;
        match is_new && is_detected && self.is_dead(now_ms, region, engine) {
            true => (engine + 1) % ENGINES,
            false => engine,
        }
    }

    fn finish_attempts(&mut self, now_ms: u64) {
        while self.ends.peek().is_some_and(|end| end.at_ms.0 <= now_ms) {
            let Some(end) = self.ends.pop() else { return };
            let region = region_of(end.node);
            let trial = Trial {
                model: self.plan.model.clone(),
                route: format!("region-{region}:region-{region}").parse().unwrap(),
                endpoint: engine_id(&end.version, region, end.engine),
                version: end.version,
                failed: end.failed,
                pace_us: (!end.failed).then_some(end.pace_us),
            };
            self.record_centrally(now_ms, trial.clone());
            let effects = self.tables[end.node].handle(at(now_ms), MoveInput::Trial(trial));
            self.apply(now_ms, effects);
        }
    }

    fn record_centrally(&mut self, now_ms: u64, trial: Trial) {
        let endpoint = trial.endpoint.clone();
        let now = at(now_ms);
        self.central_table.handle(now, MoveInput::Trial(trial));
        self.central_table
            .handle(now, MoveInput::EndpointAnswered(endpoint));
        let view = self.central_table.views(now).next();
        if view.is_some_and(|view| view.reason == Some(MoveReason::Vetoed)) {
            self.detectable_at_ms.get_or_insert(now_ms);
        }
    }

    /// Each node that is due sends its evidence to another node.
    fn exchange_evidence(&mut self, now_ms: u64, step_ms: u64) {
        for node in 0..NODES {
            let phase = EVIDENCE_INTERVAL_MS * node as u64 / NODES as u64;
            if (now_ms + phase) % EVIDENCE_INTERVAL_MS >= step_ms {
                continue;
            }
            let receiver = (node + self.rng.random_range(1..NODES)) % NODES;
            let sent: Vec<_> = self.tables[node]
                .evidence()
                .map(|(id, evidence)| (id.clone(), evidence.clone()))
                .collect();
            for (move_id, evidence) in sent {
                let effects = self.tables[receiver].merge(at(now_ms), &move_id, &evidence);
                self.apply(now_ms, effects);
            }
        }
    }

    fn report_loads(&mut self, now_ms: u64, step_ms: u64) {
        if now_ms % LOAD_INTERVAL_MS >= step_ms {
            return;
        }
        for node in 0..NODES {
            let region = region_of(node);
            for version in ["v1", "v2"].map(|version| version.parse().unwrap()) {
                for engine in 0..ENGINES {
                    let id = engine_id(&version, region, engine);
                    let is_lost = version == self.plan.to && self.is_dead(now_ms, region, engine);
                    let input = match is_lost {
                        true => MoveInput::EndpointLost(id),
                        false => MoveInput::EndpointAnswered(id),
                    };
                    let effects = self.tables[node].handle(at(now_ms), input);
                    self.apply(now_ms, effects);
                }
            }
        }
    }

    fn expire(&mut self, now_ms: u64) {
        for node in 0..NODES {
            if self.tables[node]
                .next_deadline()
                .is_some_and(|due| due <= at(now_ms))
            {
                let effects = self.tables[node].expire(at(now_ms));
                self.apply(now_ms, effects);
            }
        }
    }

    /// Records the first end and passes it to all nodes; later ones are ignored.
    fn apply(&mut self, now_ms: u64, effects: Vec<MoveEffect>) {
        for effect in effects {
            let MoveEffect::RecordEnd { move_id, end } = effect else {
                continue;
            };
            if self.result.outcome.is_some() {
                continue;
            }
            self.result.outcome = Some(end.outcome);
            self.result.ended_at_ms = now_ms;
            for table in &mut self.tables {
                let move_id = move_id.clone();
                table.handle(at(now_ms), MoveInput::Recorded { move_id, end });
            }
        }
    }
}

/// Share of a table's new version, in parts per million.
pub(crate) fn share(table: &MoveTable, now: MonoTime) -> Share {
    let share = table.share_of(now, &workspace(), &"v2".parse().unwrap());
    share.unwrap_or(FULL_SHARE)
}
