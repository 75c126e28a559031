//! One move on this node: its evidence, CUSUM scores and state.

use std::collections::BTreeMap;

use parsleylatch_types::{Micros, Millis, MonoTime, RequestCount, RouteName, Share};

use super::{
    evidence::{EvidenceKey, MoveEvidence, Observer, TrialCounts, Veto},
    plan::{MoveEffect, MoveEnd, MoveOutcome, MovePlan, MoveView, Trial},
    sequential_test::{CusumScore, SequentialTest},
    share::{FULL_SHARE, ShareInputs},
    state_machine::{MoveEvent, MoveState, MoveStateMachine, TransitionEffect},
};

/// Attempts on the old versions of a route that are needed for a mean pace.
const PACE_BASELINE_TRIALS: RequestCount = RequestCount::new(5);
/// Highest score of a route of a version that passes: one bad attempt on a route with few
/// requests is no evidence against the version.
const MAX_ROUTE_SCORE: f64 = 2.31;
/// Attempts on the new version whose mean pace is compared with that of the old ones.
const MEAN_PACE_TRIALS: RequestCount = RequestCount::new(10);
/// Mean pace of a worse version, relative to that of the old ones.
const WORSE_MEAN_PACE_PERCENT: u64 = 130;
/// An attempt that exceeds the mean pace by no more than this is not slow.
const SLOW_PACE_SLACK_US: Micros = Micros::new(3_000);

pub(crate) struct OpenMove {
    pub(crate) plan: MovePlan,
    pub(crate) evidence: MoveEvidence,
    scores: BTreeMap<RouteName, CusumScore>,
    /// Score of all routes together.
    total_score: CusumScore,
    pub(crate) state_machine: MoveStateMachine,
}

impl OpenMove {
    pub(crate) fn new(now: MonoTime, plan: MovePlan) -> Self {
        Self {
            state_machine: MoveStateMachine::start(now, Millis::ZERO, plan.decision_ms),
            plan,
            evidence: MoveEvidence::default(),
            scores: BTreeMap::new(),
            total_score: CusumScore::default(),
        }
    }

    /// Whether the outcome is in the store, as far as this node knows.
    pub(crate) fn is_recorded(&self) -> bool {
        matches!(
            self.state_machine.state(),
            MoveState::Done | MoveState::TakenBack
        )
    }

    /// Sets how long the move has been open, if that is longer than known so far,
    /// and restarts the chart's timeout with the remaining time.
    pub(crate) fn set_elapsed(&mut self, now: MonoTime, elapsed_ms: Millis) {
        let is_longer = elapsed_ms > self.state_machine.context.elapsed_ms(now);
        if is_longer && self.state_machine.state() == MoveState::Observing {
            self.state_machine = MoveStateMachine::start(now, elapsed_ms, self.plan.decision_ms);
        }
    }

    /// Counts an attempt if it ran on one of the move's versions.
    pub(crate) fn add_trial(&mut self, observer: &Observer, trial: &Trial) {
        if !self.plan.covers(trial) {
            return;
        }
        let key = EvidenceKey {
            version: trial.version.clone(),
            route: trial.route.clone(),
            observer: observer.clone(),
        };
        let one_if = |condition: bool| RequestCount::new(u64::from(condition));
        let counts = TrialCounts {
            trials: RequestCount::new(1),
            failures: one_if(trial.failed),
            slow: one_if(!trial.failed && self.is_slow(trial)),
            paced: one_if(trial.pace_us.is_some()),
            pace_total_us: trial.pace_us.unwrap_or_default(),
        };
        self.evidence.add(key, counts);
    }

