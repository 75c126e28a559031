//! State of an exchange, with the guards and actions of its chart.

use std::sync::Arc;

use parsleylatch_types::{Millis, MonoTime};

use super::{
    ExchangeEvent,
    evidence::ProbeEvidence,
    message::{ExchangeEffect, ExchangeSpec, LeaveReason, NextStep, RefusalReason, ResponseClass},
};
use crate::relay::{
    configuration::RepeatPolicy,
    copy::{CopySource, MemoryCopy},
    endpoint_table::{EndpointEntry, EndpointKey},
    placement_cost::PREFILL_TOKENS_PER_MS,
    selector::Choice,
    stall_detector::StallDetector,
};

/// Divisor of the response time goal that gives the maximum wait for an endpoint.
const PLACEMENT_WAIT_GOAL_DIVISOR: u64 = 8;
/// Maximum wait for an endpoint that resumes a stream, or takes back a request that has left a
/// silent one. Callers wait two seconds for the next event.
const RESUME_PLACEMENT_WAIT_MS: Millis = Millis::new(3_000);
/// Maximum number of attempts that did not run. Each one costs a round trip to another
/// endpoint; after a crash, several lost endpoints may still be listed.
const NOT_RUN_ATTEMPT_LIMIT: u32 = 6;
/// Time without a first event after which the endpoint of a stream is probed.
const FIRST_EVENT_PROBE_MS: Millis = Millis::new(400);
/// Share of the response time goal after which an idempotent call is sent to another
/// endpoint, in percent. The rest is left for the second attempt.
const CALL_TIMEOUT_GOAL_PERCENT: u64 = 65;
/// Number of prompts of the same length that an engine may read before the first event
/// is due.
const FIRST_EVENT_PREFILLS: u64 = 3;
/// Time beyond the reading of prompts after which a first event is overdue. A probe
/// detects earlier that an endpoint has lost the request.
const FIRST_EVENT_SLACK_MS: Millis = Millis::new(2_000);
/// Time beyond the gap goal and the reading of the prompt after which the next event is
/// overdue. An engine reads the prompt again after a preemption.
const NEXT_EVENT_SLACK_MS: Millis = Millis::new(500);
/// Time without any sign of life after which an endpoint counts as lost to a request that
/// has no event yet and no retry left. A sound endpoint is silent for about a second.
const SILENCE_LIMIT_MS: Millis = Millis::new(3_000);
/// Time without any sign of life after which a request leaves its endpoint also for a place
/// that may not take it at once, such as a queue.
const LONG_SILENCE_MS: Millis = Millis::new(2_500);
/// Retry-after of a refused stream that did not run.
const STREAM_RETRY_AFTER_MS: Millis = Millis::new(500);
/// Retry-after of a refused call that did not run.
const CALL_RETRY_AFTER_MS: Millis = Millis::new(50);
/// Retry-after of a request that did not run and that a stopping process refuses; the
/// retry goes to another node.
pub const STOPPING_RETRY_AFTER_MS: Millis = Millis::new(20);

pub(super) struct ExchangeContext {
    pub(super) spec: ExchangeSpec,
    /// Time by which a stopping process has to respond.
    pub(super) response_deadline: MonoTime,
    pub(super) started_at: MonoTime,
    pub(super) now: MonoTime,
    pub(super) sent_at: MonoTime,
    pub(super) unplaced_since: Option<MonoTime>,
    /// Reason and retry delay of a request that can't be served in time.
    pub(super) hopeless: Option<(RefusalReason, Option<Millis>)>,
    pub(super) runs: u32,
    pub(super) not_run_attempts: u32,
    pub(super) failed: Vec<EndpointKey>,
    /// Endpoints among the failed ones that were merely silent.
    pub(super) silent: Vec<EndpointKey>,
    /// Endpoints among the failed ones that rejected the request.
    pub(super) rejected: Vec<EndpointKey>,
    /// Whether the request has left an endpoint that was merely silent.
    pub(super) has_left_silent: bool,
    /// Endpoint of the running attempt.
    pub(super) running: Option<Arc<EndpointEntry>>,
    /// Why the request leaves its endpoint if the current input makes it do so.
    pub(super) leaving_for: LeaveReason,
    /// Why the request left its last endpoint.
    pub(super) left_for: Option<LeaveReason>,
    pub(super) choice: Option<Box<Choice>>,
    /// Copy of the memory of the running attempt.
    pub(super) live_copy: Option<MemoryCopy>,
    /// Copy of the memory of the previous attempt, for the next one to resume from.
    pub(super) copy: Option<MemoryCopy>,
    pub(super) has_begun: bool,
    /// Whether the last attempt returned a complete error response.
    pub(super) has_error_response: bool,
    /// Whether the last response has a body that is still being read.
    pub(super) is_incomplete: bool,
    /// Whether the running attempt has delivered an event.
    pub(super) attempt_began: bool,
    pub(super) may_retry: bool,
    /// What probes show about the running attempt.
    pub(super) evidence: ProbeEvidence,
    pub(super) last_event_at: MonoTime,
    pub(super) stall_detector: StallDetector,
    pub(super) effects: Vec<ExchangeEffect>,
}

