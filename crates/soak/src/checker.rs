//! Checks of the invariants, from the requests and outcomes that callers record and the
//! requests that endpoints receive. Pure state: no I/O and no clock access.

use std::{collections::HashMap, time::Duration};

use parsleylatch_standin::{ArrivedRequest, RelayedNotice, call_text, event_text};
use parsleylatch_types::{EndpointId, Micros, Millis, MonoTime};

use crate::{
    disturbances::{DisturbanceLog, Scope},
    invariants::{
        Invariant, MAX_ATTEMPTS, MAX_CONFIGURATION_DELAY_MS, MAX_DRAIN_DELAY_MS, Violation,
    },
    lifecycle::STOP_TIMEOUT_MS,
    observations::{Observed, Outcome, RequestKind, SentRequest, Tally},
};

/// Last part of a request's timeout, in which a relay may give it up.
const LAST_PART_OF_TIMEOUT: u64 = 10;
/// Last part of a planned stop, in which a relay may end what its endpoints are still at work on.
const LAST_PART_OF_STOP: u64 = 6;
/// Time after the signal until which a request counts as sent early in a planned stop.
const EARLY_IN_STOP_MS: Millis = Millis::new(3_000);
/// Extra time for a response to reach the caller. Half of it allows for scheduling delays, as
/// callers and endpoints run on the same machine.
const RESPONSE_SLACK_MS: Millis = Millis::new(1_000);
/// Time that a request may be in transit to an endpoint.
const ARRIVAL_SLACK_MS: Millis = Millis::new(200);
/// Age from which the relay is assumed to have read a request whose connection closes. Time in
/// which the traffic thread, which has the links, was held up doesn't count.
const READ_SLACK_MS: Millis = Millis::new(200);
/// Part of a request's time for which the traffic thread may have been held up. Beyond it, all
/// endpoints were silent together.
const MAX_HELD_UP_MS: Millis = Millis::new(500);
/// Time in which requests may be on their way when an endpoint asks for a pause.
const PAUSE_SLACK_MS: Millis = Millis::new(500);
/// Requests that an endpoint may get from one relay in the rest of a pause.
const MAX_ARRIVALS_IN_PAUSE: u32 = 2;

struct TrackedRequest {
    sent: SentRequest,
    runs: usize,
    is_refused: bool,
}

/// What one endpoint has said to one relay.
#[derive(Clone, Copy, Debug, Default)]
struct HeardNotices {
    leaving_since: Option<MonoTime>,
    pause: Option<HeardPause>,
}

#[derive(Clone, Copy, Debug)]
struct HeardPause {
    asked_at: MonoTime,
    until: MonoTime,
    arrivals: u32,
}

/// Records all requests and checks them against the invariants.
#[derive(Default)]
pub(crate) struct InvariantChecker {
    requests: HashMap<String, TrackedRequest>,
    pub(crate) disturbance_log: DisturbanceLog,
    draining: HashMap<EndpointId, MonoTime>,
    /// Time of the last planned stop, by index of the relay.
    stops: HashMap<usize, MonoTime>,
    /// By endpoint and index of the relay.
    heard_notices: HashMap<(EndpointId, usize), HeardNotices>,
    configurations: HashMap<u64, MonoTime>,
    violations: Vec<Violation>,
    tally: Tally,
}

impl InvariantChecker {
    pub(crate) fn violations(&self) -> &[Violation] {
        &self.violations
    }

    pub(crate) fn tally(&self) -> Tally {
        self.tally
    }

    pub(crate) fn report(&mut self, invariant: Invariant, at: MonoTime, reason: String) {
        self.violations.push(Violation {
            invariant,
            at,
            reason,
        });
    }

    pub(crate) fn record_sent(&mut self, sent: SentRequest) {
        self.tally.sent += 1;
        let tracked = TrackedRequest {
            runs: 0,
            is_refused: false,
            sent,
        };
        self.requests.insert(tracked.sent.id.clone(), tracked);
    }

    /// Records that the store has acknowledged that an endpoint is leaving.
    pub(crate) fn record_draining(&mut self, now: MonoTime, endpoint: EndpointId) {
        self.draining.insert(endpoint, now);
    }

    /// Records that an endpoint has been replaced by a new process.
    pub(crate) fn record_replacement(&mut self, endpoint: &EndpointId) {
        self.draining.remove(endpoint);
        self.heard_notices.retain(|(heard, _), _| heard != endpoint);
    }

    /// Records that a planned stop of a relay begins.
    pub(crate) fn record_stop(&mut self, now: MonoTime, relay: usize) {
        self.stops.insert(relay, now);
    }