    /// Updates the scores, and vetoes, passes or completes the move accordingly.
    pub(crate) fn review(&mut self, now: MonoTime, observer: &Observer) -> Vec<MoveEffect> {
        let test = self.sequential_test(now);
        self.update_scores(&test, observer);
        let mut effects = Vec::new();
        if self.evidence.veto().is_some() {
            effects.extend(self.step(now, MoveEvent::Vetoed));
        }
        let has_worse_pace = self.has_worse_pace(&self.share_inputs(now, &test));
        if self.state_machine.state() == MoveState::Growing && has_worse_pace {
            effects.extend(self.step(now, MoveEvent::Vetoed));
        }
        if self.state_machine.state() == MoveState::Observing
            && !has_worse_pace
            && self.has_passed(&test)
        {
            effects.extend(self.step(now, MoveEvent::Passed));
        }
        if self.state_machine.state() == MoveState::Growing
            && self.share_inputs(now, &test).is_complete()
        {
            effects.extend(self.step(now, MoveEvent::Completed));
        }
        effects
    }

    /// Vetoes the version if it is bad on a route, or on all routes together: a service
    /// with few requests has too few trials on each of its routes.
    fn update_scores(&mut self, test: &SequentialTest, observer: &Observer) {
        let routes = self.evidence.by_route(&self.plan.to);
        let old_by_route = self.plan.old_counts_by_route(&self.evidence);
        let total = self.evidence.total(&self.plan.to);
        let is_bad_in_total = self.total_score.update(test, total) >= test.veto_threshold();
        let worst_route = routes.iter().max_by_key(|(_, counts)| counts.bad());
        let mut vetoed: Vec<RouteName> = worst_route
            .filter(|_| is_bad_in_total)
            .map(|(route, _)| route.clone())
            .into_iter()
            .collect();
        for (route, counts) in routes {
            let old = old_by_route.get(&route).copied().unwrap_or_default();
            let test = self.test_against(old);
            let score = self.scores.entry(route.clone()).or_default();
            if score.update(&test, counts) >= test.veto_threshold() {
                vetoed.push(route);
            }
        }
        for route in vetoed {
            let observer = observer.clone();
            self.evidence.add_veto(Veto { route, observer });
        }
    }

    pub(crate) fn apply_recorded_end(&mut self, now: MonoTime, end: MoveEnd) -> Vec<MoveEffect> {
        if !self.is_recorded() {
            self.state_machine.context.reason = Some(end.reason);
        }
        self.step(
            now,
            match end.outcome {
                MoveOutcome::Done => MoveEvent::RecordedDone,
                MoveOutcome::TakenBack => MoveEvent::RecordedTakenBack,
            },
        )
    }

    pub(crate) fn step(&mut self, now: MonoTime, event: MoveEvent) -> Vec<MoveEffect> {
        let requested = self.state_machine.handle(now, event);
        self.effects_of(now, requested)
    }

    pub(crate) fn expire(&mut self, now: MonoTime) -> Vec<MoveEffect> {
        let requested = self.state_machine.expire(now);
        self.effects_of(now, requested)
    }

    /// Share of the new version. `pending` are failures that are not counted yet; if
    /// they alone were enough for a veto, the share is already zero.
    pub(crate) fn share<'a, Failures>(&self, now: MonoTime, pending: Failures) -> Share
    where
        Failures: Iterator<Item = &'a Trial>,
    {
        let test = self.sequential_test(now);
        let by_evidence = match self.state_machine.state() {
            MoveState::Observing => self.share_inputs(now, &test).observing_share(&test),
            MoveState::Growing => self.share_inputs(now, &test).growing_share(),
            MoveState::RecordingDone | MoveState::Done => return FULL_SHARE,
            MoveState::RecordingTakenBack | MoveState::TakenBack => return Share::ZERO,
        };
        let is_new = |trial: &&Trial| trial.version == self.plan.to && self.plan.covers(trial);
        let failures = RequestCount::new(pending.filter(is_new).count() as u64);
        let pending_counts = TrialCounts {
            trials: failures,
            failures,
            ..TrialCounts::default()
        };
        match test.score(pending_counts) >= test.veto_threshold() {
            true => Share::ZERO,
            false => by_evidence,
        }
    }

    pub(crate) fn view(&self, now: MonoTime, share: Share) -> MoveView {
        MoveView {
            plan: self.plan.clone(),
            state: self.state_machine.state(),
            share,
            counts: self.evidence.total(&self.plan.to),
            reason: self.state_machine.context.reason,
            vetoed_route: self.evidence.veto().map(|veto| veto.route.clone()),
            elapsed_ms: self.state_machine.context.elapsed_ms(now),
        }
    }