impl ExchangeContext {
    /// Time for an engine to read the prompt.
    pub(super) fn prefill(&self) -> Millis {
        Millis::new(u64::from(self.spec.prompt.get()) / PREFILL_TOKENS_PER_MS)
    }

    pub(super) fn response_timeout(&self) -> Millis {
        match self.spec.repeat {
            RepeatPolicy::Stream { .. } => FIRST_EVENT_PROBE_MS,
            RepeatPolicy::Idempotent => self.call_timeout(),
            RepeatPolicy::OnceOnly => self.spec.deadline.since(self.now).millis(),
        }
    }

    pub(super) fn call_timeout(&self) -> Millis {
        Millis::new(
            self.spec
                .goal_ms
                .get()
                .saturating_mul(CALL_TIMEOUT_GOAL_PERCENT)
                / 100,
        )
    }

    /// Whether the next response or event of the running attempt is overdue.
    pub(super) fn is_overdue(&self) -> bool {
        self.is_overdue_at(self.now)
    }

    pub(super) fn is_overdue_at(&self, now: MonoTime) -> bool {
        let waited = |since: MonoTime| now.since(since);
        match self.spec.repeat {
            RepeatPolicy::OnceOnly => false,
            RepeatPolicy::Idempotent => waited(self.sent_at) >= self.call_timeout().micros(),
            RepeatPolicy::Stream { .. } if self.attempt_began => {
                let gap = self.spec.gap_goal_ms.unwrap_or(self.spec.goal_ms);
                let limit = gap
                    .saturating_add(self.prefill())
                    .saturating_add(NEXT_EVENT_SLACK_MS);
                waited(self.last_event_at) >= limit.micros()
            }
            RepeatPolicy::Stream { .. } => {
                waited(self.sent_at) >= self.first_event_limit().micros()
            }
        }
    }

    /// Whether the caller should be told to try elsewhere, because its request waits at an
    /// endpoint that gives no sign of life. A stream that has begun is never ended by silence.
    pub(super) fn is_silent_too_long(&self) -> bool {
        let silence = self.evidence.silent_for(self.now);
        !self.has_begun && self.is_repeatable() && silence >= SILENCE_LIMIT_MS.micros()
    }

    /// Whether reports confirm that the endpoint does not have the request, which its caller
    /// may send again elsewhere.
    pub(super) fn is_loss_confirmed(&self) -> bool {
        self.evidence.is_loss_confirmed(self.now) && self.is_repeatable()
    }

    /// Whether the request leaves its endpoint for a place that takes it.
    pub(super) fn may_move(&self) -> bool {
        self.choice.is_some() && self.is_repeatable()
    }

    /// Whether the request leaves its endpoint for any place: after a long silence, or once
    /// reports confirm that the endpoint does not have it.
    pub(super) fn may_leave_for_any(&self) -> bool {
        self.may_retry && self.is_repeatable() && self.is_given_up_at(self.now)
    }

    /// Whether the endpoint is not expected to answer the request any more.
    pub(super) fn is_given_up_at(&self, now: MonoTime) -> bool {
        self.evidence.is_loss_confirmed(now)
            || self.evidence.silent_for(now) >= LONG_SILENCE_MS.micros()
    }

    /// Records what may follow the current input.
    pub(super) fn record_next(&mut self, next: NextStep) {
        self.may_retry = matches!(next, NextStep::Retry);
        self.choice = match next {
            NextStep::Move(choice) => Some(choice),
            NextStep::Stay | NextStep::Retry => None,
        };
    }

    /// Time after the send at which the first event is overdue.
    pub(super) fn first_event_limit(&self) -> Millis {
        Millis::new(FIRST_EVENT_PREFILLS * self.prefill().get())
            .saturating_add(FIRST_EVENT_SLACK_MS)
    }

    pub(super) fn is_repeatable(&self) -> bool {
        let in_time = self.now < self.spec.deadline;
        self.spec.repeat.may_run_again() && in_time && self.runs + 1 < self.spec.attempts
    }

    pub(super) fn is_resendable(&self) -> bool {
        let in_time = self.now < self.spec.deadline;
        let ran_before = self.runs > 0 && !self.spec.repeat.may_run_again();
        in_time && !ran_before && self.not_run_attempts < NOT_RUN_ATTEMPT_LIMIT
    }

    pub(super) fn may_wait(&self) -> bool {
        let waited = self.unplaced_since.map(|since| self.now.since(since));
        waited.is_none_or(|waited| waited < self.placement_wait().micros())
    }

