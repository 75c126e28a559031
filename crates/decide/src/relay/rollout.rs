//! Roll-outs: an operator's order to move a service to another version.
//!
//! The decisions are those of version moves: a bounded share while the version is on
//! trial, growth with the evidence, a veto that spreads with the evidence, and an end
//! that is written once. A move concerns a workspace and its model; for a roll-out,
//! the service takes the place of both.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use parsleylatch_types::{
    EndpointId, EndpointVersion, Micros, Millis, MonoTime, MoveId, ParseIdError, Percent,
    RouteName, ServiceName, Share, StoreEra, StorePosition, TrialNumber,
};
use strum::{Display, EnumString};

use super::{
    open_trials::OpenTrials,
    version_history::{EndedOrder, VersionHistory},
    version_rule::VersionRule,
};
use crate::moves::{
    ExposureLimit, FULL_SHARE, MoveEffect, MoveEnd, MoveEvidence, MoveInput, MoveOutcome, MovePlan,
    MoveReason, MoveTable, MoveView, Observer, ReplacedVersions, Trial,
};

/// Minimum share of a version that has not passed: enough for a decision on a service
/// with a few requests per second.
const CANARY_SHARE: Share = Share::new(20_000);
/// Rate of failed or slow answers that is acceptable for a good version. An old version
/// that fails more often raises it.
const TOLERATED_FAILURES: Share = Share::new(10_000);
/// Rate of failed or slow answers from which a version is rejected.
const REJECTED_FAILURES: Share = Share::new(100_000);
/// Latency that counts as slow, relative to the old version's mean. A bad version is
/// expected to be several times slower.
const SLOW_LATENCY_PERCENT: Percent = Percent::new(250);
/// Percentage of an order's time after which its end is decided. The status has to be in
/// the store when the time is over, and nodes learn of the order late.
const DECISION_TIME_PERCENT: u64 = 90;

/// An operator's order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service whose requests are moved.
    pub service: ServiceName,
    /// Version to move to.
    pub target: EndpointVersion,
    /// Time from the order to the end of the roll-out.
    pub duration_ms: Millis,
}

/// Phase of a roll-out, as shown to the operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum RolloutPhase {
    /// The version is on trial, or its share grows.
    Running,
    /// The version receives all requests.
    Done,
    /// The version receives no requests.
    TakenBack,
}

/// Status of one order, as shown to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// Service of the order.
    pub service: ServiceName,
    /// Target version of the order.
    pub target: EndpointVersion,
    /// Current phase.
    pub phase: RolloutPhase,
}

/// Result of one attempt on a version on trial, or on one it is compared with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionTrial {
    /// Service of the request.
    pub service: ServiceName,
    /// Version of the endpoint.
    pub version: EndpointVersion,
    /// Route of the request.
    pub route: RouteName,
    /// Endpoint that ran it.
    pub endpoint: EndpointId,
    /// Time to the response or its first event; `None` if the attempt failed.
    pub latency: Option<Micros>,
}

impl VersionTrial {
    /// The attempt as evidence on a move; `None` if its service can't be a model's name.
    fn counted(&self) -> Option<Trial> {
        Some(Trial {
            model: self.service.as_str().parse().ok()?,
            version: self.version.clone(),
            route: self.route.clone(),
            endpoint: self.endpoint.clone(),
            failed: self.latency.is_none(),
            pace_us: self.latency,
        })
    }
}

/// Effects that the control thread carries out for roll-outs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RolloutEffect {
    /// Write the status, unless the store already has the end of this order.
    Record {
        /// Store position of the order.
        order_position: StorePosition,
        /// Status to write.
        status: RolloutStatus,
    },
    /// Log the changed roll-out.
    Announce(Box<MoveView>),
}

struct OrderedRollout {
    position: StorePosition,
    order: RolloutOrder,
    move_id: MoveId,
    /// Phase that was recorded last.
    phase: Option<RolloutPhase>,
    /// Versions that get no requests.
    rejected: Arc<BTreeSet<EndpointVersion>>,
    /// Whether all requests may go to the target, as there is no other choice.
    is_only_choice: bool,
}

/// Roll-outs known to a node, one per service.
pub struct Rollouts {
    table: MoveTable,
    open_trials: OpenTrials,
    ordered: BTreeMap<ServiceName, OrderedRollout>,
    history: BTreeMap<ServiceName, VersionHistory>,
    /// Versions of the listed endpoints.
    listed: BTreeMap<ServiceName, BTreeSet<EndpointVersion>>,
}

