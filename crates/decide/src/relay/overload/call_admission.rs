//! Whether a call is sent, waits or is refused, and which endpoint it is sent to.
//!
//! Load pattern: several times the calls that a service can answer, from so many nodes that each
//! has only a few. Calls that are all sent fill the endpoints' queues, so that every one is late,
//! and those that are rejected or repeated take the places of others. Here the endpoint with the
//! shortest predicted response time gets the call, a share of the calls is refused at once while
//! the service is crowded ([`CallLimit`]), and a call waits only while all endpoints have just
//! rejected one ([`CallQueue`]).
//!
//! What is predicted comes from the loads that endpoints report with their responses. Calls to a
//! service without recent reports are sent as if there were no limit.

use parsleylatch_types::{Micros, Millis, MonoTime, SlotCount};

use super::{
    call_limit::{CallLimit, CallLimitState},
    call_load::CallLoads,
    call_queue::{CallQueue, CallTicket, QueuedCall},
};
use crate::relay::{
    endpoint_table::{EndpointKey, EndpointTable, LoadSample},
    selector::{SelectionCriteria, Selector},
};

/// Range over which the choices of nodes that know the same are spread, as a part of the service
/// time. With 60 percent or less, the nodes' choices collided and other endpoints had empty slots.
const JITTER_PERCENT: u64 = 150;
/// Smallest such range.
const MIN_JITTER_US: Micros = Micros::new(1_000);
/// Divisor of the goal that gives the longest time after which a refused caller may return.
const RETURN_GOAL_DIVISOR: u64 = 4;
/// Multiple of the predicted response time within which an endpoint may still answer. Some
/// endpoints are several times slower for a moment.
const EXPLAINED_MULTIPLE: u64 = 2;
/// Time after which a call that waits tries again if no endpoint is known to be full.
const TURN_MS: Millis = Millis::new(5);

/// What to do with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallPlan {
    /// Nothing is known about the endpoints; any of them may be used.
    Unrestricted,
    /// Send it to this endpoint.
    Send(EndpointKey),
    /// Every endpoint has just rejected a call.
    Wait,
    /// No endpoint is predicted to answer before the deadline.
    Hopeless {
        /// Time that an answer is predicted to take.
        expected_wait: Micros,
    },
    /// The service is crowded, or the call has waited for as long as it may.
    Crowded {
        /// Time after which the caller may return.
        expected_wait: Micros,
    },
}

/// Calls of one traffic thread to one service.
#[derive(Debug)]
pub struct CallAdmission {
    loads: CallLoads,
    limit: CallLimit,
    queue: CallQueue,
    /// Endpoints that may get calls, as last seen.
    endpoints: usize,
}

impl CallAdmission {
    /// Starts with a service that has room.
    pub fn start(now: MonoTime) -> Self {
        Self {
            loads: CallLoads::default(),
            limit: CallLimit::start(now),
            queue: CallQueue::default(),
            endpoints: 0,
        }
    }

    /// Records that a call was sent to an endpoint.
    pub fn record_sent(&mut self, key: &EndpointKey) {
        self.loads.record_sent(key);
    }

    /// Records the response of an endpoint with `slots` after `latency`, or its rejection.
    /// Returns the new state of the limit if it has changed.
    pub fn record_response(
        &mut self,
        now: MonoTime,
        key: &EndpointKey,
        slots: SlotCount,
        sample: Option<LoadSample>,
        latency: Option<Micros>,
        goal_ms: Millis,
    ) -> Option<CallLimitState> {
        let earlier = self.limit.state();
        self.loads.record(now, key, slots, sample, latency);
        let is_limiting = earlier == CallLimitState::Limiting;
        let predicted = self.loads.crowd(now, self.endpoints, is_limiting);
        if let Some(predicted) = predicted {
            self.limit
                .record(now, predicted, goal_ms, self.loads.ceiling());
        }
        let state = self.limit.state();
        (state != earlier).then_some(state)
    }

    /// Predicted response time of the service, without the network; `None` if nothing is known.
    pub fn predicted(&self, now: MonoTime) -> Option<Micros> {
        self.loads.predicted(now)
    }

    /// Limit on the calls.
    pub fn limit(&self) -> &CallLimit {
        &self.limit
    }

    /// Plans a call that has just arrived, or that an endpoint has rejected; `draw` is a uniform
    /// random number in [0, 1). A call that was admitted once is not refused by the limit.
    pub fn plan(
        &mut self,
        now: MonoTime,
        table: &EndpointTable,
        selector: &mut Selector,
        criteria: &SelectionCriteria<'_>,
        call: &QueuedCall,
        draw: f64,
    ) -> CallPlan {
        self.limit.pass_time(now);
        self.endpoints = table.open(now, criteria.service).count();
        if self.loads.predicted(now).is_some() && !call.is_retry && !self.limit.admits(draw) {
            return CallPlan::Crowded {
                expected_wait: self.return_wait(now, call.goal_ms),
            };
        }
        self.plan_admitted(now, table, selector, criteria, call)
    }

