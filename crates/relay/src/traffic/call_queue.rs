//! Calls that wait for an endpoint that is not full, and the task that sends them on.
//!
//! The task runs while calls of a service wait. It sleeps until an endpoint that rejected a call
//! is presumed to have room again, or until a call has waited for as long as it may.

use std::{collections::HashMap, rc::Rc};

use parsleylatch_decide::relay::{
    CallAdmission, CallLimitState, CallPlan, CallTicket, EndpointEntry, EndpointKey, LoadSample,
    QueuedCall, SelectionCriteria,
};
use parsleylatch_types::{Micros, Millis, MonoTime, ServiceName};
use tokio::{sync::oneshot, task::spawn_local};

use super::state::Traffic;

/// Calls of one service.
pub(crate) struct ServiceCalls {
    admission: CallAdmission,
    waiting: HashMap<CallTicket, oneshot::Sender<CallPlan>>,
    /// Whether the task that sends waiting calls on is running.
    is_served: bool,
}

impl ServiceCalls {
    fn start(now: MonoTime) -> Self {
        Self {
            admission: CallAdmission::start(now),
            waiting: HashMap::new(),
            is_served: false,
        }
    }
}

/// Place of a call in the queue of its service, which it leaves when dropped.
pub(crate) struct CallSlot {
    traffic: Rc<Traffic>,
    service: ServiceName,
    ticket: CallTicket,
    plan: oneshot::Receiver<CallPlan>,
}

impl CallSlot {
    /// Adds a call to the queue of a service; `None` if it may not wait.
    pub(crate) fn enter(
        traffic: &Rc<Traffic>,
        service: &ServiceName,
        call: QueuedCall,
    ) -> Option<Self> {
        let now = traffic.now();
        let (sender, plan) = oneshot::channel();
        let mut services = traffic.service_calls.borrow_mut();
        let calls = services
            .entry(service.clone())
            .or_insert_with(|| ServiceCalls::start(now));
        let ticket = calls.admission.enqueue(now, call)?;
        calls.waiting.insert(ticket, sender);
        if !std::mem::replace(&mut calls.is_served, true) {
            spawn_local(serve(Rc::clone(traffic), service.clone()));
        }
        Some(Self {
            traffic: Rc::clone(traffic),
            service: service.clone(),
            ticket,
            plan,
        })
    }

    /// Waits until the call is planned.
    pub(crate) async fn planned(&mut self) -> CallPlan {
        (&mut self.plan).await.unwrap_or(CallPlan::Unrestricted)
    }
}

impl Drop for CallSlot {
    fn drop(&mut self) {
        let mut services = self.traffic.service_calls.borrow_mut();
        if let Some(calls) = services.get_mut(&self.service) {
            calls.admission.remove(self.ticket);
            calls.waiting.remove(&self.ticket);
        }
    }
}

/// Plans a call that is not waiting.
pub(crate) fn plan(
    traffic: &Traffic,
    criteria: &SelectionCriteria<'_>,
    call: &QueuedCall,
) -> CallPlan {
    let now = traffic.now();
    let mut services = traffic.service_calls.borrow_mut();
    let calls = services
        .entry(criteria.service.clone())
        .or_insert_with(|| ServiceCalls::start(now));
    let table = traffic.endpoint_table.borrow();
    let mut selector = traffic.selector();
    let draw = rand::random();
    calls
        .admission
        .plan(now, &table, &mut selector, criteria, call, draw)
}

/// Time after which the caller of a call that may not wait may return.
pub(crate) fn return_wait(traffic: &Traffic, service: &ServiceName, goal_ms: Millis) -> Micros {
    let services = traffic.service_calls.borrow();
    let calls = services.get(service);
    calls.map_or(Micros::ZERO, |it| {
        it.admission.return_wait(traffic.now(), goal_ms)
    })
}

/// Records that a call was sent to an endpoint.
pub(crate) fn record_sent(traffic: &Traffic, service: &ServiceName, key: &EndpointKey) {
    let mut services = traffic.service_calls.borrow_mut();
    if let Some(calls) = services.get_mut(service) {
        calls.admission.record_sent(key);
    }
}

/// Records the response of an endpoint after `latency`, or its rejection.
pub(crate) fn record_response(
    traffic: &Traffic,
    endpoint: &EndpointEntry,
    load: Option<LoadSample>,
    latency: Option<Micros>,
    goal_ms: Millis,
) {
    let now = traffic.now();
    let service = &endpoint.service;
    let mut services = traffic.service_calls.borrow_mut();
    let Some(calls) = services.get_mut(service) else {
        return;
    };
    let admission = &mut calls.admission;
    let changed =
        admission.record_response(now, &endpoint.key, endpoint.slots, load, latency, goal_ms);
    // A short crowd has no effect.
    if let Some(state) = changed
        && state != CallLimitState::Crowded
    {
        log::info!(
            service:% = service,
            state:% = state,
            admitted_ppm = admission.limit().share().get(),
            predicted_ms = admission.predicted(now).unwrap_or_default().millis().get();
            "limit on calls"
        );
    }
}

/// Whether the load of an endpoint explains why it has not answered a call after `waited`.
pub(crate) fn explains_delay(
    traffic: &Traffic,
    service: &ServiceName,
    key: &EndpointKey,
    waited: Micros,
) -> bool {
    let services = traffic.service_calls.borrow();
    let calls = services.get(service);
    calls.is_some_and(|it| it.admission.explains_delay(traffic.now(), key, waited))
}

/// Sends calls on until none of the service waits.
async fn serve(traffic: Rc<Traffic>, service: ServiceName) {
    while let Some(turn) = next_turn(&traffic, &service) {
        traffic.shared.clock.sleep_until(Some(turn)).await;
        // Endpoints may be listed or leave while no other request updates the table.
        traffic.snapshot();
        send_planned(&traffic, &service);
    }
}

fn send_planned(traffic: &Traffic, service: &ServiceName) {
    let now = traffic.now();
    let mut services = traffic.service_calls.borrow_mut();
    let Some(calls) = services.get_mut(service) else {
        return;
    };
    let table = traffic.endpoint_table.borrow();
    let mut selector = traffic.selector();
    let criteria = SelectionCriteria::any_call(service);
    let planned = calls
        .admission
        .take_planned(now, &table, &mut selector, &criteria);
    for (ticket, plan) in planned {
        if let Some(sender) = calls.waiting.remove(&ticket) {
            // Fails if the caller has disconnected.
            let _ = sender.send(plan);
        }
    }
}

/// Time of the next turn; `None` if no call waits any more.
fn next_turn(traffic: &Traffic, service: &ServiceName) -> Option<MonoTime> {
    let mut services = traffic.service_calls.borrow_mut();
    let calls = services.get_mut(service)?;
    let table = traffic.endpoint_table.borrow();
    let criteria = SelectionCriteria::any_call(service);
    let turn = calls.admission.next_turn(traffic.now(), &table, &criteria);
    calls.is_served = turn.is_some();
    turn
}