    /// Records that a relay's process starts, which knows no notices.
    pub(crate) fn record_relay_start(&mut self, relay: usize) {
        self.heard_notices
            .retain(|(_, heard_by), _| *heard_by != relay);
    }

    /// Records that the store has acknowledged a configuration version.
    pub(crate) fn record_configuration(&mut self, now: MonoTime, version: u64) {
        self.configurations.insert(version, now);
    }

    pub(crate) fn record_arrival(&mut self, now: MonoTime, arrived: &ArrivedRequest) {
        let Some(tracked) = self.requests.get_mut(&arrived.id) else {
            let reason = format!(
                "{} received a request with unknown id {:?}",
                arrived.endpoint, arrived.id
            );
            return self.report(Invariant::RequestIntegrity, now, reason);
        };
        tracked.runs += usize::from(arrived.has_run);
        let (sent, runs) = (tracked.sent.clone(), tracked.runs);
        let is_refused = tracked.is_refused;
        if arrived.has_run {
            self.check_run(now, &sent, runs, is_refused);
        }
        if let Some(reason) = find_alteration(&sent, arrived) {
            self.report(Invariant::RequestIntegrity, now, reason);
        }
        let draining_since = self.draining.get(&arrived.endpoint).copied();
        if let Some(draining_since) = draining_since
            && sent.sent_at > draining_since + MAX_DRAIN_DELAY_MS
            && now > draining_since + MAX_DRAIN_DELAY_MS + ARRIVAL_SLACK_MS
            && self.is_relay_undisturbed(sent.relay, draining_since, now)
        {
            let reason = format!(
                "{} arrived at {}, which is draining",
                sent.id, arrived.endpoint
            );
            self.report(Invariant::Drain, now, reason);
        }
        self.check_notices(now, &sent, arrived);
    }

    /// Checks a request against what its endpoint has said to the relay before, and records
    /// what the response says.
    fn check_notices(&mut self, now: MonoTime, sent: &SentRequest, arrived: &ArrivedRequest) {
        let key = (arrived.endpoint.clone(), sent.relay);
        let mut heard = self.heard_notices.get(&key).copied().unwrap_or_default();
        let id = &sent.id;
        if let Some(since) = heard.leaving_since
            && sent.sent_at > since + MAX_DRAIN_DELAY_MS
            && now > since + MAX_DRAIN_DELAY_MS + ARRIVAL_SLACK_MS
            && self.is_relay_undisturbed(sent.relay, since, now)
        {
            let reason = format!("{id} arrived at {}, which has said that it leaves", key.0);
            self.report(Invariant::LeavingNotice, now, reason);
        }
        if let Some(pause) = &mut heard.pause
            && now > pause.asked_at + PAUSE_SLACK_MS
            && now < pause.until
        {
            pause.arrivals += 1;
            let (asked_at, arrivals) = (pause.asked_at, pause.arrivals);
            if arrivals > MAX_ARRIVALS_IN_PAUSE
                && self.is_relay_undisturbed(sent.relay, asked_at, now)
            {
                let reason = format!("{id} arrived at {} within its pause", key.0);
                self.report(Invariant::PauseNotice, now, reason);
            }
        }
        match arrived.notice {
            Some(RelayedNotice::Leaving) => {
                heard.leaving_since.get_or_insert(now);
            }
            Some(RelayedNotice::Pause(pause_ms)) => {
                heard.pause.get_or_insert(HeardPause {
                    asked_at: now,
                    until: now + pause_ms,
                    arrivals: 0,
                });
            }
            None => {}
        }
        heard.pause = heard.pause.filter(|pause| now < pause.until);
        self.heard_notices.insert(key, heard);
    }

    fn check_run(&mut self, now: MonoTime, sent: &SentRequest, runs: usize, is_refused: bool) {
        let is_once_only = sent.kind == RequestKind::Booking;
        if is_once_only && runs > 1 {
            let reason = format!("{} ran {runs} times", sent.id);
            self.report(Invariant::AtMostOnce, now, reason);
        }
        if is_once_only && is_refused {
            let reason = format!("{} ran after it had been refused as not run", sent.id);
            self.report(Invariant::NotRunRefusal, now, reason);
        }
        if runs > MAX_ATTEMPTS {
            let reason = format!("{} ran {runs} times; the limit is {MAX_ATTEMPTS}", sent.id);
            self.report(Invariant::AttemptLimit, now, reason);
        }
    }

