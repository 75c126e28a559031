//! State of one attempt: one engine stream for one generation.
//!
//! Tokens carry the attempt number and their index. Only the next index is
//! accepted. Duplicates are dropped and counted; a gap fails the attempt.

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
        /// The stream is being opened.
        Connecting,
        /// The engine accepted the stream and has not sent a token yet.
        Prefilling,
        /// Tokens are being received.
        Streaming,
        /// The engine reported the end of the answer.
        Finished,
        /// The attempt failed.
        Broken,
        /// The attempt was cancelled.
        Cancelled,
    }
}

chart_names! {
    /// Events of an attempt.
    pub enum AttemptEvent {
        /// The engine accepted the stream.
        Opened,
        /// A token was received.
        Token,
        /// The engine reported the end of the answer.
        Finished,
        /// The stream failed.
        Failed,
        /// The timeout of the state expired.
        TimedOut,
        /// The attempt was cancelled.
        Cancel,
    }
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum AttemptFault {
    /// The stream failed or could not be opened.
    Stream,
    /// No token was received in time.
    #[strum(serialize = "silence")]
    Timeout,
    /// The engine runs another version than requested.
    Version,
    /// A token index was skipped.
    Gap,
    /// The engine's token count does not match the tokens received.
    Truncation,
}

/// Input from the engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptInput {
    /// The engine accepted the stream and reported its version.
    Opened {
        /// Version that the engine runs.
        endpoint_version: EndpointVersion,
    },
    /// A token was received.
    Token {
        /// Its position in the answer.
        index: TokenIndex,
        /// The token.
        token: Token,
    },
    /// The engine reported the end of the answer.
    Finished {
        /// Total length of the answer.
        tokens: TokenCount,
    },
    /// The stream failed.
    Failed,
}

/// One token of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Token {
    /// Index in the vocabulary.
    pub id: TokenId,
    /// Text.
    pub text: Box<str>,
}

/// Target and timeouts of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptSpec {
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Engine.
    pub endpoint: EndpointId,
    /// Its address.
    pub address: SocketAddr,
    /// Version that the engine must run.
    pub endpoint_version: EndpointVersion,
    /// Index of the first requested token.
    pub resume_from: TokenIndex,
    /// Timeout for the first token.
    pub first_token_timeout_ms: Millis,
    /// Timeout for each further token.
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

/// State machine of one attempt.
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

    /// Applies an input of the stream; returns the token if it was accepted.
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

    /// Time to the first token, and mean time between further tokens.
    pub(crate) fn timing(&self) -> (Option<Micros>, Option<Micros>) {
        let context = &self.context;
        let intervals = context
            .next_index
            .saturating_sub(context.spec.resume_from)
            .get();
        let pace = context
            .last_token_at
            .zip(context.first_token_us)
            .and_then(|(last, first)| {
                let span = last.since(context.started_at + first).get();
                let intervals = u64::from(intervals.saturating_sub(1));
                span.checked_div(intervals).map(Micros::new)
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
