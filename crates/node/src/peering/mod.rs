//! The peer thread: links to other nodes, and the journals that they carry.
//!
//! Gossip goes to the control thread. Journal traffic stays here, on a thread
//! of its own, so that neither waits for the other. Records of many generations
//! leave together, one frame per node every few milliseconds.

mod codec;
mod state;

use std::{net::TcpListener, sync::Arc};

use parsleylatch_decide::journal::{
    JournalKey, JournalRecord, TakeOverRequest, TakenOverGeneration,
};
use parsleylatch_peer::{Identity, serve};
use parsleylatch_types::NodeId;
use tokio::sync::{mpsc, oneshot};

use crate::{running::TaskMessage, shared::Shared};
use state::PeeringState;

/// Events of links that may wait for the peer thread.
const EVENT_BUFFER: usize = 4_096;
/// Most records that are taken from traffic threads in one turn.
const INPUT_BATCH: usize = 256;

/// What traffic threads ask of the peer thread.
#[derive(Debug)]
pub(crate) enum PeeringInput {
    /// Send a record to a node.
    Journal { peer: NodeId, record: JournalRecord },
    /// Tell a task what becomes of its journal at a node.
    Subscribe {
        key: JournalKey,
        peer: NodeId,
        messages: mpsc::Sender<TaskMessage>,
    },
    /// A task has ended.
    Unsubscribe(JournalKey, mpsc::Sender<TaskMessage>),
    /// Ask a node for a generation.
    TakeOver(OutgoingTakeOver),
}

/// Order to ask a node for a generation.
#[derive(Debug)]
pub(crate) struct OutgoingTakeOver {
    pub(crate) target: NodeId,
    pub(crate) request: TakeOverRequest,
    pub(crate) reply: oneshot::Sender<GrantedGeneration>,
}

/// A generation that was granted to this node.
#[derive(Debug)]
pub(crate) struct GrantedGeneration {
    pub(crate) generation: TakenOverGeneration,
    /// Node other than this one that holds a journal of it.
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
            log::error!("peer listener can't be registered: {error}");
            return;
        }
    };
    let (events, mut link_events) = mpsc::channel(EVENT_BUFFER);
    tokio::spawn(serve(listener, shared.identity.clone(), events.clone()));
    let mut peers = shared.peers.subscribe();
    let mut stop_phase = shared.stop_phase.subscribe();
    // The list may have been read before this thread looked.
    peers.mark_changed();
    let clock = shared.clock;
    let mut state = PeeringState::new(shared, events);
    let mut batch = Vec::with_capacity(INPUT_BATCH);
    loop {
        tokio::select! {
            Some(event) = link_events.recv() => state.handle_link(event),
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

/// Identity of this node, as other nodes see it.
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