    fn effects_of(&self, now: MonoTime, requested: Vec<TransitionEffect>) -> Vec<MoveEffect> {
        let move_id = self.plan.id.clone();
        let effects = requested.into_iter().map(|effect| match effect {
            TransitionEffect::RecordEnd(end) => MoveEffect::RecordEnd {
                move_id: move_id.clone(),
                end,
            },
            TransitionEffect::Announce => {
                let share = self.share(now, std::iter::empty());
                MoveEffect::Announce(Box::new(self.view(now, share)))
            }
        });
        effects.collect()
    }

    fn sequential_test(&self, now: MonoTime) -> SequentialTest {
        let test = self.test_against(self.plan.old_counts(&self.evidence));
        match self.share_inputs(now, &test).has_little_traffic() {
            true => test.with_little_traffic(),
            false => test,
        }
    }

    /// Test against the old versions of one route, or of all: those of one route may fail
    /// more often.
    fn test_against(&self, old: TrialCounts) -> SequentialTest {
        SequentialTest::new(
            self.plan.tolerated_failures,
            self.plan.rejected_failures,
            old,
            self.plan.has_once_only_operations,
        )
    }

    /// Whether the version's mean pace is worse than the old one's although no single
    /// attempt is slow; a service with little traffic passes with too few attempts for
    /// slow ones to show.
    fn has_worse_pace(&self, inputs: &ShareInputs) -> bool {
        let is_counted = inputs.new.paced >= MEAN_PACE_TRIALS && inputs.has_little_traffic();
        let means = inputs.new.mean_pace_us().zip(inputs.old.mean_pace_us());
        is_counted
            && means.is_some_and(|(new, old)| {
                new.saturating_mul(100) > old.saturating_mul(WORSE_MEAN_PACE_PERCENT)
            })
    }

    /// Whether the version passes on all routes together and no single route
    /// has a clear score against it.
    fn has_passed(&self, test: &SequentialTest) -> bool {
        let routes = self.evidence.by_route(&self.plan.to);
        let total = self.evidence.total(&self.plan.to);
        let old_by_route = self.plan.old_counts_by_route(&self.evidence);
        let no_route_is_bad = routes.iter().all(|(route, counts)| {
            let old = old_by_route.get(route).copied().unwrap_or_default();
            self.test_against(old).score(*counts) <= MAX_ROUTE_SCORE
        });
        no_route_is_bad && test.score(total) <= test.pass_threshold()
    }

    fn share_inputs(&self, now: MonoTime, test: &SequentialTest) -> ShareInputs {
        ShareInputs {
            old: self.plan.old_counts(&self.evidence),
            new: self.evidence.total(&self.plan.to),
            elapsed_ms: self.state_machine.context.elapsed_ms(now),
            deadline_ms: self.plan.deadline_ms,
            canary_share: self.plan.canary_share,
            pass_trials: test.trials_to_pass(TrialCounts::default()),
            exposure_limit: self.plan.exposure_limit,
        }
    }

    /// Whether an attempt was slow compared with the pace of the old versions on its
    /// route. Attempts on the old versions are classified in the same way, so that
    /// noise that slows down all versions raises the tolerated rate.
    pub(crate) fn is_slow(&self, trial: &Trial) -> bool {
        let old = self.plan.old_counts_on(&self.evidence, &trial.route);
        let baseline_pace = old.mean_pace_us();
        let baseline_pace = baseline_pace.filter(|_| old.paced >= PACE_BASELINE_TRIALS);
        let percent = u64::from(self.plan.slow_pace_percent.get());
        baseline_pace
            .zip(trial.pace_us)
            .is_some_and(|(mean, pace)| {
                pace.saturating_mul(100) > mean.saturating_mul(percent)
                    && pace > mean.saturating_add(SLOW_PACE_SLACK_US)
            })
    }
}
