//! What probes show about a request at its endpoint.

use parsleylatch_types::{Micros, MonoTime};

/// Successive reports without the request that confirm its loss. The last events of a run
/// that has completed may still be in transit when the first one arrives.
const LOSS_CONFIRMING_REPORTS: u32 = 2;

/// Signs of life of the endpoint of one attempt.
#[derive(Debug)]
pub(super) struct ProbeEvidence {
    sent_at: MonoTime,
    /// Successive reports without the request.
    missing_reports: u32,
    /// Last event, or report that shows the request.
    last_present_at: MonoTime,
}

impl ProbeEvidence {
    /// State of an attempt that is sent `now`.
    pub(super) fn new(now: MonoTime) -> Self {
        Self {
            sent_at: now,
            missing_reports: 0,
            last_present_at: now,
        }
    }

    /// Records an event, or a report that shows the request.
    pub(super) fn record_presence(&mut self, now: MonoTime) {
        self.missing_reports = 0;
        self.last_present_at = now;
    }

    /// Records a report without the request.
    pub(super) fn record_missing(&mut self) {
        self.missing_reports += 1;
    }

    /// Time since the send.
    pub(super) fn answering_for(&self, now: MonoTime) -> Micros {
        now.since(self.sent_at)
    }

    /// Time since the last event, or report that shows the request.
    pub(super) fn silent_for(&self, now: MonoTime) -> Micros {
        now.since(self.last_present_at)
    }

    /// Whether the last report was without the request.
    pub(super) fn is_missing(&self) -> bool {
        self.missing_reports > 0
    }

    /// Whether reports have confirmed the loss of the request.
    pub(super) fn is_loss_confirmed(&self) -> bool {
        self.missing_reports >= LOSS_CONFIRMING_REPORTS
    }
}
