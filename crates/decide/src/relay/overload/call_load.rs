//! Predicted response times of a service's endpoints, from the load that their responses report.
//!
//! Load pattern: a service whose few endpoints get the calls of more than a hundred nodes. Each
//! node hears from an endpoint about once a second or less, while a queue there fills or empties
//! within a tenth of a second. The reports of all endpoints together are therefore a better
//! estimate of a queue than an old report of its own, and tell how full the service is.

use std::collections::HashMap;

use parsleylatch_types::{Micros, Millis, MonoTime, SlotCount};

use crate::relay::endpoint_table::{EndpointKey, LoadSample};

/// Age at which half of what an endpoint reported is replaced by the mean of all endpoints. With
/// 300 ms, nodes kept choosing the same endpoint, and others had empty slots.
const OWN_HALF_LIFE_MS: Millis = Millis::new(80);
/// Age at which a report has half of its weight in the mean.
const MEAN_HALF_LIFE_MS: Millis = Millis::new(200);
/// Age from which reports are not used.
const AGE_LIMIT_MS: Millis = Millis::new(1_500);
/// Divisor of a new sample's weight in the mean service time, once there are as many samples.
const SERVICE_TIME_SMOOTHING: u64 = 16;
/// Depth below which the queues of a service show no crowd, however slow its endpoints are.
const MIN_CROWD_DEPTH: f64 = 0.5;
/// Part of the depth at which endpoints reject calls that the queues are kept below.
const FULL_DEPTH_SHARE: f64 = 0.6;
/// Weight of a new sample in that depth.
const FULL_DEPTH_WEIGHT: f64 = 0.125;
/// Shortest and longest time for which an endpoint that rejected a call is presumed to be full.
const MIN_FULL_MS: Millis = Millis::new(10);
const MAX_FULL_MS: Millis = Millis::new(50);

/// Last report of one endpoint.
#[derive(Clone, Copy, Debug)]
struct CallLoad {
    requests: u32,
    slots: SlotCount,
    at: MonoTime,
    /// Time that a call takes there, without its wait; `None` if the report came with a
    /// rejection.
    service_time: Option<Micros>,
    /// Calls that this thread has sent there since.
    sent_since: u32,
}

impl CallLoad {
    /// Calls ahead of a new one, per slot, beyond those that a slot is free for.
    fn depth(&self) -> f64 {
        let slots = self.slots.get().max(1);
        let requests = self.requests.saturating_add(1);
        f64::from(requests.saturating_sub(slots)) / f64::from(slots)
    }
}

/// Reported loads of the endpoints of one service.
#[derive(Clone, Debug, Default)]
pub(super) struct CallLoads {
    loads: HashMap<EndpointKey, CallLoad>,
    rejected_at: HashMap<EndpointKey, MonoTime>,
    service_time: Option<Micros>,
    /// Samples in the service time, up to the limit of its smoothing.
    service_samples: u64,
    /// Mean depth at which endpoints reject calls, if they have.
    full_depth: Option<f64>,
}

impl CallLoads {
    /// Records the load that an endpoint reported with a response after `latency`, or with a
    /// rejection.
    pub(super) fn record(
        &mut self,
        now: MonoTime,
        key: &EndpointKey,
        slots: SlotCount,
        sample: Option<LoadSample>,
        latency: Option<Micros>,
    ) {
        self.loads
            .retain(|_, it| now.since(it.at) < AGE_LIMIT_MS.micros());
        self.rejected_at
            .retain(|_, at| now.since(*at) < AGE_LIMIT_MS.micros());
        match latency {
            Some(_) => self.rejected_at.remove(key),
            None => self.rejected_at.insert(key.clone(), now),
        };
        // An endpoint that answers without a report counts as idle, so that the queues of others
        // don't count as its own.
        let (running, waiting) = match (sample, latency) {
            (Some(sample), _) => (sample.running, sample.waiting),
            (None, Some(_)) => (0, 0),
            (None, None) => return,
        };
        let mut load = CallLoad {
            requests: running.saturating_add(waiting),
            slots,
            at: now,
            service_time: None,
            sent_since: 0,
        };
        // The queue is presumed to have been as long when the call arrived.
        load.service_time = latency.filter(|_| sample.is_some()).map(|it| {
            let rounds = 1.0 + f64::from(waiting) / f64::from(slots.get().max(1));
            Micros::new((it.get() as f64 / rounds) as u64)
        });
        if let Some(sampled) = load.service_time {
            self.service_samples = (self.service_samples + 1).min(SERVICE_TIME_SMOOTHING);
            let divisor = self.service_samples;
            let mean = self.service_time.map_or(sampled.get(), |mean| {
                mean.get() - mean.get() / divisor + sampled.get() / divisor
            });
            self.service_time = Some(Micros::new(mean));
        }
        let depth = load.depth();
        // One without a queue has another reason for its rejection.
        if latency.is_none() && depth >= MIN_CROWD_DEPTH {
            let mean = self.full_depth.unwrap_or(depth);
            self.full_depth = Some(mean + (depth - mean) * FULL_DEPTH_WEIGHT);
        }
        self.loads.insert(key.clone(), load);
    }

