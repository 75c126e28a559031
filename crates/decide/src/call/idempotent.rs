//! Idempotent call: a failed attempt is retried at another endpoint.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{EndpointId, Millis, MonoTime};

use super::claim::CallAnswer;
use crate::{
    charts::{self, LazyMachine},
    refusal::{Refusal, RefusalKind},
};

/// Maximum time from the start of the call to the start of a retry.
const RETRY_WINDOW_MS: Millis = Millis::new(3_000);
/// Maximum number of attempts of one call.
const MAX_ATTEMPTS: usize = 3;

chart_names! {
    /// States of the call.
    pub(crate) enum IdempotentState {
        /// An attempt is running.
        Sending,
        /// The service answered.
        Answered,
        /// All attempts failed.
        Failed,
    }
}

chart_names! {
    /// Events of the call.
    pub(crate) enum IdempotentEvent {
        /// The service answered.
        Answered,
        /// The attempt did not reach the service.
        Unsent,
        /// The call was sent, and no answer was received.
        Lost,
        /// The timeout of the attempt expired.
        TimedOut,
    }
}

/// Result of an attempt.
#[derive(Clone, Debug)]
pub enum IdempotentInput {
    /// The service answered.
    Answered(CallAnswer),
    /// The attempt failed.
    Failed {
        /// Endpoint of the attempt, if one was available.
        endpoint: Option<EndpointId>,
        /// Whether the call certainly did not reach the service.
        unsent: bool,
        /// Whether the retry budget and the template allow another attempt.
        may_retry: bool,
        /// Description of the failure.
        detail: String,
    },
}

/// Effect that the caller of [`IdempotentCall`] carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdempotentEffect {
    /// Send the call to an endpoint that has not been tried.
    Send {
        /// Endpoints that have been tried.
        tried: Vec<EndpointId>,
    },
    /// Return the answer to the caller.
    Answer(CallAnswer),
    /// Refuse the call.
    Refuse(Refusal),
}

struct IdempotentContext {
    started_at: MonoTime,
    now: MonoTime,
    tried: Vec<EndpointId>,
    may_retry: bool,
    sent: bool,
    had_endpoint: bool,
    detail: String,
    answer: Option<CallAnswer>,
    effects: Vec<IdempotentEffect>,
}

static MACHINE: LazyMachine<IdempotentState, IdempotentEvent, IdempotentContext> =
    LazyMachine::new(|| {
        let bindings = Bindings::<IdempotentContext>::new()
            .guard("may_retry", IdempotentContext::may_retry)
            .action("send_call", |it| {
                let tried = it.tried.clone();
                it.effects.push(IdempotentEffect::Send { tried });
            })
            .action("return_answer", |it| {
                let answer = it.answer.take().map(IdempotentEffect::Answer);
                it.effects.extend(answer);
            })
            .action("refuse", IdempotentContext::refuse);
        charts::compile(charts::IDEMPOTENT_CALL, &bindings)
    });

fn machine() -> &'static Machine<IdempotentState, IdempotentEvent, IdempotentContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

impl IdempotentContext {
    fn may_retry(&self) -> bool {
        let in_time = self.now.since(self.started_at) <= RETRY_WINDOW_MS.micros();
        self.may_retry && in_time && self.tried.len() < MAX_ATTEMPTS
    }

    fn refuse(&mut self) {
        let kind = if self.had_endpoint {
            RefusalKind::AttemptsExhausted
        } else {
            RefusalKind::NoEndpoint
        };
        let detail = std::mem::take(&mut self.detail);
        let refusal = Refusal {
            kind,
            detail,
            not_run: !self.sent,
            retry_after_ms: None,
        };
        self.effects.push(IdempotentEffect::Refuse(refusal));
    }
}

/// State machine of one idempotent call.
pub struct IdempotentCall {
    instance: Instance<IdempotentState>,
    context: IdempotentContext,
}

impl IdempotentCall {
    /// Starts the call.
    pub fn start(now: MonoTime) -> (Self, Vec<IdempotentEffect>) {
        let mut context = IdempotentContext {
            started_at: now,
            now,
            tried: Vec::new(),
            may_retry: false,
            sent: false,
            had_endpoint: false,
            detail: "no answer in time".to_owned(),
            answer: None,
            effects: Vec::new(),
        };
        let instance = machine().start(now, &mut context);
        let effects = std::mem::take(&mut context.effects);
        (Self { instance, context }, effects)
    }

    /// Time at which [`IdempotentCall::expire`] must be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    /// Applies the result of an attempt and returns its effects.
    pub fn handle(&mut self, now: MonoTime, input: IdempotentInput) -> Vec<IdempotentEffect> {
        let context = &mut self.context;
        context.now = now;
        let event = match input {
            IdempotentInput::Answered(answer) => {
                context.answer = Some(answer);
                IdempotentEvent::Answered
            }
            IdempotentInput::Failed {
                endpoint,
                unsent,
                may_retry,
                detail,
            } => {
                context.had_endpoint |= endpoint.is_some();
                // If no endpoint was available, there is none left for a retry.
                context.may_retry = may_retry && endpoint.is_some();
                context.tried.extend(endpoint);
                context.sent |= !unsent;
                context.detail = detail;
                if unsent {
                    IdempotentEvent::Unsent
                } else {
                    IdempotentEvent::Lost
                }
            }
        };
        machine().step(&mut self.instance, now, event, context);
        std::mem::take(&mut context.effects)
    }

    /// Handles an expired deadline; the running attempt may have been sent.
    pub fn expire(&mut self, now: MonoTime) -> Vec<IdempotentEffect> {
        self.context.now = now;
        self.context.sent = true;
        self.context.had_endpoint = true;
        machine().expire(&mut self.instance, now, &mut self.context);
        std::mem::take(&mut self.context.effects)
    }
}
