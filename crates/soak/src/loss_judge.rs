//! Judges requests that end without a complete response: on connections that have carried a
//! request before, and around planned work. Pure state: no I/O and no clock access.

use std::collections::HashMap;

use parsleylatch_types::{EndpointId, Micros, Millis, MonoTime};

use crate::{
    disturbances::{DisturbanceLog, SETTLE_MS, Scope},
    invariants::{Invariant, LOSS_SLACK_MS, MAX_CONFIGURATION_DELAY_MS},
    lifecycle::STOP_TIMEOUT_MS,
};

/// Requests on kept connections that one relay may lose in a run.
const MAX_KEPT_LOSSES: u32 = 3;
/// Time after the bound of a stop, and of a configuration, in which losses still count.
const WINDOW_SLACK_MS: Millis = Millis::new(1_000);
/// Time after the signal until which a request counts as sent early in a planned stop.
const EARLY_IN_STOP_MS: Millis = Millis::new(3_000);
/// Last part of a planned stop, in which a relay may end what its endpoints are still at work on.
const LAST_PART_OF_STOP: u64 = 6;
/// Factor by which the share of lost requests beside configurations must exceed the usual one.
const CONFIGURATION_LOSS_FACTOR: u64 = 3;
/// Tenths of its timeout after which a request doesn't count as lost beside a configuration.
const USED_TENTHS: u64 = 7;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// With a complete response or a refusal.
    Complete,
    /// With an incomplete response.
    Incomplete,
    /// With the end of the connection, and without a response.
    Closed,
}

/// A request that has ended, as its caller and the endpoints saw it.
#[derive(Clone, Debug)]
pub struct EndedRequest {
    /// Its id.
    pub id: String,
    /// Index of the relay that it was sent to.
    pub relay: usize,
    /// Whether its connection had carried a request before.
    pub is_kept: bool,
    /// Whether it may resume, so that a disturbance of the store excuses its loss.
    pub may_resume: bool,
    /// When its last byte was sent.
    pub sent_at: MonoTime,
    /// Its own time limit.
    pub timeout_ms: Millis,
    /// When it arrived at which endpoint.
    pub passed_on: Vec<(MonoTime, EndpointId)>,
    /// How it ended.
    pub end: RequestEnd,
    /// When it ended.
    pub ended_at: MonoTime,
    /// Time from its sending to its end, without time in which the soak's own thread got no turn.
    pub ran_us: Micros,
    /// Time since an endpoint has run it to its end, if one has.
    pub finished_for: Option<Micros>,
}

/// A lost request, and the invariant that its loss violates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss {
    /// Violated invariant.
    pub invariant: Invariant,
    /// Id of the request.
    pub id: String,
    /// When it ended.
    pub at: MonoTime,
    /// Why it counts.
    pub reason: String,
}

/// Requests of one relay by whether they ended beside a configuration.
#[derive(Clone, Copy, Debug, Default)]
struct LossCount {
    ended: u64,
    lost: u64,
}

#[derive(Debug, Default)]
struct JudgedRelay {
    stops: Vec<MonoTime>,
    hang_ups: Vec<MonoTime>,
    starts: Vec<MonoTime>,
    kept_losses: u32,
    beside_configurations: LossCount,
    at_other_times: LossCount,
    /// Losses that count if the relay loses more beside configurations than at other times.
    configuration_losses: Vec<Loss>,
}

/// Planned work and the losses of a run.
#[derive(Debug, Default)]
pub struct LossJudge {
    relays: HashMap<usize, JudgedRelay>,
    /// When each configuration was sent to the store and confirmed by it.
    configurations: Vec<(MonoTime, MonoTime)>,
}

impl LossJudge {
    /// Records that a relay is asked to stop.
    pub fn record_stop(&mut self, now: MonoTime, relay: usize) {
        self.relays.entry(relay).or_default().stops.push(now);
    }

    /// Records that a relay is asked to reload its settings.
    pub fn record_hang_up(&mut self, now: MonoTime, relay: usize) {
        self.relays.entry(relay).or_default().hang_ups.push(now);
    }

    /// Records that a relay's process starts.
    pub fn record_start(&mut self, now: MonoTime, relay: usize) {
        self.relays.entry(relay).or_default().starts.push(now);
    }

    /// Records a configuration.
    pub fn record_configuration(&mut self, sent_at: MonoTime, confirmed_at: MonoTime) {
        self.configurations.push((sent_at, confirmed_at));
    }

    /// Records the end of a request and returns its losses that count at once.
    pub fn record_end(&mut self, log: &DisturbanceLog, request: &EndedRequest) -> Vec<Loss> {
        let mut losses = Vec::new();
        losses.extend(self.judge_kept(log, request));
        losses.extend(self.judge_planned(log, request));
        losses
    }

    /// Losses beside configurations, which only the whole run shows.
    pub fn finish(&mut self) -> Vec<Loss> {
        let counted = self.relays.values_mut().filter(|it| {
            let (beside, other) = (it.beside_configurations, it.at_other_times);
            other.ended == 0
                || beside.lost * other.ended > CONFIGURATION_LOSS_FACTOR * other.lost * beside.ended
        });
        counted
            .flat_map(|it| std::mem::take(&mut it.configuration_losses))
            .collect()
    }