    /// Response time of an endpoint whose queue is so long that it may be full soon.
    pub(super) fn ceiling(&self) -> Micros {
        match (self.service_time, self.full_depth) {
            (Some(time), Some(depth)) => scaled(time, 1.0 + FULL_DEPTH_SHARE * depth),
            _ => Micros::new(u64::MAX),
        }
    }

    /// Records that a call was sent to an endpoint.
    pub(super) fn record_sent(&mut self, key: &EndpointKey) {
        if let Some(load) = self.loads.get_mut(key) {
            load.sent_since = load.sent_since.saturating_add(1);
        }
    }

    fn recent(&self, now: MonoTime) -> impl Iterator<Item = &CallLoad> {
        let loads = self.loads.values();
        loads.filter(move |it| now.since(it.at) < AGE_LIMIT_MS.micros())
    }

    /// Mean depth of the queues; `None` without a recent report.
    fn mean_depth(&self, now: MonoTime) -> Option<f64> {
        mean_depth(now, self.recent(now))
    }

    /// Predicted response time of the service, without the network; `None` if nothing is known.
    pub(super) fn predicted(&self, now: MonoTime) -> Option<Micros> {
        let depth = self.mean_depth(now)?;
        Some(scaled(self.service_time?, 1.0 + depth))
    }

    /// As `predicted`, for the limit on calls: zero if hardly any calls wait. `is_limiting` tells
    /// whether the limit is in force. Before, the longest queue of several `endpoints` is left
    /// out, as one of them may be slower than the others for a moment.
    pub(super) fn crowd(
        &self,
        now: MonoTime,
        endpoints: usize,
        is_limiting: bool,
    ) -> Option<Micros> {
        let deepest = self.recent(now).map(CallLoad::depth).fold(0.0, f64::max);
        let mut is_left_out = is_limiting || endpoints <= 2;
        let counted = self.recent(now).filter(|it| {
            let is_first = !is_left_out && it.depth() >= deepest;
            is_left_out |= is_first;
            !is_first
        });
        let service_time = self.service_time?;
        let depth = mean_depth(now, counted).unwrap_or(0.0);
        Some(match depth < MIN_CROWD_DEPTH {
            true => Micros::ZERO,
            false => scaled(service_time, 1.0 + depth),
        })
    }

    /// Predicted depth of the queue of one endpoint; `None` if nothing is known.
    fn depth_at(&self, now: MonoTime, key: &EndpointKey) -> Option<f64> {
        let mean = self.mean_depth(now)?;
        let Some(own) = self.loads.get(key) else {
            return Some(mean);
        };
        let weight = decay(now, own.at, OWN_HALF_LIFE_MS);
        let added = f64::from(own.sent_since) / f64::from(own.slots.get().max(1));
        Some(weight * own.depth() + (1.0 - weight) * mean + added)
    }

    /// Predicted response time of one endpoint, without the network; `None` if nothing is known.
    pub(super) fn predicted_at(&self, now: MonoTime, key: &EndpointKey) -> Option<Micros> {
        let depth = self.depth_at(now, key)?;
        let mean = self.service_time?;
        let own = self.loads.get(key);
        let own = own.and_then(|it| Some((decay(now, it.at, OWN_HALF_LIFE_MS), it.service_time?)));
        let time = own.map_or(mean.get() as f64, |(weight, time)| {
            weight * time.get() as f64 + (1.0 - weight) * mean.get() as f64
        });
        Some(scaled(Micros::new(time as u64), 1.0 + depth))
    }

    /// Whether a call would wait at an endpoint, as far as is known.
    pub(super) fn has_queue(&self, now: MonoTime, key: &EndpointKey) -> bool {
        let depth = self.depth_at(now, key);
        depth.is_some_and(|it| it >= MIN_CROWD_DEPTH)
    }

    /// Time that a call usually takes, without its wait; `None` if nothing is known.
    pub(super) fn service_time(&self) -> Option<Micros> {
        self.service_time
    }

    /// Time until which an endpoint that has just rejected a call is presumed to be full.
    pub(super) fn full_until(&self, now: MonoTime, key: &EndpointKey) -> Option<MonoTime> {
        let rejected_at = self.rejected_at.get(key)?;
        let period = self.service_time.unwrap_or_default();
        let period = period.clamp(MIN_FULL_MS.micros(), MAX_FULL_MS.micros());
        let until = *rejected_at + period;
        (until > now).then_some(until)
    }
}

/// Mean depth of queues, in which recent reports count more.
fn mean_depth<'a>(now: MonoTime, loads: impl Iterator<Item = &'a CallLoad>) -> Option<f64> {
    let weighted = loads.map(|it| {
        let weight = decay(now, it.at, MEAN_HALF_LIFE_MS);
        (weight, weight * it.depth())
    });
    let (weight, sum) = weighted.fold((0.0, 0.0), |(weight, sum), it| (weight + it.0, sum + it.1));
    (weight > 0.0).then(|| sum / weight)
}

fn decay(now: MonoTime, at: MonoTime, half_life: Millis) -> f64 {
    let half_lives = now.since(at).get() as f64 / half_life.micros().get() as f64;
    0.5_f64.powf(half_lives)
}

fn scaled(time: Micros, factor: f64) -> Micros {
    Micros::new((time.get() as f64 * factor) as u64)
}
