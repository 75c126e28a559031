//! One attempt: one engine stream for one generation.
//!
//! Tokens carry the attempt's number and their index. Only the next index is
//! accepted; older ones are dropped and counted, and a gap ends the attempt.

use std::net::SocketAddr;

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{
    AttemptNumber, EndpointId, EndpointVersion, Micros, Millis, MonoTime, TokenCount, TokenId,
    TokenIndex,
};
use strum::Display;

use crate::charts::{self, LazyMachine};

chart_names! {
    /// States of an attempt.
    pub enum AttemptState {
        /// The order is on its way to the engine.
        Connecting,
        /// The engine took the order; no token came yet.
        Prefilling,
        /// Tokens come.
        Streaming,
        /// The engine said that the answer is whole.
        Finished,
        /// The attempt is lost.
        Broken,
        /// The attempt is not wanted any more.
        Cancelled,
    }
}

chart_names! {
    /// Events of an attempt.
    pub enum AttemptEvent {
        /// The engine took the order.
        Opened,
        /// A token came.
        Token,
        /// The engine said that the answer is whole.
        Finished,
        /// The stream broke.
        Failed,
        /// Nothing came for too long.
        TimedOut,
        /// The attempt is not wanted any more.
        Cancel,
    }
}

/// Why an attempt was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptFault {
    /// The stream broke or could not be opened.
    Stream,
    /// No token came in time.
    #[strum(serialize = "silence")]
    Timeout,
    /// The engine runs another version than was ordered.
    Version,
    /// A token was left out.
    Gap,
    /// The engine ended the answer early.
    Truncation,
}

/// What the engine's stream brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptInput {
    /// The engine took the order and says which version it runs.
    Opened {
        /// Version that the engine runs.
        endpoint_version: EndpointVersion,
    },
    /// A token.
    Token {
        /// Its position in the answer.
        index: TokenIndex,
        /// The token.
        token: Token,
    },
    /// The answer is whole.
    Finished {
        /// Length of the whole answer.
        tokens: TokenCount,
    },
    /// The stream broke.
    Failed,
}

/// One token of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Vocabulary number.
    pub id: TokenId,
    /// Text.
    pub text: Box<str>,
}

/// Which engine an attempt runs on, and how long to wait for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptSpec {
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Engine.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Version that the engine has to run.
    pub endpoint_version: EndpointVersion,
    /// Index of the first token that is wanted.
    pub resume_from: TokenIndex,
    /// Longest wait for the first token.
    pub first_token_timeout_ms: Millis,
    /// Longest wait for each further token.
    pub token_timeout_ms: Millis,
}

pub(crate) struct AttemptContext {
    pub(crate) spec: AttemptSpec,
    started_at: MonoTime,
    now: MonoTime,
    next_index: TokenIndex,
    input_version: Option<EndpointVersion>,
    input_index: TokenIndex,
    input_token: Option<Token>,
    input_count: TokenCount,
    accepted: Option<Token>,
    first_token_us: Option<Micros>,
    last_token_at: Option<MonoTime>,
    pub(crate) fault: Option<AttemptFault>,
    pub(crate) dropped_tokens: u32,
}

static MACHINE: LazyMachine<AttemptState, AttemptEvent, AttemptContext> = LazyMachine::new(|| {
    let bindings = Bindings::<AttemptContext>::new()
        .duration("first_token_timeout", |it| it.spec.first_token_timeout_ms)
        .duration("token_timeout", |it| it.spec.token_timeout_ms)
        .guard("version_matches", |it| {
            it.input_version.as_ref() == Some(&it.spec.endpoint_version)
        })
        .guard("is_next", |it| it.input_index == it.next_index)
        .guard("is_old", |it| it.input_index < it.next_index)
        .guard("count_matches", |it| {
            it.input_count.get() == it.next_index.get()
        })
        .action("accept_token", AttemptContext::accept_token)
        .action("drop_token", |it| it.dropped_tokens += 1)
        .action("fault_stream", |it| it.fault = Some(AttemptFault::Stream))
        .action("fault_timeout", |it| it.fault = Some(AttemptFault::Timeout))
        .action("fault_version", |it| it.fault = Some(AttemptFault::Version))
        .action("fault_gap", |it| it.fault = Some(AttemptFault::Gap))
        .action("fault_truncation", |it| {
            it.fault = Some(AttemptFault::Truncation);
        });
    charts::compile(charts::ATTEMPT, &bindings)
});

fn machine() -> &'static Machine<AttemptState, AttemptEvent, AttemptContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

impl AttemptContext {
    fn accept_token(&mut self) {
        self.accepted = self.input_token.take();
        self.next_index = self.next_index.next();
        if self.first_token_us.is_none() {
            self.first_token_us = Some(self.now.since(self.started_at));
        }
        self.last_token_at = Some(self.now);
    }
}

/// One running attempt.
pub(crate) struct Attempt {
    instance: Instance<AttemptState>,
    pub(crate) context: AttemptContext,
}

impl Attempt {
    pub(crate) fn start(now: MonoTime, spec: AttemptSpec) -> Self {
        let next_index = spec.resume_from;
        let mut context = AttemptContext {
            spec,
            started_at: now,
            now,
            next_index,
            input_version: None,
            input_index: TokenIndex::ZERO,
            input_token: None,
            input_count: TokenCount::ZERO,
            accepted: None,
            first_token_us: None,
            last_token_at: None,
            fault: None,
            dropped_tokens: 0,
        };
        let instance = machine().start(now, &mut context);
        Self { instance, context }
    }

    pub(crate) fn state(&self) -> AttemptState {
        self.instance.state()
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    /// Takes what the stream brought; returns the token that was accepted, if any.
    pub(crate) fn handle(&mut self, now: MonoTime, input: AttemptInput) -> Option<Token> {
        let context = &mut self.context;
        let event = match input {
            AttemptInput::Opened { endpoint_version } => {
                context.input_version = Some(endpoint_version);
                AttemptEvent::Opened
            }
            AttemptInput::Token { index, token } => {
                context.input_index = index;
                context.input_token = Some(token);
                AttemptEvent::Token
            }
            AttemptInput::Finished { tokens } => {
                context.input_count = tokens;
                AttemptEvent::Finished
            }
            AttemptInput::Failed => AttemptEvent::Failed,
        };
        self.step(now, event)
    }

    pub(crate) fn cancel(&mut self, now: MonoTime) {
        self.step(now, AttemptEvent::Cancel);
    }

    pub(crate) fn expire(&mut self, now: MonoTime) {
        self.context.now = now;
        machine().expire(&mut self.instance, now, &mut self.context);
    }

    /// Time to the first token, and mean time between the others.
    pub(crate) fn timing(&self) -> (Option<Micros>, Option<Micros>) {
        let context = &self.context;
        let gaps = context
            .next_index
            .saturating_sub(context.spec.resume_from)
            .get();
        let pace = context
            .last_token_at
            .zip(context.first_token_us)
            .and_then(|(last, first)| {
                let span = last.since(context.started_at + first).get();
                let gaps = u64::from(gaps.saturating_sub(1));
                span.checked_div(gaps).map(Micros::new)
            });
        (context.first_token_us, pace)
    }

    fn step(&mut self, now: MonoTime, event: AttemptEvent) -> Option<Token> {
        self.context.now = now;
        self.context.accepted = None;
        machine().step(&mut self.instance, now, event, &mut self.context);
        self.context.accepted.take()
    }
}
