//! Check of requests on new connections, which a relay passes on, answers or refuses in time.

use parsleylatch_types::MonoTime;

use crate::{
    invariants::NEW_CALLER_WAIT_MS,
    observations::{RequestKind, SentRequest},
};

/// Check of requests on new connections, and the silences that excuse look-ups.
#[derive(Debug, Default)]
pub(crate) struct NewCallerCheck {
    /// Start and end of each silence of an endpoint.
    silences: Vec<(MonoTime, MonoTime)>,
}

impl NewCallerCheck {
    /// Records that an endpoint is silent, which is no disturbance.
    pub(crate) fn record_silence(&mut self, from: MonoTime, to: MonoTime) {
        self.silences.push((from, to));
    }

    /// Why a request that nobody took up before `taken_at` violates the invariant, if it does.
    pub(crate) fn find(&self, sent: &SentRequest, taken_at: MonoTime) -> Option<String> {
        let is_checked = match sent.kind {
            RequestKind::Unrouted => true,
            RequestKind::LookUp => !self.has_silence(sent.sent_at, taken_at),
            RequestKind::Booking | RequestKind::Stream => false,
        };
        let is_new = sent.requests_before == 0;
        let is_late = taken_at > sent.sent_at + NEW_CALLER_WAIT_MS;
        (is_checked && is_new && is_late).then(|| {
            format!(
                "{} on a new connection was neither passed on, answered nor refused for {}",
                sent.id,
                taken_at.since(sent.sent_at).millis()
            )
        })
    }

    /// Whether an endpoint was silent in a time; a look-up may have waited for it.
    fn has_silence(&self, from: MonoTime, to: MonoTime) -> bool {
        let mut silences = self.silences.iter();
        silences.any(|(start, end)| *start <= to && *end >= from)
    }
}