    /// Longest wait for an endpoint. One that is silent goes on within that of a resumption.
    pub(super) fn placement_wait(&self) -> Millis {
        if self.has_begun || self.has_left_silent {
            RESUME_PLACEMENT_WAIT_MS
        } else {
            Millis::new(self.spec.goal_ms.get() / PLACEMENT_WAIT_GOAL_DIVISOR)
        }
    }

    /// Lets a request return to the endpoints that it left for their silence, once no other
    /// one is eligible: they may go on meanwhile.
    pub(super) fn readmit_silent(&mut self) {
        let silent = std::mem::take(&mut self.silent);
        self.failed.retain(|failed| !silent.contains(failed));
    }

    /// Records a response and returns its event. An incomplete response is gone once the
    /// request is sent again.
    pub(super) fn record_response(
        &mut self,
        class: ResponseClass,
        may_retry: bool,
    ) -> ExchangeEvent {
        self.may_retry = may_retry;
        self.has_error_response = class == ResponseClass::Failure && !self.is_incomplete;
        self.leaving_for = match class {
            ResponseClass::Final | ResponseClass::Failure => LeaveReason::Errored,
            ResponseClass::NotRun => LeaveReason::Rejected,
        };
        match class {
            ResponseClass::Final => ExchangeEvent::Answered,
            ResponseClass::Failure => ExchangeEvent::Errored,
            ResponseClass::NotRun => ExchangeEvent::Rejected,
        }
    }

    pub(super) fn request_placement(&mut self) {
        self.unplaced_since.get_or_insert(self.now);
        let copy = self.copy.take();
        let excluded = self.failed.clone();
        self.effects.push(ExchangeEffect::Place { excluded, copy });
    }

    pub(super) fn open_attempt(&mut self) {
        let Some(choice) = self.choice.take() else {
            return;
        };
        self.running = Some(Arc::clone(&choice.endpoint));
        // The choice has it, unless the endpoint can't resume from it.
        self.copy = None;
        self.sent_at = self.now;
        self.evidence = ProbeEvidence::new(self.now);
        self.unplaced_since = None;
        self.attempt_began = false;
        self.has_error_response = false;
        self.stall_detector.restart();
        self.live_copy = choice.backup.as_ref().map(|entry| MemoryCopy {
            holder: entry.key.clone(),
            source: CopySource::Backup,
        });
        self.effects.push(ExchangeEffect::Open(choice));
    }

    pub(super) fn begin_stream(&mut self) {
        self.attempt_began = true;
        self.last_event_at = self.now;
        self.evidence.record_presence(self.now);
        self.stall_detector.record_event(self.now);
        if !self.has_begun {
            self.has_begun = true;
            self.effects.push(ExchangeEffect::BeginStream);
        }
    }

    /// Records that the attempt may have run. A copy of its memory exists only from its
    /// first event on.
    pub(super) fn record_possible_run(&mut self) {
        self.runs += 1;
        let copy = self.live_copy.take();
        self.copy = copy.filter(|_| self.attempt_began);
        self.leave_endpoint();
    }

    pub(super) fn record_not_run(&mut self) {
        self.unplaced_since.get_or_insert(self.now);
        self.not_run_attempts += 1;
        self.leave_endpoint();
    }

    /// Excludes the endpoint of the attempt from the next placements.
    fn leave_endpoint(&mut self) {
        let Some(left) = self.running.take() else {
            return;
        };
        self.left_for = Some(self.leaving_for);
        let may_answer = match self.leaving_for {
            LeaveReason::Missing => !self.evidence.is_loss_confirmed(self.now),
            reason => reason.is_silence(),
        };
        self.has_left_silent |= may_answer;
        if may_answer || self.leaving_for == LeaveReason::Unanswered {
            self.silent.push(left.key.clone());
        }
        self.rejected.retain(|it| *it != left.key);
        if self.leaving_for == LeaveReason::Rejected {
            self.rejected.push(left.key.clone());
        }
        self.failed.push(left.key.clone());
    }

    pub(super) fn refuse_hopeless(&mut self) {
        let (reason, retry_after_ms) = self
            .hopeless
            .take()
            .unwrap_or((RefusalReason::Hopeless, None));
        let not_run = self.runs == 0;
        self.effects.push(ExchangeEffect::Refuse {
            reason,
            not_run,
            retry_after_ms: retry_after_ms.filter(|_| not_run),
        });
    }

    pub(super) fn break_off(&mut self, reason: RefusalReason) {
        self.effects.push(ExchangeEffect::BreakOff { reason });
    }

    pub(super) fn refuse(&mut self, reason: RefusalReason) {
        let not_run = self.runs == 0;
        let retry_after_ms = not_run.then(|| match reason {
            RefusalReason::Stopping => STOPPING_RETRY_AFTER_MS,
            _ if self.spec.repeat.is_stream() => STREAM_RETRY_AFTER_MS,
            _ => CALL_RETRY_AFTER_MS,
        });
        self.effects.push(ExchangeEffect::Refuse {
            reason,
            not_run,
            retry_after_ms,
        });
    }
}