    pub(crate) fn record_outcome(&mut self, observed: &Observed, id: &str, outcome: &Outcome) {
        let now = observed.at;
        let Some(tracked) = self.requests.get_mut(id) else {
            return;
        };
        tracked.is_refused = is_not_run(outcome);
        let (sent, runs) = (tracked.sent.clone(), tracked.runs);
        let finished = observed.finished.as_ref();
        let elapsed_us = now.since(sent.sent_at);
        let ran_us = observed.run_time_us.saturating_sub(sent.run_time_us);
        // A tick counts as a whole when it ends.
        let ran_us = ran_us.min(elapsed_us);
        let held_up_us = elapsed_us.saturating_sub(ran_us);
        let was_held_up = held_up_us > MAX_HELD_UP_MS.micros();
        self.update_tally(&sent, outcome);
        match outcome {
            Outcome::Answered {
                status: 200,
                body,
                is_whole,
            } => {
                self.check_success(now, &sent, runs, body, *is_whole);
            }
            Outcome::Answered { status, .. } => {
                self.check_failure(now, &sent, runs, *status, was_held_up);
            }
            Outcome::Streamed { events, is_whole } => {
                self.check_events(now, &sent, events, *is_whole);
                if !is_whole && !was_held_up {
                    self.check_aborted(now, &sent, runs, finished, true);
                }
            }
            Outcome::Closed => {
                let was_read = !was_held_up && (runs > 0 || ran_us > READ_SLACK_MS.micros());
                self.check_aborted(now, &sent, runs, finished, was_read);
            }
            Outcome::Unanswered | Outcome::Left => {}
        }
        let due = sent.sent_at + sent.timeout_ms + RESPONSE_SLACK_MS;
        let was_undisturbed = self.is_relay_undisturbed(sent.relay, sent.sent_at, now);
        if *outcome != Outcome::Left && now > due && was_undisturbed {
            let reason = format!(
                "{} ended {} after it was sent; the timeout is {}",
                sent.id,
                elapsed(&sent, now),
                sent.timeout_ms
            );
            self.report(Invariant::ResponseDeadline, now, reason);
        }
    }

    fn update_tally(&mut self, sent: &SentRequest, outcome: &Outcome) {
        let tally = &mut self.tally;
        match outcome {
            Outcome::Answered {
                status: 200,
                is_whole: true,
                ..
            } => tally.served += 1,
            Outcome::Streamed {
                events,
                is_whole: true,
            } if sent.last_event + events.len() as u64 == sent.output_events => {
                tally.served += 1;
            }
            Outcome::Closed => tally.closed += 1,
            Outcome::Left => {}
            _ if is_not_run(outcome) => tally.refused += 1,
            _ => tally.failed += 1,
        }
    }

    fn check_success(
        &mut self,
        now: MonoTime,
        sent: &SentRequest,
        runs: usize,
        body: &str,
        is_whole: bool,
    ) {
        let expected = call_text(&sent.id, sent.body_digest);
        if is_whole && (body != expected || runs == 0) {
            let reason = format!(
                "{} received the response `{body}` after {runs} runs",
                sent.id
            );
            self.report(Invariant::ResponseIntegrity, now, reason);
        }
    }

    fn check_failure(
        &mut self,
        now: MonoTime,
        sent: &SentRequest,
        runs: usize,
        status: u16,
        was_held_up: bool,
    ) {
        if GIVEN_UP_STATUSES.contains(&status)
            && !was_held_up
            && now < sent.sent_at + time_before_last_part(sent.timeout_ms, LAST_PART_OF_TIMEOUT)
            && !self.is_stop_ending(sent.relay, now)
            && self.is_relay_undisturbed(sent.relay, sent.sent_at, now)
        {
            let reason = format!(
                "{} was given up with status {status} after {} of {} and {runs} runs",
                sent.id,
                elapsed(sent, now),
                sent.timeout_ms
            );
            self.report(Invariant::EarlyFailure, now, reason);
        }
        let was_not_run = NOT_RUN_STATUSES.contains(&status);
        if was_not_run && sent.kind == RequestKind::Booking && runs > 0 {
            let reason = format!(
                "{} was refused as not run with status {status}, but ran",
                sent.id
            );
            self.report(Invariant::NotRunRefusal, now, reason);
        }
        let in_force_at = self.configurations.get(&sent.route_version);
        let due = in_force_at.map_or(MonoTime::ZERO, |at| *at + MAX_CONFIGURATION_DELAY_MS);
        let is_new = sent.route_version > 0;
        let is_excused = is_new && !self.is_relay_undisturbed(sent.relay, due, now);
        if DENIED_STATUSES.contains(&status) && runs == 0 && sent.sent_at > due && !is_excused {
            let reason = format!(
                "{} was denied with status {status} although the configuration allows it",
                sent.id
            );
            self.report(Invariant::ConfigurationDelay, now, reason);
        }
    }

