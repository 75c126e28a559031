//! The life of a suspected prompt part: the chart `prompt_part`.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Millis, MonoTime};

use crate::charts::{self, LazyMachine};

chart_names! {
    /// What is decided on a prompt part.
    pub enum PromptPartState {
        /// An endpoint crashed at a request with the part.
        Suspected,
        /// The evidence suffices, and is left some time for its refutation.
        Confirming,
        /// Requests with the part are refused.
        Quarantined,
        /// An endpoint has begun an answer on the part since the crashes.
        Cleared,
        /// The crashes are too long ago.
        Forgotten,
    }
}

chart_names! {
    /// Events of a prompt part.
    pub(super) enum PromptPartEvent {
        /// The evidence was reviewed.
        Reviewed,
        /// The time for a refutation is over.
        TimedOut,
    }
}

/// Evidence on a part at a review.
#[derive(Clone, Copy, Debug)]
pub(super) struct PartFacts {
    pub(super) now: MonoTime,
    /// Whether a crash speaks against the part.
    pub(super) is_accused: bool,
    /// Whether a crash was refuted by an answer.
    pub(super) has_answer: bool,
    /// When the quarantine takes effect, if the part is blamed.
    pub(super) confirmed_at: Option<MonoTime>,
}

static MACHINE: LazyMachine<PromptPartState, PromptPartEvent, PartFacts> = LazyMachine::new(|| {
    let bindings = Bindings::<PartFacts>::new()
        .guard("is_cleared", |facts| !facts.is_accused && facts.has_answer)
        .guard("has_no_crash", |facts| !facts.is_accused)
        .guard("is_blamed", |facts| facts.confirmed_at.is_some())
        .duration("confirmation_time", PartFacts::confirmation_time);
    charts::compile(charts::PROMPT_PART, &bindings)
});

fn machine() -> &'static Machine<PromptPartState, PromptPartEvent, PartFacts> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

impl PartFacts {
    fn confirmation_time(&self) -> Millis {
        let confirmed_at = self.confirmed_at.unwrap_or(self.now);
        // Rounded up, so that the time has come at the deadline.
        Millis::new(confirmed_at.since(self.now).get().div_ceil(1_000))
    }
}

/// A suspected part.
#[derive(Clone, Copy, Debug)]
pub(super) struct SuspectedPart {
    instance: Instance<PromptPartState>,
}

impl SuspectedPart {
    pub(super) fn start(mut facts: PartFacts) -> Self {
        let instance = machine().start(facts.now, &mut facts);
        Self { instance }
    }

    pub(super) fn review(&mut self, mut facts: PartFacts) {
        let event = PromptPartEvent::Reviewed;
        machine().step(&mut self.instance, facts.now, event, &mut facts);
        machine().expire(&mut self.instance, facts.now, &mut facts);
    }

    pub(super) fn state(&self) -> PromptPartState {
        self.instance.state()
    }

    pub(super) fn is_over(&self) -> bool {
        machine().is_final(&self.instance)
    }

    pub(super) fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }
}
