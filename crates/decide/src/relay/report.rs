//! What an engine tells of itself when it is probed.
//!
//! A report is some hundred milliseconds old when it comes. It shows whether an
//! engine still has a request, and whether it made events that never arrived.

use parsleylatch_types::{Millis, StreamEventId};

/// Events that a report may be ahead of what arrived; those on their way.
const EVENTS_IN_TRANSIT: u64 = 2;
/// Time after the send in which an old report need not list the request.
const REPORT_LAG_MS: Millis = Millis::new(800);

/// One run of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunProgress {
    /// Id of the request, as the caller gave it.
    pub id: Box<str>,
    /// Events that it has made.
    pub events: u64,
}

/// State of an engine.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Requests that run, those whose prompt is being read included.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Runs that make events.
    pub runs: Vec<RunProgress>,
}

/// What a report says of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeFinding {
    /// The engine has it, or may have it.
    Present,
    /// The engine made events that did not arrive.
    Undelivered,
    /// The engine does not have it.
    Missing,
}

impl EngineReport {
    /// What it says of a request that was sent `sent_for` ago.
    pub fn find_request(
        &self,
        id: &str,
        last_event: Option<StreamEventId>,
        sent_for: Millis,
    ) -> ProbeFinding {
        if sent_for < REPORT_LAG_MS {
            return ProbeFinding::Present;
        }
        let received = last_event.unwrap_or_default().get();
        match self.runs.iter().find(|run| &*run.id == id) {
            Some(run) if run.events > received + EVENTS_IN_TRANSIT => ProbeFinding::Undelivered,
            Some(_) => ProbeFinding::Present,
            None if self.has_unlisted() => ProbeFinding::Present,
            None => ProbeFinding::Missing,
        }
    }

    /// Whether requests wait, or have their prompt read.
    fn has_unlisted(&self) -> bool {
        self.waiting > 0 || self.running as usize > self.runs.len()
    }
}
