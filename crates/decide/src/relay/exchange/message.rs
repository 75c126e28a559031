//! What goes into an exchange and what comes out of it.

use parsleylatch_types::{Millis, MonoTime, ServiceName, TokenCount};
use strum::{Display, IntoStaticStr};

use crate::relay::{
    configuration::RepeatPolicy, copy::MemoryCopy, endpoint_table::EndpointKey, selector::Choice,
};

/// What a whole answer tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// The request was served, or is wrong in a way that another endpoint can't mend.
    Final,
    /// The endpoint failed; another may do better.
    Failure,
    /// The endpoint did not run the request.
    NotRun,
}

/// What is asked for.
#[derive(Clone, Debug)]
pub struct ExchangeSpec {
    /// How often the request may run.
    pub repeat: RepeatPolicy,
    /// Service that answers.
    pub service: ServiceName,
    /// Most endpoints that may run it.
    pub attempts: u32,
    /// Time at which the caller's or the route's time is over.
    pub deadline: MonoTime,
    /// Time within which an answer is worth most.
    pub goal_ms: Millis,
    /// Longest pause between events with which a stream is on time.
    pub gap_goal_ms: Option<Millis>,
    /// Tokens of the prompt; zero for a call.
    pub prompt: TokenCount,
}

/// What happens to an exchange.
#[derive(Clone, Debug)]
pub enum ExchangeInput {
    /// An endpoint was chosen.
    Placed(Box<Choice>),
    /// No endpoint may take it.
    PlacementFailed,
    /// A whole answer came.
    Answered {
        /// What it tells.
        class: ResponseClass,
        /// Whether the retry budget allows another send.
        may_retry: bool,
    },
    /// Nothing was written to the endpoint.
    Unsent {
        /// Whether the retry budget allows another send.
        may_retry: bool,
    },
    /// The attempt broke after it was sent.
    Lost {
        /// Whether the retry budget allows another send.
        may_retry: bool,
    },
    /// An event came.
    Event,
    /// The stream is whole.
    Finished,
    /// The probe was answered, and the endpoint has the request.
    ProbeAnswered,
    /// The probe was not answered, or the endpoint does not have the request.
    ProbeFailed {
        /// Whether the retry budget allows another send.
        may_retry: bool,
    },
    /// The caller left.
    CallerGone,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// No endpoint may take it.
    NoEndpoint,
    /// Every endpoint that was asked rejected it.
    Rejected,
    /// It was sent, and no usable answer came.
    AnswerLost,
    /// The time is over.
    DeadlinePassed,
}

/// What the front end has to do.
#[derive(Clone, Debug)]
pub enum ExchangeEffect {
    /// Choose an endpoint.
    Place {
        /// Endpoints that failed this request.
        excluded: Vec<EndpointKey>,
        /// Copy of the run's memory.
        copy: Option<MemoryCopy>,
    },
    /// Close what runs and send the request to the endpoint.
    Open(Box<Choice>),
    /// Ask the endpoint whether it lives.
    Probe,
    /// Give the caller the answer that came last.
    ForwardResponse,
    /// Begin the caller's stream.
    BeginStream,
    /// End the caller's stream as whole.
    Finish,
    /// End the caller's stream so that it can't look whole.
    BreakOff,
    /// Refuse the request.
    Refuse {
        /// Why.
        reason: RefusalReason,
        /// Whether no endpoint ran the request, and none will.
        not_run: bool,
        /// When a repeat may do better.
        retry_after_ms: Option<Millis>,
    },
}
