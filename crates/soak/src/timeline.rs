//! Timelines of requests that violate an invariant: what their caller, the endpoints and the
//! control thread saw.

use parsleylatch_types::{EndpointId, Millis, MonoTime};

use crate::observations::SentRequest;

/// Time before the request, and after its end, whose events belong to its timeline.
const BEFORE_MS: Millis = Millis::new(4_000);
const AFTER_MS: Millis = Millis::new(1_000);
/// Maximum number of events of the environment in a timeline; the earliest are left out.
const MAX_EVENTS: usize = 60;

/// What the control thread did or saw.
#[derive(Clone, Debug)]
struct LoggedEvent {
    at: MonoTime,
    /// Index of the relay that it concerns; none for all.
    relay: Option<usize>,
    what: String,
}

/// Events of a run, in order of time.
#[derive(Debug, Default)]
pub(crate) struct EventLog {
    events: Vec<LoggedEvent>,
}

/// A request's part of its timeline.
pub(crate) struct RequestHistory<'a> {
    pub(crate) sent: &'a SentRequest,
    pub(crate) arrivals: &'a [(MonoTime, EndpointId)],
    pub(crate) ended: Option<&'a (MonoTime, String)>,
}

impl EventLog {
    pub(crate) fn record(&mut self, at: MonoTime, relay: Option<usize>, what: String) {
        self.events.push(LoggedEvent { at, relay, what });
    }

    /// Lines of all events.
    pub(crate) fn lines(&self) -> Vec<String> {
        let events = self.events.iter();
        let relay =
            |relay: Option<usize>| relay.map_or("all".to_owned(), |it| format!("relay {it}"));
        events
            .map(|it| format!("{} {}: {}", it.at, relay(it.relay), it.what))
            .collect()
    }

    /// Lines of a request's timeline, in order of time.
    pub(crate) fn timeline(&self, history: &RequestHistory) -> Vec<String> {
        let sent = history.sent;
        let ended_at = history.ended.map_or(sent.sent_at, |(at, _)| *at);
        let (from, to) = (sent.connection_opened_at, ended_at + AFTER_MS);
        let mut lines: Vec<(MonoTime, String)> = self
            .events
            .iter()
            .filter(|it| it.relay.is_none_or(|relay| relay == sent.relay))
            .filter(|it| it.at + BEFORE_MS >= sent.sent_at && it.at <= to)
            .map(|it| (it.at, it.what.clone()))
            .collect();
        let omitted = lines.len().saturating_sub(MAX_EVENTS);
        lines.drain(..omitted);
        lines.push((from, format!("connection to relay {} opened", sent.relay)));
        let kept = match sent.requests_before {
            0 => "new connection".to_owned(),
            count => format!("kept connection, {count} requests before"),
        };
        let (target, timeout_ms) = (&sent.target, sent.timeout_ms);
        let what = format!("{} sent: {target}, timeout {timeout_ms}, {kept}", sent.id);
        lines.push((sent.sent_at, what));
        let arrivals = history.arrivals.iter();
        lines.extend(arrivals.map(|(at, endpoint)| (*at, format!("passed on to {endpoint}"))));
        lines.extend(history.ended.cloned());
        lines.sort_by_key(|(at, _)| *at);
        let lines = lines.into_iter();
        lines.map(|(at, what)| format!("{at} {what}")).collect()
    }
}
