//! A call that may run any number of times: retried on other endpoints.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{EndpointId, Millis, MonoTime};

use super::claim::CallAnswer;
use crate::{
    charts::{self, LazyMachine},
    refusal::{Refusal, RefusalKind},
};

/// Longest time from the first try in which another is started.
const RETRY_WINDOW_MS: Millis = Millis::new(3_000);
/// Most tries of one call.
const MAX_ATTEMPTS: usize = 3;

chart_names! {
    /// States of the call.
    pub(crate) enum IdempotentState {
        /// A try runs.
        Sending,
        /// The service answered.
        Answered,
        /// Every try failed.
        Failed,
    }
}

chart_names! {
    /// Events of the call.
    pub(crate) enum IdempotentEvent {
        /// The service answered.
        Answered,
        /// The try never reached the service.
        Unsent,
        /// The try was sent, and no answer came.
        Lost,
        /// The try lasted too long.
        TimedOut,
    }
}

/// What became of a try.
#[derive(Clone, Debug)]
pub enum IdempotentInput {
    /// The service answered.
    Answered(CallAnswer),
    /// The try failed.
    Failed {
        /// Endpoint, if there was one to try.
        endpoint: Option<EndpointId>,
        /// Whether the service can't have seen it.
        unsent: bool,
        /// Whether the budget and the template allow another try.
        may_retry: bool,
        /// What happened.
        detail: String,
    },
}

/// What the caller of the decisions has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdempotentEffect {
    /// Send the call to an endpoint that was not tried.
    Send {
        /// Endpoints that were tried.
        tried: Vec<EndpointId>,
    },
    /// Give the answer to the caller.
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

/// One call that may run any number of times.
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

    /// Time at which [`IdempotentCall::expire`] has to be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    /// Takes what became of a try.
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
                // Without an endpoint there is no other one to try either.
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

    /// Handles a deadline that has passed; the running try may have been sent.
    pub fn expire(&mut self, now: MonoTime) -> Vec<IdempotentEffect> {
        self.context.now = now;
        self.context.sent = true;
        self.context.had_endpoint = true;
        machine().expire(&mut self.instance, now, &mut self.context);
        std::mem::take(&mut self.context.effects)
    }
}
