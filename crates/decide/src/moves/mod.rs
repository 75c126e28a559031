//! Version moves: how much traffic a new version gets, and when its move is done
//! or rolled back (`taken_back`).
//!
//! Every node keeps a [`MoveTable`]. It counts the results of the node's own
//! attempts, merges the evidence of other nodes, and derives the share of the new
//! version from the merged evidence, the elapsed time and the deadline. There is
//! no leader: nodes with the same evidence compute the same share, and a veto of
//! one node spreads with its evidence. The first node to decide writes the end of
//! a move to the store. A decision takes effect immediately, even while the store
//! is unavailable.

mod evidence;
mod open_move;
mod pending_failures;
mod plan;
mod sequential_test;
mod share;
mod state_machine;

use std::collections::{BTreeMap, BTreeSet};

use parsleylatch_chart::ChartError;
use parsleylatch_types::{EndpointVersion, Millis, MonoTime, MoveId, Share, WorkspaceId};

pub use evidence::{EvidenceKey, MoveEvidence, Observer, TrialCounts, Veto};
pub use plan::{
    ExposureLimit, MoveEffect, MoveEnd, MoveInput, MoveOutcome, MovePlan, MoveReason, MoveView,
    ReplacedVersions, Trial,
};
pub use sequential_test::{
    FALSE_PASS_RATE, FALSE_PASS_RATE_ONCE_ONLY, FALSE_VETO_RATE, SequentialTest,
};
pub use share::{FULL_SHARE, ShareInputs};
pub use state_machine::{MoveEvent, MoveState};

use crate::version_choice::{CandidateVersion, VersionPlan};
use open_move::OpenMove;
use pending_failures::PendingFailures;
use state_machine::MoveEvent as Event;

/// Interval at which open moves are reviewed.
const REVIEW_INTERVAL_MS: Millis = Millis::new(250);

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    state_machine::verify_chart()
}

/// The moves known to a node; each workspace has at most one current move.
pub struct MoveTable {
    observer: Observer,
    moves: BTreeMap<MoveId, OpenMove>,
    current: BTreeMap<WorkspaceId, MoveId>,
    recorded: BTreeMap<MoveId, MoveEnd>,
    elapsed_before: BTreeMap<MoveId, Millis>,
    pending_failures: PendingFailures,
    next_review_at: Option<MonoTime>,
}

impl MoveTable {
    /// Creates a table without moves; `observer` is this node's current incarnation.
    pub fn new(observer: Observer) -> Self {
        Self {
            observer,
            moves: BTreeMap::new(),
            current: BTreeMap::new(),
            recorded: BTreeMap::new(),
            elapsed_before: BTreeMap::new(),
            pending_failures: PendingFailures::default(),
            next_review_at: None,
        }
    }

    /// Handles an input and returns the effects to carry out.
    pub fn handle(&mut self, now: MonoTime, input: MoveInput) -> Vec<MoveEffect> {
        match input {
            MoveInput::Template { workspace, plan } => self.apply_template(now, workspace, plan),
            MoveInput::OpenedBefore {
                move_id,
                elapsed_ms,
            } => {
                self.elapsed_before.insert(move_id.clone(), elapsed_ms);
                if let Some(open) = self.moves.get_mut(&move_id) {
                    open.set_elapsed(now, elapsed_ms);
                }
                Vec::new()
            }
            MoveInput::Recorded { move_id, end } => {
                self.recorded.insert(move_id.clone(), end);
                let open = self.moves.get_mut(&move_id);
                open.map(|open| open.apply_recorded_end(now, end))
                    .unwrap_or_default()
            }
            MoveInput::Trial(trial) => self.record_trial(now, trial),
            MoveInput::EndpointAnswered(endpoint) => {
                let failures = self.pending_failures.confirm(&endpoint);
                self.count_trials(now, &failures)
            }
            MoveInput::EndpointLost(endpoint) => {
                self.pending_failures.discard(&endpoint);
                Vec::new()
            }
            MoveInput::Evidence { move_id, evidence } => self.merge(now, &move_id, &evidence),
        }
    }

    /// Merges the evidence of another node and reviews the move.
    pub fn merge(
        &mut self,
        now: MonoTime,
        move_id: &MoveId,
        evidence: &MoveEvidence,
    ) -> Vec<MoveEffect> {
        let Some(open) = self.moves.get_mut(move_id) else {
            return Vec::new();
        };
        open.evidence.merge(evidence);
        open.review(now, &self.observer)
    }

    /// Evidence to send to other nodes: that on moves whose end is not in the store
    /// yet.
    pub fn evidence(&self) -> impl Iterator<Item = (&MoveId, &MoveEvidence)> {
        let open = self.moves.iter().filter(|(_, open)| !open.is_recorded());
        open.map(|(id, open)| (id, &open.evidence))
    }

    /// Sets the versions that a move does not replace, where it replaces all others.
    pub(crate) fn reject(&mut self, move_id: &MoveId, versions: BTreeSet<EndpointVersion>) {
        if let Some(open) = self.moves.get_mut(move_id) {
            open.plan.reject(versions);
        }
    }

