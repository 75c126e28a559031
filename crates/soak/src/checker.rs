//! Checks of the invariants, from the requests and outcomes that callers record and the
//! requests that endpoints receive. Pure state: no I/O and no clock access.

use std::{collections::HashMap, time::Duration};

use parsleylatch_standin::{ArrivedRequest, call_text, event_text};
use parsleylatch_types::{EndpointId, Micros, Millis, MonoTime};

use crate::{
    disturbances::{DisturbanceLog, Scope},
    invariants::{
        Invariant, LOSS_SLACK_MS, MAX_ATTEMPTS, MAX_CONFIGURATION_DELAY_MS, MAX_DRAIN_DELAY_MS,
        Violation,
    },
    lifecycle::STOP_TIMEOUT_MS,
    loss_judge::{EndedRequest, Loss, LossJudge, is_sent_early_in_stop, last_part_of_stop},
    new_caller_check::NewCallerCheck,
    notice_checks::NoticeChecks,
    observations::{Observed, Outcome, RequestKind, SentRequest, Tally, find_alteration},
    timeline::{EventLog, RequestHistory},
};

/// Last part of a request's timeout, in which a relay may give it up.
const LAST_PART_OF_TIMEOUT: u64 = 10;
/// Extra time for a response to reach the caller. Half of it allows for scheduling delays, as
/// callers and endpoints run on the same machine.
const RESPONSE_SLACK_MS: Millis = Millis::new(1_000);
/// Time that a request may be in transit to an endpoint.
pub(crate) const ARRIVAL_SLACK_MS: Millis = Millis::new(200);
/// Part of a request's time for which the traffic thread may have been held up. Beyond it, all
/// endpoints were silent together.
const MAX_HELD_UP_MS: Millis = Millis::new(500);

struct TrackedRequest {
    sent: SentRequest,
    runs: usize,
    is_refused: bool,
    arrivals: Vec<(MonoTime, EndpointId)>,
    /// When it ended, and how.
    ended: Option<(MonoTime, String)>,
}

/// Records all requests and checks them against the invariants.
#[derive(Default)]
pub(crate) struct InvariantChecker {
    requests: HashMap<String, TrackedRequest>,
    pub(crate) disturbance_log: DisturbanceLog,
    pub(crate) event_log: EventLog,
    loss_judge: LossJudge,
    draining: HashMap<EndpointId, MonoTime>,
    /// Time of the last planned stop, by index of the relay.
    stops: HashMap<usize, MonoTime>,
    notice_checks: NoticeChecks,
    pub(crate) new_caller_check: NewCallerCheck,
    configurations: HashMap<u64, MonoTime>,
    violations: Vec<Violation>,
    tally: Tally,
}

impl InvariantChecker {
    /// Judges what only the whole run shows, and returns all violations with the timelines of
    /// their requests.
    pub(crate) fn finish(&mut self) -> Vec<Violation> {
        let losses = self.loss_judge.finish();
        self.report_losses(losses);
        let mut violations = std::mem::take(&mut self.violations);
        for violation in &mut violations {
            let request = violation.request.as_ref();
            if let Some(tracked) = request.and_then(|id| self.requests.get(id)) {
                violation.timeline = self.event_log.timeline(&RequestHistory {
                    sent: &tracked.sent,
                    arrivals: &tracked.arrivals,
                    ended: tracked.ended.as_ref(),
                });
            }
        }
        violations
    }

    pub(crate) fn tally(&self) -> Tally {
        self.tally
    }

    pub(crate) fn report(&mut self, invariant: Invariant, at: MonoTime, reason: String) {
        self.violations.push(Violation {
            invariant,
            at,
            reason,
            request: None,
            timeline: Vec::new(),
        });
    }

    /// Reports a violation that one request shows.
    fn report_request(&mut self, invariant: Invariant, at: MonoTime, id: &str, reason: String) {
        self.report(invariant, at, reason);
        if let Some(violation) = self.violations.last_mut() {
            violation.request = Some(id.to_owned());
        }
    }

