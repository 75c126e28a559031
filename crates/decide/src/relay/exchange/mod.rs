//! Lifecycle of one relayed request: it is placed, sent, retried where that is allowed,
//! and answered exactly once.
//!
//! What may follow a failed attempt depends on whether the request may have run and on
//! whether it may run again. A request that may have run is only repeated if its
//! [`RepeatPolicy`](super::RepeatPolicy) allows it; one that did not run is resent.
//! Both count against the retry budget. A refusal states "not run" only if no attempt
//! may have run.

mod context;
mod evidence;
mod message;

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Micros, Millis, MonoTime};

use super::{copy::MemoryCopy, endpoint_table::EndpointKey, life, stall_detector::StallDetector};
use crate::charts::{self, LazyMachine};
use context::ExchangeContext;
use evidence::ProbeEvidence;

pub use context::STOPPING_RETRY_AFTER_MS;
pub use message::{
    ExchangeEffect, ExchangeInput, ExchangeSpec, LeaveReason, NextStep, ProbeFailure,
    RefusalReason, ResponseClass,
};

chart_names! {
    /// States of an exchange.
    pub enum ExchangeState {
        /// An endpoint is being selected.
        Placing,
        /// No endpoint is eligible at present.
        AwaitingEndpoint,
        /// The next endpoint did not run the stream, and no retry is left.
        AwaitingRetry,
        /// All engines are full; the request waits for one with room.
        Queued,
        /// The request was sent, and no response has arrived.
        AwaitingResponse,
        /// As `AwaitingResponse`, with a probe in flight.
        Probing,
        /// Events are arriving.
        Streaming,
        /// As `Streaming`, with a probe in flight.
        StreamProbing,
        /// The body of a large response is passed on to the caller.
        Forwarding,
        /// An endpoint's response was forwarded to the caller.
        Answered,
        /// The stream was forwarded completely.
        Finished,
        /// The request was refused.
        Refused,
        /// The stream was aborted.
        BrokenOff,
        /// The caller disconnected.
        Cancelled,
    }
}

