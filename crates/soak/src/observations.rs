//! What callers observe: their requests, the outcomes, and counts of them.

use std::time::Duration;

use parsleylatch_types::{EndpointId, Micros, Millis, MonoTime};

/// Kind of a request, which determines how often it may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// May run repeatedly.
    LookUp,
    /// May run at most once.
    Booking,
    /// May run repeatedly, and resume after any event.
    Stream,
}

/// A request as sent by a caller.
#[derive(Clone, Debug)]
pub(crate) struct SentRequest {
    pub(crate) id: String,
    pub(crate) kind: RequestKind,
    /// Index of the relay that it was sent to.
    pub(crate) relay: usize,
    /// Method and path.
    pub(crate) target: String,
    pub(crate) body_digest: u64,
    /// Workspace that its key belongs to.
    pub(crate) workspace: &'static str,
    /// Number of events in the complete stream.
    pub(crate) output_events: u64,
    /// Last event that the caller already has; 0 for none.
    pub(crate) last_event: u64,
    /// Configuration version that added its route; 0 for the routes of the first version.
    pub(crate) route_version: u64,
    pub(crate) timeout_ms: Millis,
    /// Run time of the traffic thread when it was sent.
    pub(crate) run_time_us: Micros,
    pub(crate) sent_at: MonoTime,
}

/// Circumstances in which a caller observes an outcome.
#[derive(Clone, Debug)]
pub(crate) struct Observed {
    pub(crate) at: MonoTime,
    pub(crate) run_time_us: Micros,
    /// Endpoint that has run the request to its end, and the time since then.
    pub(crate) finished: Option<(EndpointId, Duration)>,
}

/// Outcome of a request for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A response other than an event stream.
    Answered {
        status: u16,
        body: String,
        is_whole: bool,
    },
    /// An event stream, and whether it ended without an error.
    Streamed {
        events: Vec<(u64, String)>,
        is_whole: bool,
    },
    /// The connection closed before a response arrived.
    Closed,
    /// No outcome arrived while the caller waited.
    Unanswered,
    /// The caller cancelled the request.
    Left,
}

/// Counts of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Requests with a complete success response.
    pub served: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests with other failures or incomplete responses.
    pub failed: u64,
    /// Requests whose connection closed before a response.
    pub closed: u64,
}