impl Rollouts {
    /// Creates an empty set; `observer` identifies this incarnation of this node.
    pub fn new(observer: Observer) -> Self {
        Self {
            table: MoveTable::new(observer),
            open_trials: OpenTrials::default(),
            ordered: BTreeMap::new(),
            history: BTreeMap::new(),
            listed: BTreeMap::new(),
        }
    }

    /// Applies an order from a store position. `phase` is the status of this order in the
    /// store. The order holds whether or not endpoints of any version are listed: they may
    /// have lapsed, and their versions are compared with the target once they are back.
    ///
    /// # Errors
    /// The service's name is too long to name a move.
    pub fn apply_order(
        &mut self,
        now: MonoTime,
        position: StorePosition,
        order: RolloutOrder,
        exposure_limit: ExposureLimit,
        phase: Option<RolloutPhase>,
    ) -> Result<Vec<RolloutEffect>, ParseIdError> {
        let known = self.ordered.get(&order.service);
        if known.is_some_and(|known| known.position >= position) {
            return Ok(Vec::new());
        }
        let plan = plan(position, &order, exposure_limit)?;
        let move_id = plan.id.clone();
        let mut effects = Vec::new();
        if let Some(end) = phase.and_then(recorded_end) {
            let recorded = MoveInput::Recorded {
                move_id: move_id.clone(),
                end,
            };
            effects.extend(self.table.handle(now, recorded));
        }
        let service = order.service.clone();
        let ordered = OrderedRollout {
            position,
            order,
            move_id,
            phase,
            rejected: Arc::default(),
            is_only_choice: false,
        };
        if let Some(replaced) = self.ordered.insert(service.clone(), ordered) {
            self.record_replaced(&replaced);
        }
        let template = MoveInput::Template {
            workspace: plan.workspace.clone(),
            plan: Some(plan),
        };
        effects.extend(self.table.handle(now, template));
        self.apply_history(&service);
        Ok(self.translate(effects))
    }

    /// Records what is known of an order that another one has replaced.
    fn record_replaced(&mut self, replaced: &OrderedRollout) {
        let order = &replaced.order;
        let phase = replaced.phase.unwrap_or(RolloutPhase::Running);
        let history = self.history.entry(order.service.clone()).or_default();
        history.record(&order.target, EndedOrder::new(replaced.position, phase));
        history.record_served(self.table.replaced_versions(&replaced.move_id));
    }

    /// Records an order that another one has replaced before it was applied.
    pub fn record_unapplied(&mut self, position: StorePosition, order: &RolloutOrder) {
        let history = self.history.entry(order.service.clone()).or_default();
        let ended = EndedOrder::new(position, RolloutPhase::Running);
        history.record(&order.target, ended);
    }

    /// Services whose orders in force depend on the versions that are listed.
    pub fn services_with_history(&self) -> impl Iterator<Item = &ServiceName> {
        self.history.keys()
    }

    /// Records the versions of a service's listed endpoints; returns whether that changes
    /// which versions get requests.
    pub fn observe_versions(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        listed: BTreeSet<EndpointVersion>,
    ) -> bool {
        if self.listed.get(service) == Some(&listed) {
            return false;
        }
        self.listed.insert(service.clone(), listed);
        let before = self.rules(now).remove(service);
        self.apply_history(service);
        before != self.rules(now).remove(service)
    }

    /// Applies to the order in force how earlier ones have ended.
    fn apply_history(&mut self, service: &ServiceName) {
        let (Some(ordered), Some(history)) =
            (self.ordered.get_mut(service), self.history.get(service))
        else {
            return;
        };
        let listed = self.listed.get(service).cloned().unwrap_or_default();
        let target = &ordered.order.target;
        ordered.is_only_choice = history.is_only_choice(target, &listed);
        let rejected = history.rejected(target, &listed);
        self.table.reject(&ordered.move_id, rejected.clone());
        ordered.rejected = Arc::new(rejected);
    }

    /// Ends of earlier orders of a service, for other nodes.
    pub fn ended_orders(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&EndpointVersion, &EndedOrder)> {
        self.history
            .get(service)
            .into_iter()
            .flat_map(VersionHistory::ended)
    }

    /// Merges another node's knowledge of orders earlier than the one in force; returns
    /// whether that changes which versions get requests.
    pub fn merge_ended_orders(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        order_position: StorePosition,
        ended: &[(EndpointVersion, EndedOrder)],
    ) -> bool {
        let ordered = self.ordered.get(service);
        if ended.is_empty() || ordered.is_none_or(|it| it.position != order_position) {
            return false;
        }
        let before = self.rules(now).remove(service);
        let history = self.history.entry(service.clone()).or_default();
        let earlier = ended.iter().filter(|it| it.1.position < order_position);
        earlier.for_each(|(version, order)| history.record(version, *order));
        self.apply_history(service);
        before != self.rules(now).remove(service)
    }

