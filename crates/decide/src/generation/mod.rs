//! State of one generation at its owner node.
//!
//! A token goes through three stages: it is *accepted* when the running attempt
//! delivers it, *held* when a journal peer has stored a copy, and *released*
//! when it is written to the caller. Only held tokens are released, so no
//! released token is lost when a node crashes. If no journal peer is available,
//! tokens are released *unheld* and counted.

mod attempt;
mod context;

use std::{net::SocketAddr, sync::LazyLock};

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{AttemptNumber, EndpointVersion, MonoTime, TokenCount, TokenIndex};

use attempt::Attempt;
pub use attempt::{AttemptFault, AttemptInput, AttemptSpec, AttemptState, Token};
use context::GenerationContext;
pub use context::{AttemptReport, GenerationLimits, GenerationRequest, PlacementConstraints};

use crate::{
    charts::{self, LazyMachine},
    placement::Placement,
    refusal::Refusal,
};

chart_names! {
    /// States of a generation.
    pub enum GenerationState {
        /// Loads the state recovered from a previous owner.
        Starting,
        /// Requests an endpoint.
        Placing,
        /// Backs off before the next placement request.
        Waiting,
        /// An attempt is running.
        Attempting,
        /// All tokens are accepted; the last ones are not held yet.
        Flushing,
        /// The node is stopping; the last accepted tokens are not held yet.
        HandingOver,
        /// All tokens were released.
        Done,
        /// The generation ended with an error.
        Failed,
        /// The caller disconnected.
        Cancelled,
        /// The caller was told to resume at another node.
        Moved,
        /// Another node has taken over the generation.
        Superseded,
    }
}

chart_names! {
    /// Events of a generation.
    pub enum GenerationEvent {
        /// The generation was started.
        Started,
        /// Placement chose an endpoint.
        Placed,
        /// No endpoint can currently take the attempt.
        PlacementFailed,
        /// The attempt delivered the next token.
        TokenAccepted,
        /// The attempt completed the answer.
        AttemptFinished,
        /// The attempt failed.
        AttemptBroken,
        /// A journal peer acknowledged more tokens.
        JournalHeld,
        /// No journal peer is available.
        JournalUnheld,
        /// The timeout of the state expired.
        TimedOut,
        /// The caller's connection was closed, or the caller stopped reading.
        CallerGone,
        /// The node is stopping and hands over its generations.
        StopRequested,
        /// Another node owns the generation.
        Superseded,
    }
}

/// Input of a generation.
#[derive(Clone, Debug)]
pub enum GenerationInput {
    /// Placement chose an endpoint.
    Placed(Placement),
    /// Placement found no endpoint.
    PlacementFailed,
    /// Input from the stream of an attempt.
    Attempt {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Input from its stream.
        input: AttemptInput,
    },
    /// A journal peer holds all tokens before `end`.
    JournalHeld {
        /// Exclusive end index.
        end: TokenIndex,
    },
    /// No journal peer is available; tokens are released unheld.
    JournalUnheld,
    /// The caller disconnected or stopped reading.
    CallerGone,
    /// The node is stopping and hands over its generations.
    StopRequested,
    /// Another node owns the generation.
    Superseded,
}

/// Effect that the caller of [`Generation`] carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GenerationEffect {
    /// Choose an endpoint and reply with `Placed` or `PlacementFailed`.
    Place(PlacementConstraints),
    /// Open a stream to an engine.
    Open(AttemptSpec),
    /// Cancel a stream to an engine.
    Cancel {
        /// Number of the attempt.
        attempt: AttemptNumber,
        /// Address of the engine.
        address: SocketAddr,
    },
    /// Append a token to the journal; the reply is `JournalHeld` or `JournalUnheld`.
    AppendToJournal {
        /// Index of the token.
        index: TokenIndex,
    },
    /// Write tokens to the caller.
    Release {
        /// Index of the first token.
        start: TokenIndex,
        /// Exclusive end index.
        end: TokenIndex,
    },
    /// Count tokens that are released although no journal peer holds them.
    CountUnheld {
        /// Number of tokens.
        tokens: TokenCount,
    },
    /// Report the result of an attempt.
    Report(AttemptReport),
    /// Tell the caller that the answer is complete.
    Finish {
        /// Length of the answer.
        tokens: TokenCount,
        /// Endpoint version that generated the answer.
        endpoint_version: EndpointVersion,
        /// Number of attempts started.
        attempts: AttemptNumber,
    },
    /// End the answer with an error.
    Fail(Refusal),
    /// Tell the caller to resume at another node.
    Move,
}

