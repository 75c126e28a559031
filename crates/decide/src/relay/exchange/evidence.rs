//! What probes show about a request at its endpoint.
//!
//! An endpoint that goes on after a silence answers probes before it reads the requests that
//! wait on other connections, and its reports are some hundred milliseconds old. A report is
//! evidence only if the endpoint has answered for so long that it would list the request, and
//! reports in quick succession are one observation.

use parsleylatch_types::{Micros, Millis, MonoTime};

/// Time between the first and the last of the reports that confirm the loss of a request.
const LOSS_CONFIRMING_MS: Millis = Millis::new(800);

/// Signs of life of the endpoint of one attempt.
#[derive(Debug)]
pub(super) struct ProbeEvidence {
    /// Since when the endpoint has answered; `None` while it is silent.
    answering_since: Option<MonoTime>,
    /// First of the successive reports without the request.
    missing_since: Option<MonoTime>,
    /// Last event, or report that shows the request.
    last_present_at: MonoTime,
}

impl ProbeEvidence {
    /// State of an attempt that is sent `now` to an endpoint presumed to answer.
    pub(super) fn new(now: MonoTime) -> Self {
        Self {
            answering_since: Some(now),
            missing_since: None,
            last_present_at: now,
        }
    }

    /// Records an event, or a report that shows the request.
    pub(super) fn record_presence(&mut self, now: MonoTime) {
        self.record_answer(now);
        self.missing_since = None;
        self.last_present_at = now;
    }

    /// Records a report without the request.
    pub(super) fn record_missing(&mut self, now: MonoTime) {
        self.answering_since.get_or_insert(now);
        self.missing_since.get_or_insert(now);
    }

    /// Records a report that tells nothing about the request.
    pub(super) fn record_answer(&mut self, now: MonoTime) {
        self.answering_since.get_or_insert(now);
        self.missing_since = None;
    }

    /// Records a probe without an answer.
    pub(super) fn record_silence(&mut self) {
        self.answering_since = None;
        self.missing_since = None;
    }

    /// Time for which the endpoint has answered.
    pub(super) fn answering_for(&self, now: MonoTime) -> Micros {
        let since = self.answering_since;
        since.map_or(Micros::ZERO, |since| now.since(since))
    }

    /// Time since the last event, or report that shows the request.
    pub(super) fn silent_for(&self, now: MonoTime) -> Micros {
        now.since(self.last_present_at)
    }

    /// Whether reports have shown the loss of the request for long enough.
    pub(super) fn is_loss_confirmed(&self, now: MonoTime) -> bool {
        let since = self.missing_since;
        since.is_some_and(|since| now.since(since) >= LOSS_CONFIRMING_MS.micros())
    }
}