chart_names! {
    /// Events of an exchange.
    pub(crate) enum ExchangeEvent {
        /// An endpoint was selected.
        Placed,
        /// No endpoint is eligible.
        PlacementFailed,
        /// All engines are full.
        Queued,
        /// The assigned engine can no longer be used.
        AssignmentFailed,
        /// The request can't be served before its deadline.
        Hopeless,
        /// A response arrived.
        Answered,
        /// An error response arrived.
        Errored,
        /// The endpoint answered that it did not run the request.
        Rejected,
        /// Nothing was sent to the endpoint.
        Unsent,
        /// The attempt failed after the request was sent.
        Lost,
        /// The first event of the attempt arrived.
        Began,
        /// Another event arrived.
        Progressed,
        /// The stream, or the body of a large response, is complete.
        Finished,
        /// The probe was answered, and the endpoint has the request.
        ProbeAnswered,
        /// The probe was not answered, or the endpoint does not have the request.
        ProbeFailed,
        /// Another endpoint takes the request.
        PlaceConfirmed,
        /// The timeout of the state expired.
        TimedOut,
        /// The timeout of the state expired while this process was paused.
        ProcessPaused,
        /// The caller's or the route's deadline has passed.
        DeadlinePassed,
        /// The process is about to end.
        ProcessEnding,
        /// The caller disconnected.
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
            .guard("has_error_response", |it| {
                it.has_error_response && !it.has_begun
            })
            .guard("is_incomplete", |it| it.is_incomplete)
            .guard("may_repeat", |it| it.may_retry && it.is_repeatable())
            .guard("may_move", ExchangeContext::may_move)
            .guard("may_leave_for_any", ExchangeContext::may_leave_for_any)
            .guard("is_loss_confirmed", ExchangeContext::is_loss_confirmed)
            .guard("has_begun_and_loss_confirmed", |it| {
                it.has_begun && it.is_loss_confirmed()
            })
            .guard("is_silent_too_long", ExchangeContext::is_silent_too_long)
            .guard("may_resend", |it| it.may_retry && it.is_resendable())
            .guard("may_wait_for_retry", |it| {
                (it.has_begun || it.has_left_silent) && it.is_resendable()
            })
            .guard("may_move_overdue", |it| it.may_move() && it.is_overdue())
            .guard("may_probe", |it| it.spec.repeat.is_stream())
            .action("request_placement", ExchangeContext::request_placement)
            .action("open_attempt", ExchangeContext::open_attempt)
            .action("send_probe", |it| it.effects.push(ExchangeEffect::Probe))
            .action("forward_response", |it| {
                it.effects.push(ExchangeEffect::ForwardResponse);
            })
            .action("begin_stream", ExchangeContext::begin_stream)
            .action("finish", |it| it.effects.push(ExchangeEffect::Finish))
            .action("break_off_no_endpoint", |it| {
                it.break_off(RefusalReason::NoEndpoint);
            })
            .action("break_off_rejected", |it| {
                it.break_off(RefusalReason::Rejected);
            })
            .action("break_off_errored", |it| {
                it.break_off(RefusalReason::Errored);
            })
            .action("break_off_answer_lost", |it| {
                it.break_off(RefusalReason::AnswerLost);
            })
            .action("break_off_no_progress", |it| {
                it.break_off(RefusalReason::NoProgress);
            })
            .action("break_off_hopeless", |it| {
                it.break_off(RefusalReason::Hopeless);
            })
            .action("break_off_deadline_passed", |it| {
                it.break_off(RefusalReason::DeadlinePassed);
            })
            .action("break_off_stopping", |it| {
                it.break_off(RefusalReason::Stopping);
            })
            .action("record_possible_run", ExchangeContext::record_possible_run)
            .action("record_not_run", ExchangeContext::record_not_run)
            .action("refuse_no_endpoint", |it| {
                it.refuse(RefusalReason::NoEndpoint);
            })
            .action("refuse_rejected", |it| it.refuse(RefusalReason::Rejected))
            .action("refuse_no_progress", |it| {
                it.refuse(RefusalReason::NoProgress);
            })
            .action("refuse_hopeless", ExchangeContext::refuse_hopeless)
            .action("refuse_answer_lost", |it| {
                it.refuse(RefusalReason::AnswerLost);
            })
            .action("refuse_deadline_passed", |it| {
                it.refuse(RefusalReason::DeadlinePassed);
            })
            .action("refuse_stopping", |it| it.refuse(RefusalReason::Stopping));
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
}

impl Exchange {
    /// Starts the exchange.
    pub fn start(now: MonoTime, spec: ExchangeSpec) -> (Self, Vec<ExchangeEffect>) {
        let mut context = ExchangeContext {
            spec,
            response_deadline: MonoTime::MAX,
            started_at: now,
            now,
            sent_at: now,
            unplaced_since: None,
            hopeless: None,
            runs: 0,
            not_run_attempts: 0,
            failed: Vec::new(),
            silent: Vec::new(),
            rejected: Vec::new(),
            has_left_silent: false,
            running: None,
            leaving_for: LeaveReason::Overdue,
            left_for: None,
            choice: None,
            live_copy: None,
            copy: None,
            has_begun: false,
            has_error_response: false,
            is_incomplete: false,
            attempt_began: false,
            may_retry: false,
            evidence: ProbeEvidence::new(now),
            last_event_at: now,
            stall_detector: StallDetector::default(),
            effects: Vec::new(),
        };
        let instance = machine().start(now, &mut context);
        let effects = std::mem::take(&mut context.effects);
        (Self { instance, context }, effects)
    }

    /// Current state.
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

    /// Number of attempts that may have run.
    pub fn runs(&self) -> u32 {
        self.context.runs
    }

    /// Endpoints at which an attempt has failed.
    pub fn excluded_endpoints(&self) -> &[EndpointKey] {
        &self.context.failed
    }

    /// Endpoints among the excluded ones that only rejected the request, and may take it later.
    pub fn rejected_endpoints(&self) -> &[EndpointKey] {
        &self.context.rejected
    }

    /// Whether an endpoint has received the request.
    pub fn has_been_sent(&self) -> bool {
        self.context.runs > 0 || self.context.not_run_attempts > 0
    }

    /// Why the request left its last endpoint; `None` if it has left none.
    pub fn left_for(&self) -> Option<LeaveReason> {
        self.context.left_for
    }

    /// Time for which the endpoint of the running attempt has answered probes, or has been
    /// presumed to. Its reports before are no evidence that it does not have the request.
    pub fn answering_for(&self, now: MonoTime) -> Millis {
        self.context.evidence.answering_for(now).millis()
    }

    /// Whether the endpoint of the running attempt is not expected to answer any more: it has
    /// been silent for longer than a sound one is, or does not have the request.
    pub fn is_given_up(&self, now: MonoTime) -> bool {
        self.context.is_given_up_at(now)
    }

    /// Time since the start.
    pub fn age(&self, now: MonoTime) -> Micros {
        now.since(self.context.started_at)
    }

    /// Class of a response in the current state: it can't continue a stream that
    /// has begun.
    pub fn classify(&self, class: ResponseClass) -> ResponseClass {
        match class {
            ResponseClass::Final if self.has_begun() => ResponseClass::Failure,
            class => class,
        }
    }

    /// Whether another attempt may follow a failed one.
    ///
    /// The front end takes a retry from the budget only if so.
    pub fn allows_retry(&self, may_have_run: bool) -> bool {
        if self.state() == ExchangeState::Forwarding {
            // The caller has received a part of the response.
            false
        } else if may_have_run {
            self.context.is_repeatable()
        } else {
            self.context.is_resendable()
        }
    }

    /// Whether another attempt may follow the deadline that expires at `now`.
    ///
    /// The front end takes a retry from the budget only if so.
    pub fn allows_retry_at_deadline(&self, now: MonoTime) -> bool {
        let context = &self.context;
        let is_probing = matches!(
            self.state(),
            ExchangeState::Probing | ExchangeState::StreamProbing
        );
        now < context.spec.deadline.min(self.process_deadline())
            && (self.state() == ExchangeState::AwaitingRetry
                || context.is_repeatable() && (is_probing || context.is_overdue_at(now)))
    }

    /// Whether the request may wait for an endpoint that takes requests again after `pause`. A
    /// stream that has begun always waits.
    pub fn may_wait_for(&self, now: MonoTime, pause: Micros) -> bool {
        let context = &self.context;
        let waited = context
            .unplaced_since
            .map_or(Micros::ZERO, |since| now.since(since));
        context.has_begun || waited.saturating_add(pause) < context.placement_wait().micros()
    }

    /// Sets the time by which a stopping process has to respond. A stream whose events
    /// arrive may go on until shortly before the process ends.
    pub fn set_response_deadline(&mut self, at: MonoTime) {
        self.context.response_deadline = at;
    }

    /// Time at which [`Exchange::expire`] has to be called.
    pub fn next_deadline(&self) -> MonoTime {
        let deadline = self.context.spec.deadline.min(self.process_deadline());
        let state = self.instance.next_deadline();
        state.map_or(deadline, |state| state.min(deadline))
    }

    /// Time at which the current state ends because the process does.
    fn process_deadline(&self) -> MonoTime {
        match self.state() {
            ExchangeState::Streaming | ExchangeState::StreamProbing => {
                life::stream_deadline(self.context.response_deadline)
            }
            _ => self.context.response_deadline,
        }
    }

    /// Handles an input.
    pub fn handle(&mut self, now: MonoTime, input: ExchangeInput) -> Vec<ExchangeEffect> {
        let context = &mut self.context;
        context.now = now;
        let event = match input {
            ExchangeInput::Placed(choice) => {
                context.choice = Some(choice);
                ExchangeEvent::Placed
            }
            ExchangeInput::PlacementFailed => {
                context.readmit_silent();
                ExchangeEvent::PlacementFailed
            }
            ExchangeInput::Queued => ExchangeEvent::Queued,
            ExchangeInput::AssignmentFailed => ExchangeEvent::AssignmentFailed,
            ExchangeInput::Hopeless {
                reason,
                retry_after_ms,
            } => {
                context.hopeless = Some((reason, retry_after_ms));
                ExchangeEvent::Hopeless
            }
            ExchangeInput::Answered { class, may_retry } => {
                context.is_incomplete = false;
                context.record_response(class, may_retry)
            }
            ExchangeInput::AnswerBegun { class, may_retry } => {
                context.is_incomplete = true;
                context.record_response(class, may_retry)
            }
            ExchangeInput::Unanswered { may_retry } => {
                context.may_retry = may_retry;
                context.leaving_for = LeaveReason::Unanswered;
                ExchangeEvent::Unsent
            }
            ExchangeInput::PlaceConfirmed { reason, choice } => {
                context.leaving_for = reason;
                context.record_next(NextStep::Move(choice));
                ExchangeEvent::PlaceConfirmed
            }
            ExchangeInput::Unsent { may_retry } => {
                context.may_retry = may_retry;
                context.leaving_for = LeaveReason::Unsent;
                ExchangeEvent::Unsent
            }
            ExchangeInput::Lost { may_retry } => {
                context.may_retry = may_retry;
                context.leaving_for = LeaveReason::Lost;
                ExchangeEvent::Lost
            }
            ExchangeInput::Event if context.attempt_began => {
                context.last_event_at = now;
                context.evidence.record_presence(now);
                context.stall_detector.record_event(now);
                ExchangeEvent::Progressed
            }
            ExchangeInput::Event => ExchangeEvent::Began,
            ExchangeInput::Finished => ExchangeEvent::Finished,
            ExchangeInput::ProbeAnswered => {
                context.evidence.record_presence(now);
                ExchangeEvent::ProbeAnswered
            }
            ExchangeInput::ProbeUnclear => {
                context.evidence.record_answer(now);
                ExchangeEvent::ProbeAnswered
            }
            ExchangeInput::ProbeFailed { failure, next } => {
                match failure {
                    ProbeFailure::Silent => context.evidence.record_silence(),
                    ProbeFailure::Undelivered => context.evidence.record_answer(now),
                    ProbeFailure::Missing => context.evidence.record_missing(now),
                }
                context.leaving_for = failure.into();
                context.record_next(next);
                ExchangeEvent::ProbeFailed
            }
            ExchangeInput::CallerGone => ExchangeEvent::CallerGone,
        };
        self.step(now, event)
    }

    /// Handles an expired deadline. `was_paused` tells that the process was paused when
    /// the deadline expired, in which case the missing events are no sign of a failure.
    pub fn expire(
        &mut self,
        now: MonoTime,
        was_paused: bool,
        next: NextStep,
    ) -> Vec<ExchangeEffect> {
        let is_probing = matches!(
            self.state(),
            ExchangeState::Probing | ExchangeState::StreamProbing
        );
        let context = &mut self.context;
        context.now = now;
        context.record_next(next);
        context.leaving_for = match is_probing {
            true => LeaveReason::Silent,
            false => LeaveReason::Overdue,
        };
        if now >= self.context.spec.deadline {
            return self.step(now, ExchangeEvent::DeadlinePassed);
        }
        if now >= self.process_deadline() {
            return self.step(now, ExchangeEvent::ProcessEnding);
        }
        if was_paused {
            return self.step(now, ExchangeEvent::ProcessPaused);
        }
        if is_probing {
            self.context.evidence.record_silence();
        }
        machine().expire(&mut self.instance, now, &mut self.context);
        self.take_effects()
    }

    /// Copy of the memory of the running attempt from which the next one can resume.
    pub fn next_copy(&self) -> Option<&MemoryCopy> {
        let copy = self.context.live_copy.as_ref();
        copy.filter(|_| self.context.attempt_began)
    }

    /// Copy of the memory of the running attempt, if it has one.
    pub fn live_copy(&self) -> Option<&MemoryCopy> {
        self.context.live_copy.as_ref()
    }

    /// Replaces the copy of the running attempt's memory.
    pub fn replace_copy(&mut self, copy: MemoryCopy) {
        self.context.live_copy = Some(copy);
    }

    fn step(&mut self, now: MonoTime, event: ExchangeEvent) -> Vec<ExchangeEffect> {
        machine().step(&mut self.instance, now, event, &mut self.context);
        self.take_effects()
    }

    fn take_effects(&mut self) -> Vec<ExchangeEffect> {
        std::mem::take(&mut self.context.effects)
    }
}
