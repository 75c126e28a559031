//! Streams that wait for an engine with room, and the task that assigns engines to them.
//!
//! The task runs while streams of a service wait. It asks some engines for their state
//! at short intervals, because the load that other nodes place there is unknown, and
//! assigns the engines that have room.

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use futures::future::join_all;
use parsleylatch_decide::relay::{
    self, Assignment, EndpointEntry, PlacementQueue, QueueRejection, QueueTicket, QueuedStream,
    StreamSize,
};
use parsleylatch_types::{Micros, MonoTime, ServiceName};
use tokio::{sync::oneshot, task::spawn_local, time};

use super::{
    engine,
    state::{Traffic, connection_key},
};
use crate::{shared::LifecyclePhase, telemetry::RelayCounter};

/// Interval between two rounds of queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(150);
/// Engines queried in one round.
const QUERIED_ENGINES: usize = 4;

/// Waiting streams of one service.
#[derive(Default)]
pub(crate) struct ServiceQueue {
    queue: PlacementQueue,
    waiting: HashMap<QueueTicket, oneshot::Sender<Assignment>>,
    /// Whether the task that assigns engines is running.
    is_served: bool,
}

impl ServiceQueue {
    /// Streams that wait.
    pub(crate) fn queue(&self) -> &PlacementQueue {
        &self.queue
    }

    /// Applies the times of a planned stop.
    fn follow_stop(&mut self, traffic: &Traffic) {
        let shared = &traffic.shared;
        self.queue.set_response_deadline(shared.response_deadline());
        self.queue
            .set_acceptance_end(shared.accepts_streams_until());
    }

    /// Rejects the streams that can't be served any more.
    fn reject_hopeless(&mut self, now: MonoTime) {
        for (ticket, assignment) in self.queue.take_hopeless(now) {
            self.assign(ticket, assignment);
        }
    }

    fn assign(&mut self, ticket: QueueTicket, assignment: Assignment) {
        if let Some(sender) = self.waiting.remove(&ticket) {
            // Fails if the caller has disconnected.
            let _ = sender.send(assignment);
        }
    }
}

/// Place of a stream in a queue, which it leaves when dropped.
pub(crate) struct QueueSlot {
    traffic: Rc<Traffic>,
    service: ServiceName,
    ticket: QueueTicket,
    assignment: oneshot::Receiver<Assignment>,
}

impl QueueSlot {
    /// Adds a stream to the queue of a service.
    pub(crate) fn enter(
        traffic: &Rc<Traffic>,
        service: &ServiceName,
        stream: QueuedStream,
    ) -> Result<Self, QueueRejection> {
        let now = traffic.now();
        let (sender, assignment) = oneshot::channel();
        let mut queues = traffic.placement_queues.borrow_mut();
        let entered = queues.entry(service.clone()).or_default();
        entered.follow_stop(traffic);
        let ticket = entered.queue.push(now, stream)?;
        entered.waiting.insert(ticket, sender);
        if !std::mem::replace(&mut entered.is_served, true) {
            spawn_local(serve(Rc::clone(traffic), service.clone()));
        }
        Ok(Self {
            traffic: Rc::clone(traffic),
            service: service.clone(),
            ticket,
            assignment,
        })
    }

    /// Waits for an engine.
    pub(crate) async fn assigned(&mut self) -> Assignment {
        let assignment = (&mut self.assignment).await;
        assignment.unwrap_or(Assignment::Unrestricted)
    }
}

impl Drop for QueueSlot {
    fn drop(&mut self) {
        let mut queues = self.traffic.placement_queues.borrow_mut();
        if let Some(left) = queues.get_mut(&self.service) {
            left.queue.remove(self.ticket);
            left.waiting.remove(&self.ticket);
        }
    }
}

