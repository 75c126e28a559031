//! State machine of one move: the bindings of its chart and their context.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Millis, MonoTime};

use super::plan::{MoveEnd, MoveOutcome, MoveReason};
use crate::charts::{self, LazyMachine};

chart_names! {
    /// States of a version move.
    pub enum MoveState {
        /// The new version gets a small share.
        Observing,
        /// The new version has passed; its share grows.
        Growing,
        /// The new version gets all traffic; the outcome is not in the store yet.
        RecordingDone,
        /// The new version gets no traffic; the outcome is not in the store yet.
        RecordingTakenBack,
        /// The new version is the only one in use.
        Done,
        /// The new version gets no traffic.
        TakenBack,
    }
}

chart_names! {
    /// Events of a version move.
    pub enum MoveEvent {
        /// The sequential test passed the new version.
        Passed,
        /// The new version has had all traffic for long enough.
        Completed,
        /// The evidence contains a veto.
        Vetoed,
        /// The deadline has passed.
        TimedOut,
        /// Another template was accepted.
        Replaced,
        /// The store records the move as done.
        RecordedDone,
        /// The store records the move as rolled back.
        RecordedTakenBack,
    }
}

/// What a transition requests from the move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TransitionEffect {
    RecordEnd(MoveEnd),
    Announce,
}

pub(crate) struct MoveContext {
    now: MonoTime,
    started_at: MonoTime,
    elapsed_before_ms: Millis,
    deadline_ms: Millis,
    pub(crate) reason: Option<MoveReason>,
    effects: Vec<TransitionEffect>,
}

impl MoveContext {
    /// Time for which the move has been open.
    pub(crate) fn elapsed_ms(&self, now: MonoTime) -> Millis {
        let here = now.since(self.started_at).millis();
        here.saturating_add(self.elapsed_before_ms)
    }

    fn time_left(&self) -> Millis {
        self.deadline_ms.saturating_sub(self.elapsed_ms(self.now))
    }

    fn record(&mut self, outcome: MoveOutcome, reason: MoveReason) {
        self.reason = Some(reason);
        let end = MoveEnd { outcome, reason };
        self.effects.push(TransitionEffect::RecordEnd(end));
        self.announce();
    }

    fn announce(&mut self) {
        self.effects.push(TransitionEffect::Announce);
    }
}

static MACHINE: LazyMachine<MoveState, MoveEvent, MoveContext> = LazyMachine::new(|| {
    let bindings = Bindings::<MoveContext>::new()
        .duration("time_left", MoveContext::time_left)
        .action("announce_growing", MoveContext::announce)
        .action("announce_done", MoveContext::announce)
        .action("announce_taken_back", MoveContext::announce)
        .action("reason_vetoed", |it| it.reason = Some(MoveReason::Vetoed))
        .action("reason_too_little_evidence", |it| {
            it.reason = Some(MoveReason::TooLittleEvidence);
        })
        .action("reason_template_replaced", |it| {
            it.reason = Some(MoveReason::TemplateReplaced);
        })
        .action("record_done", |it| {
            it.record(MoveOutcome::Done, MoveReason::Proved);
        })
        .action("record_taken_back", |it| {
            let reason = it.reason.unwrap_or(MoveReason::DecidedElsewhere);
            it.record(MoveOutcome::TakenBack, reason);
        });
    charts::compile(charts::VERSION_MOVE, &bindings)
});

fn machine() -> &'static Machine<MoveState, MoveEvent, MoveContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

/// State of one move on this node.
pub(crate) struct MoveStateMachine {
    instance: Instance<MoveState>,
    pub(crate) context: MoveContext,
}

impl MoveStateMachine {
    /// Starts in the initial state, for a move that was opened `elapsed_before_ms` ago.
    pub(crate) fn start(now: MonoTime, elapsed_before_ms: Millis, deadline_ms: Millis) -> Self {
        let mut context = MoveContext {
            now,
            started_at: now,
            elapsed_before_ms,
            deadline_ms,
            reason: None,
            effects: Vec::new(),
        };
        let instance = machine().start(now, &mut context);
        Self { instance, context }
    }

    pub(crate) fn state(&self) -> MoveState {
        self.instance.state()
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    /// Handles an event and returns the effects that it requests.
    pub(crate) fn handle(&mut self, now: MonoTime, event: MoveEvent) -> Vec<TransitionEffect> {
        self.context.now = now;
        machine().step(&mut self.instance, now, event, &mut self.context);
        std::mem::take(&mut self.context.effects)
    }

    pub(crate) fn expire(&mut self, now: MonoTime) -> Vec<TransitionEffect> {
        self.context.now = now;
        machine().expire(&mut self.instance, now, &mut self.context);
        std::mem::take(&mut self.context.effects)
    }
}