    /// Versions that have run attempts beside the new one of a move.
    pub(crate) fn replaced_versions(&self, move_id: &MoveId) -> BTreeSet<EndpointVersion> {
        let open = self.moves.get(move_id);
        let counts = open.into_iter().flat_map(|it| it.evidence.counts());
        let versions = counts.map(|(key, _)| key.version.clone());
        let is_replaced =
            |version: &EndpointVersion| open.is_some_and(|it| it.plan.replaces(version));
        versions.filter(is_replaced).collect()
    }

    /// Whether an open move covers an attempt and its pace counts as slow.
    pub(crate) fn is_slow(&self, trial: &Trial) -> bool {
        let mut open = self.moves.values().filter(|open| !open.is_recorded());
        open.any(|open| open.plan.covers(trial) && open.is_slow(trial))
    }

    /// Time at which [`MoveTable::expire`] has to be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let timeouts = self
            .moves
            .values()
            .filter_map(|open| open.state_machine.next_deadline());
        timeouts
            .chain(self.pending_failures.next_deadline())
            .chain(self.next_review_at)
            .min()
    }

    /// Handles deadlines that have passed.
    pub fn expire(&mut self, now: MonoTime) -> Vec<MoveEffect> {
        let failures = self.pending_failures.expire(now);
        let mut effects = self.count_trials(now, &failures);
        for open in self.moves.values_mut() {
            effects.extend(open.review(now, &self.observer));
            effects.extend(open.expire(now));
        }
        let is_open = self.moves.values().any(|open| !open.is_recorded());
        self.next_review_at = is_open.then(|| now + REVIEW_INTERVAL_MS);
        effects
    }

    /// Share of a version in a workspace's new generations.
    pub fn share_of(
        &self,
        now: MonoTime,
        workspace: &WorkspaceId,
        version: &EndpointVersion,
    ) -> Option<Share> {
        let open = self.current_move(workspace)?;
        let share = open.share(now, self.pending_failures.failures());
        match () {
            () if open.plan.to == *version => Some(share),
            () if open.plan.replaces(version) => Some(FULL_SHARE.saturating_sub(share)),
            () => None,
        }
    }

    /// Versions for a workspace's new generations, if it has a current move.
    pub fn version_plan(&self, now: MonoTime, workspace: &WorkspaceId) -> Option<VersionPlan> {
        let open = self.current_move(workspace)?;
        let share = open.share(now, self.pending_failures.failures());
        let version = open.plan.to.clone();
        Some(match share {
            FULL_SHARE => VersionPlan {
                in_use: vec![version],
                candidate: None,
            },
            share => VersionPlan {
                in_use: open.plan.from.named().to_vec(),
                candidate: (share > Share::ZERO).then_some(CandidateVersion { version, share }),
            },
        })
    }

    /// All moves known to this node, as shown to operators.
    pub fn views(&self, now: MonoTime) -> impl Iterator<Item = MoveView> {
        self.moves
            .values()
            .map(move |open| open.view(now, open.share(now, self.pending_failures.failures())))
    }

    fn current_move(&self, workspace: &WorkspaceId) -> Option<&OpenMove> {
        self.moves.get(self.current.get(workspace)?)
    }

    fn apply_template(
        &mut self,
        now: MonoTime,
        workspace: WorkspaceId,
        plan: Option<MovePlan>,
    ) -> Vec<MoveEffect> {
        let wanted = plan.as_ref().map(|plan| &plan.id);
        if self.current.get(&workspace) == wanted {
            return Vec::new();
        }
        let mut effects = Vec::new();
        let replaced = self.current.remove(&workspace);
        if let Some(open) = replaced.and_then(|id| self.moves.get_mut(&id)) {
            effects.extend(open.step(now, Event::Replaced));
        }
        if let Some(plan) = plan {
            self.current.insert(workspace, plan.id.clone());
            effects.extend(self.open(now, plan));
        }
        effects
    }

    fn open(&mut self, now: MonoTime, plan: MovePlan) -> Vec<MoveEffect> {
        let id = plan.id.clone();
        let mut open = OpenMove::new(now, plan);
        if let Some(elapsed_ms) = self.elapsed_before.get(&id) {
            open.set_elapsed(now, *elapsed_ms);
        }
        let effects = match self.recorded.get(&id) {
            Some(end) => open.apply_recorded_end(now, *end),
            None => {
                self.next_review_at.get_or_insert(now + REVIEW_INTERVAL_MS);
                let view = open.view(now, open.share(now, self.pending_failures.failures()));
                vec![
                    MoveEffect::RecordOpened(id.clone()),
                    MoveEffect::Announce(Box::new(view)),
                ]
            }
        };
        self.moves.insert(id, open);
        effects
    }

    fn record_trial(&mut self, now: MonoTime, trial: Trial) -> Vec<MoveEffect> {
        let is_covered = self.moves.values().any(|open| open.plan.covers(&trial));
        match (is_covered, trial.failed) {
            (false, _) => Vec::new(),
            (true, false) => self.count_trials(now, &[trial]),
            (true, true) => {
                self.pending_failures.add(now, trial);
                Vec::new()
            }
        }
    }

    fn count_trials(&mut self, now: MonoTime, trials: &[Trial]) -> Vec<MoveEffect> {
        if trials.is_empty() {
            return Vec::new();
        }
        let mut effects = Vec::new();
        for open in self.moves.values_mut().filter(|open| !open.is_recorded()) {
            for trial in trials {
                open.add_trial(&self.observer, trial);
            }
            effects.extend(open.review(now, &self.observer));
        }
        effects
    }
}