    /// Judges a request on a kept connection that a relay in touch passed on to a sound endpoint.
    fn judge_kept(&mut self, log: &DisturbanceLog, request: &EndedRequest) -> Option<Loss> {
        let to = request.ended_at;
        let (passed_on_at, endpoint) = request.passed_on.last()?;
        let from = *passed_on_at;
        let scopes = [
            Scope::Relay(request.relay),
            Scope::Store,
            Scope::Endpoint(endpoint.clone()),
        ];
        let relay = self.relays.entry(request.relay).or_default();
        let signals = relay.stops.iter().chain(&relay.starts);
        let mut recent_signals = signals.filter(|at| **at <= to && **at + SETTLE_MS >= from);
        let is_in_touch = recent_signals.next().is_none()
            && log.is_undisturbed(from, to, |scope| scopes.contains(scope));
        if !request.is_kept || request.end != RequestEnd::Closed || !is_in_touch {
            return None;
        }
        relay.kept_losses += 1;
        let count = relay.kept_losses;
        (count > MAX_KEPT_LOSSES).then(|| Loss {
            invariant: Invariant::KeptConnectionLoss,
            id: request.id.clone(),
            at: to,
            reason: format!(
                "{} was passed on to {endpoint} and its kept connection closed; it is the loss \
                 {count} of relay {}",
                request.id, request.relay
            ),
        })
    }

    /// Judges a request that ended around planned work.
    fn judge_planned(&mut self, log: &DisturbanceLog, request: &EndedRequest) -> Option<Loss> {
        let now = request.ended_at;
        let is_undisturbed = log.is_undisturbed(request.sent_at, now, |scope| match scope {
            Scope::Relay(relay) => *relay == request.relay,
            // An outage of the store alone excuses nothing that can't resume.
            Scope::Store => request.may_resume,
            Scope::Endpoint(_) => true,
        });
        if !is_undisturbed {
            return None;
        }
        let is_beside_configuration = self.configurations.iter().any(|(sent_at, confirmed_at)| {
            let until = *confirmed_at + MAX_CONFIGURATION_DELAY_MS + WINDOW_SLACK_MS;
            (*sent_at..=until).contains(&now)
        });
        let relay = self.relays.entry(request.relay).or_default();
        let is_lost = is_lost(request) && !relay.is_at_work_at_stop_end(request);
        let count = match is_beside_configuration {
            true => &mut relay.beside_configurations,
            false => &mut relay.at_other_times,
        };
        count.ended += 1;
        count.lost += u64::from(is_lost);
        if !is_lost {
            return None;
        }
        let loss = |work: &str| Loss {
            invariant: Invariant::PlannedWorkLoss,
            id: request.id.clone(),
            at: now,
            reason: format!(
                "{} was lost {} after it was sent, around {work} of relay {}",
                request.id,
                now.since(request.sent_at).millis(),
                request.relay
            ),
        };
        if relay.is_beside_stop(now) {
            return Some(loss("a planned stop"));
        }
        if relay.is_beside_hang_up(request) {
            return Some(loss("a reload"));
        }
        let used_up = Millis::new(request.timeout_ms.get() / 10 * USED_TENTHS);
        if is_beside_configuration && now < request.sent_at + used_up {
            let loss = loss("a configuration change");
            relay.configuration_losses.push(loss);
        }
        None
    }
}

impl JudgedRelay {
    fn is_beside_stop(&self, now: MonoTime) -> bool {
        let mut stops = self.stops.iter();
        stops.any(|at| (*at..=*at + STOP_TIMEOUT_MS + WINDOW_SLACK_MS).contains(&now))
    }

    fn is_beside_hang_up(&self, request: &EndedRequest) -> bool {
        self.hang_ups.iter().any(|at| {
            request.sent_at <= *at + MAX_CONFIGURATION_DELAY_MS && request.ended_at >= *at
        })
    }

    /// Whether the request was sent before or early in a stop, and an endpoint was still at work
    /// on it in the last part of the stop.
    fn is_at_work_at_stop_end(&self, request: &EndedRequest) -> bool {
        let now = request.ended_at;
        let is_at_work = |stop: &MonoTime| {
            let last_part = last_part_of_stop(*stop);
            let end = *stop + STOP_TIMEOUT_MS + WINDOW_SLACK_MS;
            request.sent_at <= *stop + EARLY_IN_STOP_MS
                && (last_part..=end).contains(&now)
                && request
                    .finished_for
                    .is_none_or(|time| now.since(last_part) >= time)
        };
        !request.passed_on.is_empty() && self.stops.iter().any(is_at_work)
    }
}

/// Whether a relay had read a whole request, and it ended in time without a complete response.
fn is_lost(request: &EndedRequest) -> bool {
    let was_read = !request.passed_on.is_empty() || request.ran_us > LOSS_SLACK_MS.micros();
    let is_in_time = request.ended_at < request.sent_at + request.timeout_ms;
    request.end != RequestEnd::Complete && was_read && is_in_time
}

/// Start of the last part of a planned stop.
pub(crate) fn last_part_of_stop(stop: MonoTime) -> MonoTime {
    let period_ms = STOP_TIMEOUT_MS.get();
    stop + Millis::new(period_ms - period_ms / LAST_PART_OF_STOP)
}

/// Whether a request was sent before or early in a planned stop.
pub(crate) fn is_sent_early_in_stop(sent_at: MonoTime, stop: MonoTime) -> bool {
    sent_at <= stop + EARLY_IN_STOP_MS
}