    fn check_events(
        &mut self,
        now: MonoTime,
        sent: &SentRequest,
        events: &[(u64, String)],
        is_whole: bool,
    ) {
        let numbered = events.iter().zip(sent.last_event + 1..);
        let mut mismatches = numbered.filter(|((id, text), number)| {
            id != number || *text != event_text(sent.body_digest, *number)
        });
        if let Some(((id, text), number)) = mismatches.next() {
            let reason = format!(
                "{} received event {id} `{text}` in place of event {number}",
                sent.id
            );
            self.report(Invariant::EventOrder, now, reason);
        }
        let received = sent.last_event + events.len() as u64;
        if is_whole && received != sent.output_events {
            let due = sent.output_events;
            let reason = format!(
                "{} ended without an error after {received} of {due} events",
                sent.id
            );
            self.report(Invariant::EventOrder, now, reason);
        }
    }

    /// Checks a request whose connection closed before a complete response.
    fn check_aborted(
        &mut self,
        now: MonoTime,
        sent: &SentRequest,
        runs: usize,
        finished: Option<&(EndpointId, Duration)>,
        was_read: bool,
    ) {
        let in_time = now < sent.sent_at + sent.timeout_ms;
        let finished_for = finished.map(|(_, time)| Micros::new(time.as_micros() as u64));
        let is_excused = runs > 0 && self.is_cut_at_stop_end(sent, now, finished_for);
        if was_read
            && in_time
            && !is_excused
            && self.is_relay_undisturbed(sent.relay, sent.sent_at, now)
        {
            let stage = match finished {
                Some((endpoint, time)) => format!("{endpoint} had finished it for {time:?}"),
                None => format!("{runs} runs"),
            };
            let reason = format!(
                "{} lost its connection {} after it was sent; {stage}",
                sent.id,
                elapsed(sent, now)
            );
            self.report(Invariant::RequestLoss, now, reason);
        }
    }

    /// Whether a planned stop of the relay is in its last part, or has just ended.
    fn is_stop_ending(&self, relay: usize, now: MonoTime) -> bool {
        self.stops.get(&relay).is_some_and(|stop| {
            let last_part = *stop + time_before_last_part(STOP_TIMEOUT_MS, LAST_PART_OF_STOP);
            (last_part..=*stop + STOP_TIMEOUT_MS + RESPONSE_SLACK_MS).contains(&now)
        })
    }

    /// Whether a request that was sent before or early in a planned stop was cut at its end, and
    /// its endpoint was still at work in the last part.
    fn is_cut_at_stop_end(
        &self,
        sent: &SentRequest,
        now: MonoTime,
        finished_for: Option<Micros>,
    ) -> bool {
        let Some(stop) = self.stops.get(&sent.relay) else {
            return false;
        };
        let last_part = *stop + time_before_last_part(STOP_TIMEOUT_MS, LAST_PART_OF_STOP);
        sent.sent_at <= *stop + EARLY_IN_STOP_MS
            && self.is_stop_ending(sent.relay, now)
            && finished_for.is_none_or(|time| now.since(last_part) >= time)
    }

    /// Whether no disturbance affected the relay, the store or the endpoints.
    fn is_relay_undisturbed(&self, relay: usize, from: MonoTime, to: MonoTime) -> bool {
        [Scope::Relay(relay), Scope::Shared]
            .into_iter()
            .all(|scope| self.disturbance_log.is_undisturbed(scope, from, to))
    }
}

/// Statuses that say that a request did not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Statuses of requests that may have run and that a relay gives up.
const GIVEN_UP_STATUSES: [u16; 2] = [502, 504];
/// Statuses for requests that the configuration doesn't allow.
const DENIED_STATUSES: [u16; 3] = [401, 403, 404];

fn is_not_run(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered { status, .. } if NOT_RUN_STATUSES.contains(status))
}

/// Length of a period without its last part, one of `parts` of equal length.
fn time_before_last_part(period_ms: Millis, parts: u64) -> Millis {
    Millis::new(period_ms.get() - period_ms.get() / parts)
}

/// Time since a request was sent.
fn elapsed(sent: &SentRequest, now: MonoTime) -> Millis {
    let elapsed: Micros = now.since(sent.sent_at);
    elapsed.millis()
}

/// Describes how a request that arrived differs from the one that was sent, if it does.
fn find_alteration(sent: &SentRequest, arrived: &ArrivedRequest) -> Option<String> {
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
