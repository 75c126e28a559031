//! State that an engine reports when it is probed.
//!
//! A report is some hundred milliseconds old on arrival. It shows whether the
//! engine still has a request, and whether it generated events that never arrived.

use parsleylatch_types::{Millis, StreamEventId, TokenCount};

/// Events that may still be in transit when a report arrives.
const EVENTS_IN_TRANSIT: u64 = 2;
/// Time after an engine could read a request during which a report may be too old to list it.
const REPORT_LAG_MS: Millis = Millis::new(800);

/// Progress of one run of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunProgress {
    /// Request id, as given by the caller.
    pub id: Box<str>,
    /// Events generated so far.
    pub events: u64,
}

/// State of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Running requests, including those whose prompt is being read.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Memory that running requests and copies use.
    pub memory_used: TokenCount,
    /// Memory of the engine; zero if it is unknown.
    pub memory_total: TokenCount,
    /// Runs that have started to generate events.
    pub runs: Vec<RunProgress>,
}

/// What a report shows about one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeFinding {
    /// The engine has the request, or may have it.
    Present,
    /// The report may be older than the time at which the engine read the request.
    TooEarly,
    /// The engine generated events that did not arrive.
    Undelivered,
    /// The engine does not have the request.
    Missing,
}

impl EngineReport {
    /// Looks up a request that the engine could read for `readable_for`.
    pub fn find_request(
        &self,
        id: &str,
        last_event: Option<StreamEventId>,
        readable_for: Millis,
    ) -> ProbeFinding {
        let is_early = readable_for < REPORT_LAG_MS;
        let received = last_event.unwrap_or_default().get();
        match self.runs.iter().find(|run| &*run.id == id) {
            Some(run) if run.events > received.saturating_add(EVENTS_IN_TRANSIT) => {
                match is_early {
                    true => ProbeFinding::TooEarly,
                    false => ProbeFinding::Undelivered,
                }
            }
            Some(_) => ProbeFinding::Present,
            None if self.has_unlisted() => ProbeFinding::Present,
            None if is_early => ProbeFinding::TooEarly,
            None => ProbeFinding::Missing,
        }
    }

    /// Whether the engine has requests without an entry in `runs`: queued, or with
    /// a prompt that is being read.
    fn has_unlisted(&self) -> bool {
        self.waiting > 0 || self.running as usize > self.runs.len()
    }
}
