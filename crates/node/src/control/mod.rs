//! The control thread: one loop that owns the node's view and its life.
//!
//! Watchers run as tasks on the same thread and send what they learn as
//! [`ControlInput`]; only the loop changes the state, so nothing is locked.

mod admin;
mod claim_sweep;
pub(crate) mod events;
mod gossip;
mod move_records;
mod moves;
mod peer_links;
mod state;
mod watchers;

use std::{future::IntoFuture, net::TcpListener, sync::Arc};

use parsleylatch_decide::{generation::AttemptReport, node_life::NodeEvent};
use parsleylatch_http::NodelayListener;
use parsleylatch_peer::Received;
use parsleylatch_types::{EndpointId, UnixMillis};
use parsleylatch_wire::{
    engine::LoadReport,
    platform::{ListReply, VmListReply},
};
use tokio::sync::{mpsc, oneshot};

use crate::{node::Addresses, shared::Shared};
use gossip::Cluster;
use state::ControlState;

/// Events of links that may wait for the control thread.
const LINK_EVENT_BUFFER: usize = 1_024;

/// What the control thread learns.
#[derive(Debug)]
pub(crate) enum ControlInput {
    /// Templates that were written.
    Templates(ListReply),
    /// The platform's list, and when the read started.
    Vms(VmListReply, UnixMillis),
    /// Moves that were written.
    MoveRecords(ListReply),
    /// Load of an engine; `None` if it did not answer.
    Load(EndpointId, Option<LoadReport>),
    /// What became of an attempt.
    Attempt(AttemptReport),
    /// Gossip of another node.
    Gossip(Box<Received>),
    /// No request is in flight.
    Idle,
    /// A planned stop was asked for.
    StopRequested,
}

/// Sockets that the control thread serves.
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
                tokio::spawn(
                    parsleylatch_http::serve(listener, admin::router(Arc::clone(&shared)))
                        .into_future(),
                );
            }
            Err(error) => log::error!("admin listener can't be registered: {error}"),
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
