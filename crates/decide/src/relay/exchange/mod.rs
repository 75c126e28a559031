//! One relayed request: placed, sent, sent again where that is allowed, and
//! answered once.
//!
//! Two questions decide what may follow a failure: whether the request may have
//! run, and whether it may run again. A refusal that promises "not run" is
//! given only if no attempt may have run.

mod context;
mod message;

use std::sync::Arc;

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Micros, MonoTime};

use super::{copy::MemoryCopy, endpoint_table::EndpointEntry, stall_detector::StallDetector};
use crate::charts::{self, LazyMachine};
use context::ExchangeContext;

pub use message::{ExchangeEffect, ExchangeInput, ExchangeSpec, RefusalReason, ResponseClass};

chart_names! {
    /// States of an exchange.
    pub enum ExchangeState {
        /// An endpoint is chosen.
        Placing,
        /// No endpoint may take it now.
        AwaitingEndpoint,
        /// An endpoint has it, nothing of the answer is here.
        AwaitingResponse,
        /// As before, and a probe asks whether the endpoint lives.
        Probing,
        /// Events come.
        Streaming,
        /// As before, and a probe asks whether the endpoint lives.
        StreamProbing,
        /// The caller has an endpoint's answer.
        Answered,
        /// The caller has the whole stream.
        Finished,
        /// The caller was refused.
        Refused,
        /// The stream was broken off.
        BrokenOff,
        /// The caller left.
        Cancelled,
    }
}

chart_names! {
    /// Events of an exchange.
    pub(crate) enum ExchangeEvent {
        /// An endpoint was chosen.
        Placed,
        /// No endpoint may take it.
        Unplaced,
        /// A whole answer came.
        Answered,
        /// A whole answer came that tells a failure.
        Errored,
        /// The endpoint said that it did not run the request.
        Rejected,
        /// Nothing was written to the endpoint.
        Unsent,
        /// The attempt broke after it was sent.
        Lost,
        /// The first event came.
        Began,
        /// A further event came.
        Progressed,
        /// The stream is whole.
        Finished,
        /// The probe was answered.
        ProbeAnswered,
        /// The probe was not answered.
        ProbeFailed,
        /// The state lasted too long.
        TimedOut,
        /// The state lasted too long while this process did not run.
        ProcessPaused,
        /// The caller's or the route's time is over.
        DeadlinePassed,
        /// The caller left.
        CallerGone,
    }
}

static MACHINE: LazyMachine<ExchangeState, ExchangeEvent, ExchangeContext> =
    LazyMachine::new(|| {
        let bindings = Bindings::<ExchangeContext>::new()
            .duration("response_timeout", ExchangeContext::response_timeout)
            .duration("event_timeout", |it| {
                it.stall_detector.stall_timeout(it.spec.gap_goal_ms)
            })
            .guard("may_wait", ExchangeContext::may_wait)
            .guard("has_begun", |it| it.has_begun)
            .guard("has_error_response", |it| it.has_error_response)
            .guard("may_repeat", |it| it.may_retry && it.is_repeatable())
            .guard("is_repeatable", ExchangeContext::is_repeatable)
            .guard("has_begun_and_repeatable", |it| {
                it.has_begun && it.is_repeatable()
            })
            .guard("may_resend", |it| it.may_retry && it.is_resendable())
            .guard("is_overdue", |it| {
                it.may_retry && it.is_repeatable() && it.is_overdue()
            })
            .guard("may_probe", |it| it.spec.repeat.is_stream())
            .action("request_placement", ExchangeContext::request_placement)
            .action("open_attempt", ExchangeContext::open_attempt)
            .action("send_probe", |it| it.effects.push(ExchangeEffect::Probe))
            .action("forward_response", |it| {
                it.effects.push(ExchangeEffect::ForwardResponse);
            })
            .action("begin_stream", ExchangeContext::begin_stream)
            .action("finish", |it| it.effects.push(ExchangeEffect::Finish))
            .action("break_off", |it| it.effects.push(ExchangeEffect::BreakOff))
            .action("record_possible_run", ExchangeContext::record_possible_run)
            .action("record_not_run", ExchangeContext::record_not_run)
            .action("refuse_no_endpoint", |it| {
                it.refuse(RefusalReason::NoEndpoint)
            })
            .action("refuse_rejected", |it| it.refuse(RefusalReason::Rejected))
            .action("refuse_answer_lost", |it| {
                it.refuse(RefusalReason::AnswerLost)
            })
            .action("refuse_deadline_passed", |it| {
                it.refuse(RefusalReason::DeadlinePassed);
            });
        charts::compile(charts::EXCHANGE, &bindings)
    });

fn machine() -> &'static Machine<ExchangeState, ExchangeEvent, ExchangeContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

/// One relayed request.
pub struct Exchange {
    instance: Instance<ExchangeState>,
    context: ExchangeContext,
    running: Option<Arc<EndpointEntry>>,
}

impl Exchange {
    /// Starts the exchange.
    pub fn start(now: MonoTime, spec: ExchangeSpec) -> (Self, Vec<ExchangeEffect>) {
        let mut context = ExchangeContext {
            spec,
            started_at: now,
            now,
            sent_at: now,
            unplaced_since: None,
            runs: 0,
            not_run_attempts: 0,
            failed: Vec::new(),
            choice: None,
            live_copy: None,
            copy: None,
            has_begun: false,
            has_error_response: false,
            attempt_began: false,
            may_retry: false,
            last_event_at: now,
            stall_detector: StallDetector::default(),
            effects: Vec::new(),
        };
        let instance = machine().start(now, &mut context);
        let effects = std::mem::take(&mut context.effects);
        let exchange = Self {
            instance,
            context,
            running: None,
        };
        (exchange, effects)
    }