/// Rejects the waiting streams that would outlast the process as soon as a stop begins,
/// because a round of queries may take a while.
pub(crate) async fn reject_at_stop(traffic: Rc<Traffic>) {
    traffic
        .shared
        .wait_for_phase(LifecyclePhase::NotReady)
        .await;
    let now = traffic.now();
    for queue in traffic.placement_queues.borrow_mut().values_mut() {
        queue.follow_stop(&traffic);
        queue.reject_hopeless(now);
    }
}

/// Whether a stream that is sent now would outlast the process.
pub(crate) fn outlasts_process(traffic: &Traffic, service: &ServiceName, size: StreamSize) -> bool {
    let now = traffic.now();
    let mut queues = traffic.placement_queues.borrow_mut();
    let queue = queues.entry(service.clone()).or_default();
    queue.follow_stop(traffic);
    queue.queue.outlasts_process(now, size)
}

/// Whether a new stream is accepted now.
pub(crate) fn accepts(traffic: &Traffic, service: &ServiceName, size: StreamSize) -> bool {
    let now = traffic.now();
    let mut queues = traffic.placement_queues.borrow_mut();
    let queue = queues.entry(service.clone()).or_default();
    queue.follow_stop(traffic);
    queue.queue.accepts(now, size)
}

/// Records that one attempt has run a whole stream.
pub(crate) fn record_finished(
    traffic: &Traffic,
    service: &ServiceName,
    size: StreamSize,
    duration: Micros,
) {
    let mut queues = traffic.placement_queues.borrow_mut();
    let queue = queues.entry(service.clone()).or_default();
    queue.queue.record_finished(size, duration);
}

/// Assigns engines until no stream of the service waits.
async fn serve(traffic: Rc<Traffic>, service: ServiceName) {
    loop {
        // Engines may be listed or leave while no other request updates the table.
        traffic.snapshot();
        let has_reports = query_engines(&traffic, &service).await;
        if assign_engines(&traffic, &service, has_reports) {
            return;
        }
        time::sleep(QUERY_INTERVAL).await;
    }
}

/// Records the state of some engines; returns whether any engine reported it.
async fn query_engines(traffic: &Rc<Traffic>, service: &ServiceName) -> bool {
    let engines = traffic.selector().engines_to_query(
        traffic.now(),
        &traffic.endpoint_table.borrow(),
        service,
        QUERIED_ENGINES,
    );
    let queries = engines.iter().map(|entry| query_engine(traffic, entry));
    join_all(queries).await.contains(&true)
}

async fn query_engine(traffic: &Rc<Traffic>, entry: &Arc<EndpointEntry>) -> bool {
    traffic.shared.metrics.increment(RelayCounter::Probes);
    let fetched = engine::fetch_report(traffic, &connection_key(entry)).await;
    let Some(Ok(report)) = fetched else {
        return false;
    };
    let mut table = traffic.endpoint_table.borrow_mut();
    table.record_report(traffic.now(), &entry.key, &report);
    true
}

/// Assigns the engines with room; returns whether no stream waits any more.
fn assign_engines(traffic: &Traffic, service: &ServiceName, has_reports: bool) -> bool {
    let now = traffic.now();
    let mut queues = traffic.placement_queues.borrow_mut();
    let Some(served) = queues.get_mut(service) else {
        return true;
    };
    served.follow_stop(traffic);
    let mut table = traffic.endpoint_table.borrow_mut();
    let assigned = relay::assign_engines(
        now,
        &mut table,
        &mut traffic.selector(),
        service,
        &mut served.queue,
        has_reports,
    );
    for (ticket, assignment) in assigned {
        served.assign(ticket, assignment);
    }
    served.is_served = !served.queue.is_empty();
    !served.is_served
}

/// Wait of a stream that was just added to a queue, as far as it can be predicted.
pub(crate) fn expected_wait(traffic: &Traffic, service: &ServiceName) -> Micros {
    let queues = traffic.placement_queues.borrow();
    let queue = queues.get(service);
    queue.map_or(Micros::ZERO, |it| it.queue.expected_wait(traffic.now()))
}