    /// Records the position of the order in force in a store that was restored. The roll-out
    /// goes on as it was.
    pub fn move_order(&mut self, service: &ServiceName, position: StorePosition) {
        if let Some(ordered) = self.ordered.get_mut(service) {
            ordered.position = ordered.position.max(position);
        }
    }

    /// Effect that writes the phase of the order in force again, for a store that has lost
    /// it; `None` if no phase was recorded.
    pub fn record_again(&self, service: &ServiceName) -> Option<RolloutEffect> {
        let ordered = self.ordered.get(service)?;
        Some(ordered.record(ordered.phase?))
    }

    /// Final status of the order in force, if it has ended.
    pub fn end_of(&self, service: &ServiceName) -> Option<RolloutStatus> {
        let ordered = self.ordered.get(service)?;
        let phase = ordered.phase.filter(|it| *it != RolloutPhase::Running)?;
        Some(ordered.status(phase))
    }

    /// Applies the stored status of a service's current order.
    pub fn apply_phase(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        phase: RolloutPhase,
    ) -> Vec<RolloutEffect> {
        let (Some(ordered), Some(end)) = (self.ordered.get_mut(service), recorded_end(phase))
        else {
            return Vec::new();
        };
        ordered.phase = Some(phase);
        let move_id = ordered.move_id.clone();
        let effects = self.table.handle(now, MoveInput::Recorded { move_id, end });
        self.translate(effects)
    }

    /// Counts the result of an attempt for its version. A failure counts only once the
    /// endpoint has answered again: a crashed endpoint is no evidence against its
    /// version.
    pub fn record_trial(&mut self, now: MonoTime, trial: &VersionTrial) -> Vec<RolloutEffect> {
        let Some(counted) = trial.counted() else {
            return Vec::new();
        };
        let mut effects = self.table.handle(now, MoveInput::Trial(counted));
        if trial.latency.is_some() {
            let answered = MoveInput::EndpointAnswered(trial.endpoint.clone());
            effects.extend(self.table.handle(now, answered));
        }
        self.translate(effects)
    }

    /// Records the start of an attempt; `trial.latency` is not used.
    pub fn start_trial(&mut self, now: MonoTime, number: TrialNumber, trial: VersionTrial) {
        self.open_trials.start(now, number, trial);
    }

    /// Counts the result of a started attempt, unless the attempt is counted as slow
    /// already.
    pub fn end_trial(
        &mut self,
        now: MonoTime,
        number: TrialNumber,
        latency: Option<Micros>,
    ) -> Vec<RolloutEffect> {
        let Some(trial) = self.open_trials.end(number) else {
            return Vec::new();
        };
        self.record_trial(now, &VersionTrial { latency, ..trial })
    }

    /// Removes a started attempt that has no result.
    pub fn abandon_trial(&mut self, number: TrialNumber) {
        let _ = self.open_trials.end(number);
    }

    /// Counts the started attempts that are slow by now: callers wait already, and the
    /// result may come too late for the decision.
    fn count_late_trials(&mut self, now: MonoTime) -> Vec<MoveEffect> {
        let table = &self.table;
        let is_late = |trial: &VersionTrial| trial.counted().is_some_and(|it| table.is_slow(&it));
        let late = self.open_trials.take_late(now, is_late);
        let counted = late.iter().filter_map(VersionTrial::counted);
        counted
            .flat_map(|trial| self.table.handle(now, MoveInput::Trial(trial)))
            .collect()
    }

    /// Merges another node's evidence on an order.
    pub fn merge(
        &mut self,
        now: MonoTime,
        service: &ServiceName,
        order_position: StorePosition,
        elapsed_ms: Millis,
        evidence: &MoveEvidence,
    ) -> Vec<RolloutEffect> {
        let ordered = self.ordered.get(service);
        let Some(ordered) = ordered.filter(|it| it.position == order_position) else {
            return Vec::new();
        };
        let move_id = ordered.move_id.clone();
        let opened = MoveInput::OpenedBefore {
            move_id: move_id.clone(),
            elapsed_ms,
        };
        let mut effects = self.table.handle(now, opened);
        effects.extend(self.table.merge(now, &move_id, evidence));
        self.translate(effects)
    }

    /// Evidence on the open orders: service, store position of the order, time since
    /// the order was first seen, evidence.
    pub fn evidence(
        &self,
        now: MonoTime,
    ) -> Vec<(&ServiceName, StorePosition, Millis, &MoveEvidence)> {
        let elapsed: BTreeMap<MoveId, Millis> = self
            .table
            .views(now)
            .map(|view| (view.plan.id, view.elapsed_ms))
            .collect();
        let open = self.table.evidence().filter_map(|(move_id, evidence)| {
            let mut ordered = self.ordered.iter();
            let (service, ordered) = ordered.find(|(_, it)| it.move_id == *move_id)?;
            let elapsed_ms = elapsed.get(move_id).copied().unwrap_or_default();
            Some((service, ordered.position, elapsed_ms, evidence))
        });
        open.collect()
    }