    fn report_losses(&mut self, losses: Vec<Loss>) {
        for loss in losses {
            self.report_request(loss.invariant, loss.at, &loss.id, loss.reason);
        }
    }

    pub(crate) fn record_sent(&mut self, sent: SentRequest) {
        self.tally.sent += 1;
        let tracked = TrackedRequest {
            runs: 0,
            is_refused: false,
            arrivals: Vec::new(),
            ended: None,
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
        self.notice_checks.forget_endpoint(endpoint);
    }

    /// Records that a planned stop of a relay begins.
    pub(crate) fn record_stop(&mut self, now: MonoTime, relay: usize) {
        self.stops.insert(relay, now);
        self.loss_judge.record_stop(now, relay);
    }

    /// Records that a relay is asked to reload its settings.
    pub(crate) fn record_hang_up(&mut self, now: MonoTime, relay: usize) {
        self.loss_judge.record_hang_up(now, relay);
    }

    /// Records that a relay's process starts, which knows no notices.
    pub(crate) fn record_relay_start(&mut self, now: MonoTime, relay: usize) {
        self.loss_judge.record_start(now, relay);
        self.notice_checks.forget_relay(relay);
    }

    /// Records that the store has acknowledged a configuration version.
    pub(crate) fn record_configuration(
        &mut self,
        sent_at: MonoTime,
        confirmed_at: MonoTime,
        version: u64,
    ) {
        self.configurations.insert(version, confirmed_at);
        self.loss_judge.record_configuration(sent_at, confirmed_at);
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
        tracked.arrivals.push((now, arrived.endpoint.clone()));
        let (sent, runs) = (tracked.sent.clone(), tracked.runs);
        let is_refused = tracked.is_refused;
        if arrived.has_run {
            self.check_run(now, &sent, runs, is_refused);
        }
        if sent.kind == RequestKind::Unrouted {
            let reason = format!(
                "{} has no route, but arrived at {}",
                sent.id, arrived.endpoint
            );
            self.report(Invariant::RequestIntegrity, now, reason);
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
        let log = &self.disturbance_log;
        let is_undisturbed = |since| is_relay_undisturbed(log, sent.relay, since, now);
        let violations = self
            .notice_checks
            .check(now, &sent, arrived, is_undisturbed);
        for (invariant, reason) in violations {
            self.report(invariant, now, reason);
        }
    }

    fn check_run(&mut self, now: MonoTime, sent: &SentRequest, runs: usize, is_refused: bool) {
        let is_once_only = sent.kind == RequestKind::Booking;
        if is_once_only && runs > 1 {
            let reason = format!("{} ran {runs} times", sent.id);
            self.report(Invariant::AtMostOnce, now, reason);
        }
        if is_once_only && is_refused {
            let reason = format!("{} ran after it had been refused as not run", sent.id);
            self.report_request(Invariant::NotRunRefusal, now, &sent.id, reason);
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
        tracked.ended = Some((now, outcome.summary()));
        let arrivals = tracked.arrivals.clone();
        let (sent, runs) = (tracked.sent.clone(), tracked.runs);
        let finished = observed.finished.as_ref();
        let elapsed_us = now.since(sent.sent_at);
        let ran_us = observed.run_time_us.saturating_sub(sent.run_time_us);
        // A tick counts as a whole when it ends.
        let ran_us = ran_us.min(elapsed_us);
        let held_up_us = elapsed_us.saturating_sub(ran_us);
        let was_held_up = held_up_us > MAX_HELD_UP_MS.micros();
        self.update_tally(&sent, outcome);
        if !was_held_up {
            self.check_new_caller(now, &sent, arrivals.first().map(|(at, _)| *at), outcome);
            self.judge_loss(now, &sent, arrivals, outcome, (ran_us, finished));
        }
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
                let was_read = !was_held_up && (runs > 0 || ran_us > LOSS_SLACK_MS.micros());
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
            self.report_request(Invariant::ResponseDeadline, now, &sent.id, reason);
        }
    }

    /// Passes a request that its caller saw end to the judge of losses.
    fn judge_loss(
        &mut self,
        now: MonoTime,
        sent: &SentRequest,
        passed_on: Vec<(MonoTime, EndpointId)>,
        outcome: &Outcome,
        (ran_us, finished): (Micros, Option<&(EndpointId, Duration)>),
    ) {
        let Some(end) = outcome.request_end() else {
            return;
        };
        let ended = EndedRequest {
            id: sent.id.clone(),
            relay: sent.relay,
            is_kept: sent.requests_before > 0,
            may_resume: sent.kind == RequestKind::Stream,
            sent_at: sent.sent_at,
            timeout_ms: sent.timeout_ms,
            passed_on,
            end,
            ended_at: now,
            ran_us,
            finished_for: finished.map(|(_, time)| Micros::from(*time)),
        };
        let losses = self.loss_judge.record_end(&self.disturbance_log, &ended);
        self.report_losses(losses);
    }

    /// Checks that a request on a new connection was passed on, answered or refused in time.
    fn check_new_caller(
        &mut self,
        now: MonoTime,
        sent: &SentRequest,
        arrived_at: Option<MonoTime>,
        outcome: &Outcome,
    ) {
        let taken_at = arrived_at.map_or(now, |at| at.min(now));
        let late = self.new_caller_check.find(sent, taken_at);
        if let Some(reason) = late
            && *outcome != Outcome::Left
            && self.is_relay_undisturbed(sent.relay, sent.sent_at, now)
        {
            self.report_request(Invariant::NewCallerSilence, now, &sent.id, reason);
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
            Outcome::Answered { status: 404, .. } if sent.kind == RequestKind::Unrouted => {
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
            self.report_request(Invariant::EarlyFailure, now, &sent.id, reason);
        }
        let was_not_run = NOT_RUN_STATUSES.contains(&status);
        if was_not_run && sent.kind == RequestKind::Booking && runs > 0 {
            let reason = format!(
                "{} was refused as not run with status {status}, but ran",
                sent.id
            );
            self.report_request(Invariant::NotRunRefusal, now, &sent.id, reason);
        }
        let in_force_at = self.configurations.get(&sent.route_version);
        let due = in_force_at.map_or(MonoTime::ZERO, |at| *at + MAX_CONFIGURATION_DELAY_MS);
        let is_new = sent.route_version > 0;
        let is_excused = is_new && !self.is_relay_undisturbed(sent.relay, due, now);
        let is_allowed = sent.kind != RequestKind::Unrouted;
        let is_denied = DENIED_STATUSES.contains(&status) && runs == 0;
        if is_allowed && is_denied && sent.sent_at > due && !is_excused {
            let reason = format!(
                "{} was denied with status {status} although the configuration allows it",
                sent.id
            );
            self.report_request(Invariant::ConfigurationDelay, now, &sent.id, reason);
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
            self.report_request(Invariant::RequestLoss, now, &sent.id, reason);
        }
    }

    /// Whether a planned stop of the relay is in its last part, or has just ended.
    fn is_stop_ending(&self, relay: usize, now: MonoTime) -> bool {
        self.stops.get(&relay).is_some_and(|stop| {
            (last_part_of_stop(*stop)..=*stop + STOP_TIMEOUT_MS + RESPONSE_SLACK_MS).contains(&now)
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
        let last_part = last_part_of_stop(*stop);
        is_sent_early_in_stop(sent.sent_at, *stop)
            && self.is_stop_ending(sent.relay, now)
            && finished_for.is_none_or(|time| now.since(last_part) >= time)
    }

    /// Whether no disturbance affected the relay, the store or the endpoints.
    fn is_relay_undisturbed(&self, relay: usize, from: MonoTime, to: MonoTime) -> bool {
        is_relay_undisturbed(&self.disturbance_log, relay, from, to)
    }
}

fn is_relay_undisturbed(log: &DisturbanceLog, relay: usize, from: MonoTime, to: MonoTime) -> bool {
    log.is_undisturbed(from, to, |scope| match scope {
        Scope::Relay(disturbed) => *disturbed == relay,
        Scope::Store | Scope::Endpoint(_) => true,
    })
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
