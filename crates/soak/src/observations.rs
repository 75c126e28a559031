//! What callers observe: their requests, the outcomes, and counts of them.

use std::time::Duration;

use parsleylatch_standin::ArrivedRequest;
use parsleylatch_types::{EndpointId, Micros, Millis, MonoTime};

use crate::loss_judge::RequestEnd;

/// Kind of a request, which determines how often it may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestKind {
    /// May run repeatedly.
    LookUp,
    /// May run at most once.
    Booking,
    /// May run repeatedly, and resume after any event.
    Stream,
    /// Has no route, so that a relay answers it at once.
    Unrouted,
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
    pub(crate) connection_opened_at: MonoTime,
    /// Number of requests that its connection has carried before.
    pub(crate) requests_before: u32,
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

impl Outcome {
    /// How the request ended for its caller; none if the caller stopped waiting.
    pub(crate) fn request_end(&self) -> Option<RequestEnd> {
        match self {
            Self::Answered { is_whole, .. } | Self::Streamed { is_whole, .. } => {
                Some(match is_whole {
                    true => RequestEnd::Complete,
                    false => RequestEnd::Incomplete,
                })
            }
            Self::Closed => Some(RequestEnd::Closed),
            Self::Unanswered | Self::Left => None,
        }
    }

    /// One line about the outcome.
    pub(crate) fn summary(&self) -> String {
        let whole = |is_whole: &bool| if *is_whole { "complete" } else { "incomplete" };
        match self {
            Self::Answered {
                status, is_whole, ..
            } => format!("answered with status {status}, {}", whole(is_whole)),
            Self::Streamed { events, is_whole } => {
                let count = events.len();
                format!("stream ended after {count} events, {}", whole(is_whole))
            }
            Self::Closed => "connection closed without a response".to_owned(),
            Self::Unanswered => "nothing arrived while the caller waited".to_owned(),
            Self::Left => "the caller left".to_owned(),
        }
    }
}

/// Describes how a request that arrived differs from the one that was sent, if it does.
pub(crate) fn find_alteration(sent: &SentRequest, arrived: &ArrivedRequest) -> Option<String> {
    let header = |name: &str| arrived.headers.get(name).map(String::as_str);
    let (id, endpoint) = (&sent.id, &arrived.endpoint);
    if arrived.target != sent.target || arrived.body_digest != sent.body_digest {
        let target = &arrived.target;
        return Some(format!(
            "{endpoint} received {id} with target `{target}`, or with a different body"
        ));
    }
    if header("workspace-key").is_some() {
        return Some(format!("{endpoint} received the caller's key with {id}"));
    }
    if header("workspace") != Some(sent.workspace) {
        let named = header("workspace");
        return Some(format!("{endpoint} received {id} for workspace {named:?}"));
    }
    None
}