    /// Whether any order is open.
    pub fn is_open(&self) -> bool {
        self.table.evidence().next().is_some()
    }

    /// Version rules for new requests, by service.
    pub fn rules(&self, now: MonoTime) -> BTreeMap<ServiceName, VersionRule> {
        let rules = self.ordered.iter().filter_map(|(service, ordered)| {
            let workspace = service.as_str().parse().ok()?;
            let target = ordered.order.target.clone();
            let share = self.table.share_of(now, &workspace, &target)?;
            let is_given_all = ordered.is_only_choice && share > Share::ZERO;
            let rule = VersionRule {
                target,
                share: if is_given_all { FULL_SHARE } else { share },
                rejected: Arc::clone(&ordered.rejected),
            };
            Some((service.clone(), rule))
        });
        rules.collect()
    }

    /// Time at which [`Rollouts::expire`] has to be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.table.next_deadline()
    }

    /// Handles expired deadlines.
    pub fn expire(&mut self, now: MonoTime) -> Vec<RolloutEffect> {
        if self.next_deadline().is_none_or(|deadline| deadline > now) {
            return Vec::new();
        }
        let mut effects = self.count_late_trials(now);
        effects.extend(self.table.expire(now));
        self.translate(effects)
    }

    fn translate(&mut self, effects: Vec<MoveEffect>) -> Vec<RolloutEffect> {
        let translated = effects.into_iter().filter_map(|effect| match effect {
            MoveEffect::RecordOpened(move_id) => self.record(&move_id, RolloutPhase::Running),
            MoveEffect::RecordEnd { move_id, end } => {
                let phase = match end.outcome {
                    MoveOutcome::Done => RolloutPhase::Done,
                    MoveOutcome::TakenBack => RolloutPhase::TakenBack,
                };
                self.record(&move_id, phase)
            }
            MoveEffect::Announce(view) => Some(RolloutEffect::Announce(view)),
        });
        translated.collect()
    }

    /// Effect that writes a status; `None` if a newer order has replaced this one.
    fn record(&mut self, move_id: &MoveId, phase: RolloutPhase) -> Option<RolloutEffect> {
        let mut ordered = self.ordered.values_mut();
        let ordered = ordered.find(|it| it.move_id == *move_id)?;
        ordered.phase = Some(phase);
        Some(ordered.record(phase))
    }
}

impl OrderedRollout {
    fn record(&self, phase: RolloutPhase) -> RolloutEffect {
        RolloutEffect::Record {
            order_position: self.position,
            status: self.status(phase),
        }
    }

    fn status(&self, phase: RolloutPhase) -> RolloutStatus {
        RolloutStatus {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            phase,
        }
    }
}

/// Plan of the move for an order.
fn plan(
    position: StorePosition,
    order: &RolloutOrder,
    exposure_limit: ExposureLimit,
) -> Result<MovePlan, ParseIdError> {
    let service = order.service.as_str();
    // The id is the same on nodes that know no era.
    let name = match position.era {
        StoreEra::ZERO => position.revision.to_string(),
        _ => position.to_string(),
    };
    Ok(MovePlan {
        id: format!("{service}:{name}").parse()?,
        workspace: service.parse()?,
        model: service.parse()?,
        from: ReplacedVersions::AllOthers {
            rejected: BTreeSet::new(),
        },
        to: order.target.clone(),
        deadline_ms: order.duration_ms,
        decision_ms: Millis::new(
            order
                .duration_ms
                .get()
                .saturating_mul(DECISION_TIME_PERCENT)
                / 100,
        ),
        canary_share: CANARY_SHARE.min(exposure_limit.share),
        tolerated_failures: TOLERATED_FAILURES,
        rejected_failures: REJECTED_FAILURES,
        slow_pace_percent: SLOW_LATENCY_PERCENT,
        has_once_only_operations: false,
        exposure_limit: Some(exposure_limit),
    })
}

/// End of the move that a stored phase stands for.
fn recorded_end(phase: RolloutPhase) -> Option<MoveEnd> {
    let outcome = match phase {
        RolloutPhase::Running => return None,
        RolloutPhase::Done => MoveOutcome::Done,
        RolloutPhase::TakenBack => MoveOutcome::TakenBack,
    };
    let reason = MoveReason::DecidedElsewhere;
    Some(MoveEnd { outcome, reason })
}