static MACHINE: LazyMachine<GenerationState, GenerationEvent, GenerationContext> =
    LazyLock::new(|| {
        let bindings = Bindings::<GenerationContext>::new()
            .guard(
                "placement_timed_out",
                GenerationContext::placement_timed_out,
            )
            .guard("attempts_exhausted", GenerationContext::attempts_exhausted)
            .guard("all_released", GenerationContext::all_released)
            .guard("is_complete", |it| it.is_complete)
            .guard("all_held", GenerationContext::all_held)
            .duration("backoff", GenerationContext::backoff)
            .action("request_placement", GenerationContext::request_placement)
            .action("open_attempt", GenerationContext::open_attempt)
            .action("append_token", GenerationContext::append_token)
            .action("release_held", GenerationContext::release_held)
            .action("release_unheld", GenerationContext::release_unheld)
            .action("record_failure", GenerationContext::record_failure)
            .action("cancel_attempt", GenerationContext::cancel_attempt)
            .action(
                "fail_without_endpoint",
                GenerationContext::fail_without_endpoint,
            )
            .action(
                "fail_after_attempts",
                GenerationContext::fail_after_attempts,
            )
            .action("finish", GenerationContext::finish)
            .action("announce_move", |it| {
                it.effects.push(GenerationEffect::Move);
            })
            .action(
                "announce_supersession",
                GenerationContext::announce_supersession,
            );
        charts::compile(charts::GENERATION, &bindings)
    });

fn machine() -> &'static Machine<GenerationState, GenerationEvent, GenerationContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_charts() -> Result<(), ChartError> {
    attempt::verify_chart()?;
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

/// State machine of one generation at its owner node.
pub struct Generation {
    instance: Instance<GenerationState>,
    context: GenerationContext,
}

impl Generation {
    /// Starts a generation from the state of a previous owner, if there was one.
    pub fn start(
        now: MonoTime,
        request: GenerationRequest,
        limits: GenerationLimits,
        recovered: RecoveredState,
    ) -> (Self, Vec<GenerationEffect>) {
        let accepted = TokenIndex::after(recovered.tokens.len());
        let released = recovered.released.min(accepted);
        let is_complete = recovered.finished || accepted.get() >= request.max_tokens.get();
        let mut context = GenerationContext {
            now,
            request,
            limits,
            tokens: recovered.tokens,
            held: match recovered.held {
                true => accepted,
                false => released,
            },
            released,
            is_complete,
            attempt: None,
            attempts_started: recovered.attempts_started,
            endpoint_version: recovered.endpoint_version,
            failed_endpoints: Vec::new(),
            consecutive_failures: 0,
            without_attempt_since: now,
            input_spec: None,
            input_token: None,
            input_held: TokenIndex::ZERO,
            effects: Vec::new(),
        };
        let instance = machine().start(now, &mut context);
        let mut generation = Self { instance, context };
        generation.step(now, GenerationEvent::Started);
        generation.context.input_held = generation.context.held;
        generation.step(now, GenerationEvent::JournalHeld);
        let effects = generation.take_effects();
        (generation, effects)
    }

    /// Current state.
    pub fn state(&self) -> GenerationState {
        self.instance.state()
    }

    /// Whether the generation has ended at this node.
    pub fn is_over(&self) -> bool {
        machine().is_final(&self.instance)
    }

    /// Request of the caller.
    pub fn request(&self) -> &GenerationRequest {
        &self.context.request
    }

    /// Accepted tokens, from index 0.
    pub fn tokens(&self) -> &[Token] {
        &self.context.tokens
    }

    /// Exclusive end index of the released tokens.
    pub fn released(&self) -> TokenIndex {
        self.context.released
    }

    /// Endpoint version of the answer; set when the first token is accepted.
    pub fn endpoint_version(&self) -> Option<&EndpointVersion> {
        self.context.endpoint_version.as_ref()
    }

    /// Number of the last attempt that was started.
    pub fn attempts_started(&self) -> AttemptNumber {
        self.context.attempts_started
    }