    /// State.
    pub fn state(&self) -> ExchangeState {
        self.instance.state()
    }

    /// Whether it has ended.
    pub fn is_over(&self) -> bool {
        machine().is_final(&self.instance)
    }

    /// Whether the caller's stream has begun.
    pub fn has_begun(&self) -> bool {
        self.context.has_begun
    }

    /// Attempts that may have run.
    pub fn runs(&self) -> u32 {
        self.context.runs
    }

    /// Time since the start.
    pub fn age(&self, now: MonoTime) -> Micros {
        now.since(self.context.started_at)
    }

    /// Whether a failed attempt could be followed by another one.
    ///
    /// The front end asks the retry budget only then.
    pub fn allows_retry(&self, may_have_run: bool) -> bool {
        if may_have_run {
            self.context.is_repeatable()
        } else {
            self.context.is_resendable()
        }
    }

    /// Whether the deadline that passes at `now` could be followed by another attempt.
    ///
    /// The front end asks the retry budget only then.
    pub fn allows_retry_at_deadline(&self, now: MonoTime) -> bool {
        let context = &self.context;
        let is_probing = matches!(
            self.state(),
            ExchangeState::Probing | ExchangeState::StreamProbing
        );
        now < context.spec.deadline
            && context.is_repeatable()
            && (is_probing || context.is_overdue_at(now))
    }

    /// Time at which [`Exchange::expire`] has to be called.
    pub fn next_deadline(&self) -> MonoTime {
        let deadline = self.context.spec.deadline;
        let state = self.instance.next_deadline();
        state.map_or(deadline, |state| state.min(deadline))
    }

    /// Takes what happened.
    pub fn handle(&mut self, now: MonoTime, input: ExchangeInput) -> Vec<ExchangeEffect> {
        let context = &mut self.context;
        context.now = now;
        let event = match input {
            ExchangeInput::Placed(choice) => {
                self.running = Some(Arc::clone(&choice.endpoint));
                context.choice = Some(choice);
                ExchangeEvent::Placed
            }
            ExchangeInput::Unplaced => ExchangeEvent::Unplaced,
            ExchangeInput::Answered { class, may_retry } => {
                context.may_retry = may_retry;
                context.has_error_response = class == ResponseClass::Failure;
                match class {
                    ResponseClass::Final => ExchangeEvent::Answered,
                    ResponseClass::Failure => ExchangeEvent::Errored,
                    ResponseClass::NotRun => ExchangeEvent::Rejected,
                }
            }
            ExchangeInput::Unsent { may_retry } => {
                context.may_retry = may_retry;
                ExchangeEvent::Unsent
            }
            ExchangeInput::Lost { may_retry } => {
                context.may_retry = may_retry;
                ExchangeEvent::Lost
            }
            ExchangeInput::Event if context.attempt_began => {
                context.last_event_at = now;
                context.stall_detector.record_event(now);
                ExchangeEvent::Progressed
            }
            ExchangeInput::Event => ExchangeEvent::Began,
            ExchangeInput::Finished => ExchangeEvent::Finished,
            ExchangeInput::ProbeAnswered => ExchangeEvent::ProbeAnswered,
            ExchangeInput::ProbeFailed { may_retry } => {
                context.may_retry = may_retry;
                ExchangeEvent::ProbeFailed
            }
            ExchangeInput::CallerGone => ExchangeEvent::CallerGone,
        };
        self.step(now, event)
    }

    /// Handles a deadline that has passed. `was_paused` says that the process did
    /// not run when it passed, so that the silence says nothing of the endpoint.
    pub fn expire(
        &mut self,
        now: MonoTime,
        was_paused: bool,
        may_retry: bool,
    ) -> Vec<ExchangeEffect> {
        self.context.now = now;
        self.context.may_retry = may_retry;
        if now >= self.context.spec.deadline {
            return self.step(now, ExchangeEvent::DeadlinePassed);
        }
        if was_paused {
            return self.step(now, ExchangeEvent::ProcessPaused);
        }
        machine().expire(&mut self.instance, now, &mut self.context);
        self.take_effects()
    }

    /// Copy of the memory of what runs, if there is to be one.
    pub fn live_copy(&self) -> Option<&MemoryCopy> {
        self.context.live_copy.as_ref()
    }

    /// Takes a copy that was ordered in place of one that was lost.
    pub fn replace_copy(&mut self, copy: MemoryCopy) {
        self.context.live_copy = Some(copy);
    }

    fn step(&mut self, now: MonoTime, event: ExchangeEvent) -> Vec<ExchangeEffect> {
        machine().step(&mut self.instance, now, event, &mut self.context);
        self.take_effects()
    }

    /// Effects of a step; an endpoint that is left is not asked again.
    fn take_effects(&mut self) -> Vec<ExchangeEffect> {
        let mut effects = std::mem::take(&mut self.context.effects);
        for effect in &mut effects {
            if let ExchangeEffect::Place { excluded, .. } = effect
                && let Some(abandoned) = self.running.take()
            {
                self.context.failed.push(abandoned.key.clone());
                excluded.push(abandoned.key.clone());
            }
        }
        effects
    }
}
