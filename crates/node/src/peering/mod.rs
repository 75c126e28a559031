//! The peer thread: links to other nodes, and journal replication over them.
//!
//! Gossip is forwarded to the control thread. Journal traffic is handled on this
//! separate thread, so that neither delays the other. Records of many generations
//! are batched into one frame per node every few milliseconds.

mod codec;
mod state;

use std::{net::TcpListener, sync::Arc};

use parsleylatch_decide::journal::{
    JournalKey, JournalRecord, TakeOverRequest, TakenOverGeneration,
};
use parsleylatch_peer::{Identity, ServeLimits, serve};
use parsleylatch_types::NodeId;
use tokio::sync::{mpsc, oneshot};

use crate::{
    running::TaskMessage,
    shared::{Shared, connection_observer},
};
use state::PeeringState;

/// Capacity of the queue of link events.
const EVENT_BUFFER: usize = 4_096;
/// Maximum number of inputs taken from the traffic threads at a time.
const INPUT_BATCH: usize = 256;

/// Commands from traffic threads to the peer thread.
#[derive(Debug)]
pub(crate) enum PeeringInput {
    /// Sends a record to a node.
    Journal { peer: NodeId, record: JournalRecord },
    /// Subscribes a task to the acknowledgements of its journal at a node, and to
    /// the loss of that node.
    Subscribe {
        key: JournalKey,
        peer: NodeId,
        messages: mpsc::Sender<TaskMessage>,
    },
    /// Unsubscribes a task that has ended.
    Unsubscribe(JournalKey, mpsc::Sender<TaskMessage>),
    /// Takes a generation over from a node.
    TakeOver(OutgoingTakeOver),
}

/// Take-over request to send to a node.
#[derive(Debug)]
pub(crate) struct OutgoingTakeOver {
    pub(crate) target: NodeId,
    pub(crate) request: TakeOverRequest,
    pub(crate) reply: oneshot::Sender<GrantedGeneration>,
}

/// A generation handed over to this node.
#[derive(Debug)]
pub(crate) struct GrantedGeneration {
    pub(crate) generation: TakenOverGeneration,
    /// Other node that holds its journal, if any.
    pub(crate) holder: Option<NodeId>,
}

/// Runs the peer thread until the node has stopped.
pub(crate) async fn run(
    shared: Arc<Shared>,
    listener: TcpListener,
    mut inputs: mpsc::Receiver<PeeringInput>,
    mut stopped: oneshot::Receiver<()>,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("failed to register the peer listener: {error}");
            return;
        }
    };
    let (events, mut link_events) = mpsc::channel(EVENT_BUFFER);
    let limits = ServeLimits::default();
    let observe = connection_observer(&shared);
    tokio::spawn(serve(
        listener,
        shared.identity.clone(),
        events.clone(),
        limits,
        observe,
    ));
    let mut peers = shared.peers.subscribe();
    let mut stop_phase = shared.stop_phase.subscribe();
    // The list may have been published before this thread subscribed.
    peers.mark_changed();
    let clock = shared.clock;
    let mut state = PeeringState::new(shared, events);
    let mut batch = Vec::with_capacity(INPUT_BATCH);
    loop {
        tokio::select! {
            Some(event) = link_events.recv() => state.handle_link_event(event),
            received = inputs.recv_many(&mut batch, INPUT_BATCH) => {
                if received == 0 {
                    return;
                }
                for input in batch.drain(..) {
                    state.handle(input);
                }
                state.flush_idle();
            }
            Ok(()) = peers.changed() => {
                let members = peers.borrow_and_update().clone();
                state.connect_neighbours(&members);
            }
            Ok(()) = stop_phase.changed() => state.start_draining(),
            () = clock.sleep_until(state.next_deadline()) => state.expire(),
            _ = &mut stopped => return,
        }
    }
}

/// Identity that this node announces to other nodes.
pub(crate) fn local_identity(
    settings: &parsleylatch_settings::NodeSettings,
    incarnation: parsleylatch_types::Incarnation,
) -> Identity {
    Identity {
        node_id: settings.node_id.clone(),
        incarnation,
        failure_domain: settings.failure_domain.clone(),
        region: settings.region.clone(),
    }
}
