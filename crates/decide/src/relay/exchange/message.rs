//! Inputs and effects of an exchange.

use parsleylatch_types::{Millis, MonoTime, ServiceName, TokenCount};
use strum::{Display, IntoStaticStr};

use crate::relay::{
    configuration::RepeatPolicy, copy::MemoryCopy, endpoint_table::EndpointKey, selector::Choice,
};

/// Class of a response, which its head tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseClass {
    /// Success, or an error that would be the same at any endpoint.
    Final,
    /// The endpoint failed; another one may succeed.
    Failure,
    /// The endpoint did not run the request.
    NotRun,
}

/// Parameters of a request.
#[derive(Clone, Debug)]
pub struct ExchangeSpec {
    /// How often the request may run.
    pub repeat: RepeatPolicy,
    /// Service that has to answer.
    pub service: ServiceName,
    /// Maximum number of attempts that may run the request.
    pub attempts: u32,
    /// The earlier of the caller's and the route's deadline.
    pub deadline: MonoTime,
    /// Target for the response time.
    pub goal_ms: Millis,
    /// Target for the largest gap between the events of a stream.
    pub gap_goal_ms: Option<Millis>,
    /// Tokens of the prompt; zero for a call.
    pub prompt: TokenCount,
}

/// Inputs of an exchange.
#[derive(Clone, Debug)]
pub enum ExchangeInput {
    /// An endpoint was selected.
    Placed(Box<Choice>),
    /// No endpoint is eligible.
    PlacementFailed,
    /// All engines are full; the request waits for one with room.
    Queued,
    /// The engine that was assigned to the waiting request can no longer be used.
    AssignmentFailed,
    /// The request is not to be sent: it can't be served before its deadline, or it would
    /// crash the endpoint.
    Hopeless {
        /// Why it is refused.
        reason: RefusalReason,
        /// Time after which the caller may try again.
        retry_after_ms: Option<Millis>,
    },
    /// A complete response arrived.
    Answered {
        /// Class of the response.
        class: ResponseClass,
        /// Whether the retry budget allows another attempt.
        may_retry: bool,
    },
    /// The head of a large response arrived, with the beginning of its body.
    AnswerBegun {
        /// Class of the response.
        class: ResponseClass,
        /// Whether the retry budget allows another attempt.
        may_retry: bool,
    },
    /// The endpoint did not accept a connection in time, and may do so later.
    Unanswered {
        /// Whether the retry budget allows another attempt.
        may_retry: bool,
    },
    /// Nothing was sent to the endpoint.
    Unsent {
        /// Whether the retry budget allows another attempt.
        may_retry: bool,
    },
    /// The attempt failed after the request was sent.
    Lost {
        /// Whether the retry budget allows another attempt.
        may_retry: bool,
    },
    /// An event arrived.
    Event,
    /// The stream, or the body of a large response, is complete.
    Finished,
    /// The probe was answered, and the endpoint has the request.
    ProbeAnswered,
    /// The probe was answered too early to show whether the endpoint has the request.
    ProbeUnclear,
    /// The probe shows no progress of the request.
    ProbeFailed {
        /// What it shows.
        failure: ProbeFailure,
        /// What may follow.
        next: NextStep,
    },
    /// Another endpoint has shown that it answers, and takes the request, which leaves its
    /// attempt.
    PlaceConfirmed {
        /// Why it leaves.
        reason: LeaveReason,
        /// The endpoint that takes it.
        choice: Box<Choice>,
    },
    /// The caller disconnected.
    CallerGone,
}

/// What a probe without a sign of progress shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ProbeFailure {
    /// The endpoint did not answer.
    Silent,
    /// The endpoint has generated events that did not arrive.
    Undelivered,
    /// The endpoint answered, and does not have the request.
    Missing,
}

/// What the front end has found for a request that may leave its endpoint.
///
/// A request leaves an endpoint that may still answer only for a place that takes it.
#[derive(Clone, Debug)]
pub enum NextStep {
    /// Nothing; the request stays where it is.
    Stay,
    /// A retry from the budget, but no place.
    Retry,
    /// A retry from the budget, and the endpoint that takes the request.
    Move(Box<Choice>),
}

/// Why a request left an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum LeaveReason {
    /// The endpoint answered no probe.
    Silent,
    /// The response or the next event was overdue.
    Overdue,
    /// Events that the endpoint has generated did not arrive.
    Undelivered,
    /// The endpoint reported that it does not have the request.
    Missing,
    /// The connection ended, or its response was unusable.
    Lost,
    /// The endpoint did not accept a connection in time.
    Unanswered,
    /// The request could not be sent.
    Unsent,
    /// The endpoint did not run the request.
    Rejected,
    /// The endpoint answered with an error.
    Errored,
}

impl LeaveReason {
    /// Whether the endpoint may still have answered.
    pub(super) fn is_silence(self) -> bool {
        matches!(self, Self::Silent | Self::Overdue | Self::Undelivered)
    }
}

impl From<ProbeFailure> for LeaveReason {
    fn from(failure: ProbeFailure) -> Self {
        match failure {
            ProbeFailure::Silent => Self::Silent,
            ProbeFailure::Undelivered => Self::Undelivered,
            ProbeFailure::Missing => Self::Missing,
        }
    }
}

/// Why a request was refused, or its stream aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum RefusalReason {
    /// No endpoint is eligible.
    NoEndpoint,
    /// The last endpoint rejected the request or did not receive it.
    Rejected,
    /// The request was sent, and no usable response arrived.
    AnswerLost,
    /// The last endpoint answered with an error.
    Errored,
    /// The endpoint made no progress with the request.
    NoProgress,
    /// The deadline has passed.
    DeadlinePassed,
    /// The deadline is too close for any endpoint to respond.
    Hopeless,
    /// All endpoints have said that they want no requests for a while.
    EndpointsPaused,
    /// The engines are full, and too many requests wait already.
    Overloaded,
    /// A part of the prompt crashes endpoints.
    Quarantined,
    /// The process stops before the request can be completed.
    Stopping,
}

/// Effects that the front end carries out.
#[derive(Clone, Debug)]
pub enum ExchangeEffect {
    /// Select an endpoint and answer with `Placed` or `PlacementFailed`.
    Place {
        /// Endpoints that must not be selected.
        excluded: Vec<EndpointKey>,
        /// Copy of the run's memory to resume from.
        copy: Option<MemoryCopy>,
    },
    /// Close the previous attempt, if any, and send the request to the endpoint.
    Open(Box<Choice>),
    /// Ask the endpoint whether it still has the request.
    Probe,
    /// Forward the last response to the caller; the rest of an incomplete one as it is read.
    ForwardResponse,
    /// Begin the caller's stream.
    BeginStream,
    /// End the caller's stream or response normally.
    Finish,
    /// Abort the caller's stream or response, so that it can't be mistaken for a complete one.
    BreakOff {
        /// Why the stream can't be continued.
        reason: RefusalReason,
    },
    /// Refuse the request.
    Refuse {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Whether no endpoint has run the request and none will.
        not_run: bool,
        /// Time after which the caller may try again.
        retry_after_ms: Option<Millis>,
    },
}
