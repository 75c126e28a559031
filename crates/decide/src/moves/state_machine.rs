//! Life of one move: its chart, and what the chart's guards and actions need.

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
        /// The new version has all; the store does not say so yet.
        RecordingDone,
        /// The new version gets nothing; the store does not say so yet.
        RecordingTakenBack,
        /// The new version is the only one in use.
        Done,
        /// The new version gets nothing.
        TakenBack,
    }
}

chart_names! {
    /// Events of a version move.
    pub enum MoveEvent {
        /// The sequential test passed the new version.
        Passed,
        /// The new version has had the whole traffic for long enough.
        Completed,
        /// The evidence has a veto.
        Vetoed,
        /// The deadline came.
        TimedOut,
        /// Another template was accepted.
        Replaced,
        /// The store says that the move is done.
        RecordedDone,
        /// The store says that the move is taken back.
        RecordedTakenBack,
    }
}

/// What a step of a life asks for.
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
        .action("set_reason_vetoed", |it| {
            it.reason = Some(MoveReason::Vetoed)
        })
        .action("set_reason_too_little_evidence", |it| {
            it.reason = Some(MoveReason::TooLittleEvidence);
        })
        .action("set_reason_template_replaced", |it| {
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

/// Life of one move on this node.
pub(crate) struct MoveStateMachine {
    instance: Instance<MoveState>,
    pub(crate) context: MoveContext,
}

impl MoveStateMachine {
    /// Starts the life of a move that has been open for a while.
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

    /// Steps and returns what the step asks for.
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