    /// Time at which [`Generation::expire`] must be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let attempt = self
            .context
            .attempt
            .as_ref()
            .and_then(Attempt::next_deadline);
        [self.instance.next_deadline(), attempt]
            .into_iter()
            .flatten()
            .min()
    }

    /// Applies an input and returns its effects.
    pub fn handle(&mut self, now: MonoTime, input: GenerationInput) -> Vec<GenerationEffect> {
        match input {
            GenerationInput::Placed(placement) => self.place(now, placement),
            GenerationInput::PlacementFailed => self.step(now, GenerationEvent::PlacementFailed),
            GenerationInput::Attempt { attempt, input } => {
                self.handle_attempt(now, attempt, input);
            }
            GenerationInput::JournalHeld { end } => {
                self.context.input_held = end;
                self.step(now, GenerationEvent::JournalHeld);
            }
            GenerationInput::JournalUnheld => self.step(now, GenerationEvent::JournalUnheld),
            GenerationInput::CallerGone => self.step(now, GenerationEvent::CallerGone),
            GenerationInput::StopRequested => self.step(now, GenerationEvent::StopRequested),
            GenerationInput::Superseded => self.step(now, GenerationEvent::Superseded),
        }
        self.take_effects()
    }

    /// Handles expired deadlines.
    pub fn expire(&mut self, now: MonoTime) -> Vec<GenerationEffect> {
        self.context.now = now;
        machine().expire(&mut self.instance, now, &mut self.context);
        if let Some(attempt) = &mut self.context.attempt {
            attempt.expire(now);
            self.handle_attempt_end(now);
        }
        self.take_effects()
    }

    fn place(&mut self, now: MonoTime, placement: Placement) {
        let context = &mut self.context;
        context.input_spec = Some(AttemptSpec {
            attempt: context.attempts_started.next(),
            endpoint: placement.endpoint,
            address: placement.address,
            endpoint_version: placement.endpoint_version,
            resume_from: TokenIndex::after(context.tokens.len()),
            first_token_timeout_ms: placement.first_token_timeout_ms,
            token_timeout_ms: placement.token_timeout_ms,
        });
        self.step(now, GenerationEvent::Placed);
    }

    /// Applies an input of the running attempt; inputs of older attempts are dropped.
    fn handle_attempt(&mut self, now: MonoTime, number: AttemptNumber, input: AttemptInput) {
        let Some(attempt) = &mut self.context.attempt else {
            return;
        };
        if attempt.context.spec.attempt != number {
            return;
        }
        if let Some(token) = attempt.handle(now, input) {
            self.context.input_token = Some(token);
            self.step(now, GenerationEvent::TokenAccepted);
        }
        self.handle_attempt_end(now);
    }

    /// Forwards the end of the running attempt to the generation's chart.
    fn handle_attempt_end(&mut self, now: MonoTime) {
        let Some(attempt) = &self.context.attempt else {
            return;
        };
        let event = match attempt.state() {
            AttemptState::Finished => GenerationEvent::AttemptFinished,
            AttemptState::Broken => GenerationEvent::AttemptBroken,
            _ => return,
        };
        let report = attempt_report(attempt);
        self.context.effects.push(GenerationEffect::Report(report));
        self.step(now, event);
        if event == GenerationEvent::AttemptFinished {
            self.context.attempt = None;
        }
    }

    fn step(&mut self, now: MonoTime, event: GenerationEvent) {
        self.context.now = now;
        machine().step(&mut self.instance, now, event, &mut self.context);
    }

    fn take_effects(&mut self) -> Vec<GenerationEffect> {
        std::mem::take(&mut self.context.effects)
    }
}

/// State of a generation recovered from a previous owner.
#[derive(Clone, Debug, Default)]
pub struct RecoveredState {
    /// Accepted tokens, from index 0.
    pub tokens: Vec<Token>,
    /// Exclusive end index of the tokens that the caller has received.
    pub released: TokenIndex,
    /// Number of attempts started.
    pub attempts_started: AttemptNumber,
    /// Endpoint version of the tokens.
    pub endpoint_version: Option<EndpointVersion>,
    /// Whether another node holds the tokens, so that they may be released.
    pub held: bool,
    /// Whether the answer is complete.
    pub finished: bool,
}

fn attempt_report(attempt: &Attempt) -> AttemptReport {
    let (first_token_us, pace_us) = attempt.timing();
    let context = &attempt.context;
    AttemptReport {
        endpoint: context.spec.endpoint.clone(),
        endpoint_version: context.spec.endpoint_version.clone(),
        fault: context.fault,
        first_token_us,
        pace_us,
        dropped_tokens: context.dropped_tokens,
    }
}
