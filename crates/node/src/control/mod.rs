//! The control thread: an event loop that owns the control state and the node's
//! lifecycle.
//!
//! Watchers run as tasks on the same thread and send their results as
//! [`ControlInput`]. Only the loop changes the state, so it needs no locks.

mod admin;
mod claim_sweep;
pub(crate) mod events;
mod gossip;
mod move_records;
mod moves;
mod peer_links;
mod state;
mod watchers;

use std::{future::pending, net::TcpListener, sync::Arc};

use parsleylatch_decide::{generation::AttemptReport, node_life::NodeEvent};
use parsleylatch_http::{NodelayListener, ServerBounds, serve_bounded, unavailable};
use parsleylatch_peer::Received;
use parsleylatch_runtime::Connections;
use parsleylatch_types::{EndpointId, UnixMillis};
use parsleylatch_wire::{
    engine::LoadReport,
    platform::{ListReply, VmListReply},
};
use tokio::sync::{mpsc, oneshot};

use crate::{
    node::Addresses,
    shared::{Shared, connection_observer},
};
use gossip::Cluster;
use state::ControlState;

/// Connections of operators and of the balancer beside streams of events.
const SHORT_ADMIN_CONNECTIONS: usize = 64;
/// Maximum number of connections to the admin address.
const ADMIN_CONNECTIONS: usize = admin::MAX_EVENT_STREAMS + SHORT_ADMIN_CONNECTIONS;
/// Capacity of the channel of link events.
const LINK_EVENT_BUFFER: usize = 1_024;

/// Input of the control thread.
#[derive(Debug)]
pub(crate) enum ControlInput {
    /// Written templates.
    Templates(ListReply),
    /// The platform's VM list, and the time at which the read started.
    Vms(VmListReply, UnixMillis),
    /// Written move records.
    MoveRecords(ListReply),
    /// Load of an engine; `None` if it did not answer.
    Load(EndpointId, Option<LoadReport>),
    /// Result of an attempt.
    Attempt(AttemptReport),
    /// Gossip message from another node.
    Gossip(Box<Received>),
    /// No request is in flight.
    Idle,
    /// A planned stop was requested.
    StopRequested,
}

/// Listeners of the control thread, and the node's addresses to publish.
pub(crate) struct Listeners {
    pub(crate) admin: Vec<TcpListener>,
    pub(crate) addresses: Addresses,
}

/// Runs the control thread until the node has stopped.
pub(crate) async fn run(
    shared: Arc<Shared>,
    mut inputs: mpsc::Receiver<ControlInput>,
    listeners: Listeners,
    ready: oneshot::Sender<()>,
) {
    let (events, mut link_events) = mpsc::channel(LINK_EVENT_BUFFER);
    let cluster = Cluster::new(Arc::clone(&shared), listeners.addresses, events);
    start_watchers(&shared, &cluster);
    let mut state = ControlState::new(Arc::clone(&shared), cluster, ready);
    for listener in listeners.admin {
        match NodelayListener::from_std(listener) {
            Ok(listener) => {
                let observe = connection_observer(&shared);
                let bounds = ServerBounds {
                    connections: Connections::new("admin", ADMIN_CONNECTIONS, observe),
                    refusal: unavailable,
                };
                let router = admin::router(Arc::clone(&shared));
                tokio::spawn(serve_bounded(listener, router, bounds, pending::<()>()));
            }
            Err(error) => log::error!("failed to register the admin listener: {error}"),
        }
    }
    while !state.is_stopped() {
        tokio::select! {
            Some(input) = inputs.recv() => state.handle(input),
            Some(event) = link_events.recv() => state.handle_link_event(event),
            () = shared.clock.sleep_until(state.next_deadline()) => state.expire(),
        }
        if shared.requests_in_flight() == 0 {
            state.handle_lifecycle_event(NodeEvent::Idle);
        }
    }
}

fn start_watchers(shared: &Arc<Shared>, cluster: &Cluster) {
    let assignments = &cluster.assignments;
    for kind in [watchers::TEMPLATES, watchers::MOVE_RECORDS] {
        tokio::spawn(watchers::watch_documents(
            Arc::clone(shared),
            kind,
            assignments.watch_mode.subscribe(),
        ));
    }
    tokio::spawn(watchers::watch_vms(
        Arc::clone(shared),
        assignments.list_interval.subscribe(),
    ));
    tokio::spawn(watchers::watch_loads(
        Arc::clone(shared),
        assignments.endpoints.subscribe(),
    ));
    tokio::spawn(watchers::report_counters(Arc::clone(shared)));
    tokio::spawn(claim_sweep::run(Arc::clone(shared)));
}