    fn plan_admitted(
        &self,
        now: MonoTime,
        table: &EndpointTable,
        selector: &mut Selector,
        criteria: &SelectionCriteria<'_>,
        call: &QueuedCall,
    ) -> CallPlan {
        let Some(service_time) = self.loads.service_time() else {
            return CallPlan::Unrestricted;
        };
        let jitter = service_time.saturating_mul(JITTER_PERCENT).get() / 100;
        let jitter = Micros::new(jitter).max(MIN_JITTER_US);
        let delays = selector.call_delays(now, table, criteria, jitter);
        let mut fastest: Option<Micros> = None;
        let mut are_queued = true;
        let mut best: Option<(Micros, EndpointKey)> = None;
        let is_unknown = delays.is_empty();
        for (delay, key) in delays {
            let Some(predicted) = self.loads.predicted_at(now, &key) else {
                return CallPlan::Unrestricted;
            };
            fastest = Some(fastest.map_or(predicted, |it| it.min(predicted)));
            are_queued &= self.loads.has_queue(now, &key);
            if self.loads.full_until(now, &key).is_some() {
                continue;
            }
            let cost = Micros::new(predicted.get().saturating_add(delay.get()));
            if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
                best = Some((cost, key));
            }
        }
        if is_unknown {
            return CallPlan::Unrestricted;
        }
        // Without a queue, other calls may merely have taken longer than this one will.
        let late = fastest.filter(|it| are_queued && now + *it >= call.deadline);
        if let Some(expected_wait) = late {
            return CallPlan::Hopeless { expected_wait };
        }
        best.map_or(CallPlan::Wait, |(_, key)| CallPlan::Send(key))
    }

    /// Adds a call to the queue; `None` if it may not wait any longer.
    pub fn enqueue(&mut self, now: MonoTime, call: QueuedCall) -> Option<CallTicket> {
        self.queue.push(now, call)
    }

    /// Removes a call whose caller has left.
    pub fn remove(&mut self, ticket: CallTicket) {
        self.queue.remove(ticket);
    }

    /// Plans the calls that wait, in their order, and removes those that need not wait any more.
    pub fn take_planned(
        &mut self,
        now: MonoTime,
        table: &EndpointTable,
        selector: &mut Selector,
        criteria: &SelectionCriteria<'_>,
    ) -> Vec<(CallTicket, CallPlan)> {
        let mut planned = Vec::new();
        let mut kept = Vec::new();
        while let Some((ticket, call)) = self.queue.take_next() {
            match self.plan_admitted(now, table, selector, criteria, &call) {
                CallPlan::Wait if call.waits_until() <= now => {
                    let expected_wait = self.return_wait(now, call.goal_ms);
                    planned.push((ticket, CallPlan::Crowded { expected_wait }));
                }
                CallPlan::Wait => kept.push((ticket, call)),
                plan => planned.push((ticket, plan)),
            }
        }
        self.queue.restore(kept);
        planned
    }

    /// Time at which calls that wait are to be planned again; `None` if none waits.
    pub fn next_turn(
        &self,
        now: MonoTime,
        table: &EndpointTable,
        criteria: &SelectionCriteria<'_>,
    ) -> Option<MonoTime> {
        let expiry = self.queue.next_expiry()?;
        let open = table.open(now, criteria.service);
        let until = open.map(|it| self.loads.full_until(now, &it.entry.key));
        let until = until.map(|it| it.unwrap_or(now + TURN_MS));
        Some(until.min().unwrap_or(expiry).min(expiry))
    }

    /// Time after which the caller of a call with a goal may return. It can still be answered in
    /// time then, and its delay does not make the service less crowded, as callers that return do
    /// so once.
    pub fn return_wait(&self, now: MonoTime, goal_ms: Millis) -> Micros {
        let longest = Micros::new(goal_ms.micros().get() / RETURN_GOAL_DIVISOR);
        self.loads.predicted(now).unwrap_or(longest).min(longest)
    }

    /// Whether the load of an endpoint explains why it has not answered a call after `waited`.
    pub fn explains_delay(&self, now: MonoTime, key: &EndpointKey, waited: Micros) -> bool {
        let predicted = self.loads.predicted_at(now, key);
        predicted.is_some_and(|it| waited < it.saturating_mul(EXPLAINED_MULTIPLE))
    }
}
