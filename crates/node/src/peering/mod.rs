//! The peer thread: accepts the links of other nodes and sorts what comes in.
//!
//! Gossip goes to the control thread. Journal traffic stays here, on a thread
//! of its own, so that neither waits for the other.

use std::{net::TcpListener, sync::Arc};

use parsleylatch_peer::{Identity, LinkEvent, Received, serve};
use parsleylatch_wire::peer::peer_message::Body;
use tokio::sync::{mpsc, oneshot};

use crate::{control::ControlInput, shared::Shared, telemetry::Counter};

/// Events of links that may wait for the peer thread.
const EVENT_BUFFER: usize = 4_096;

/// Runs the peer thread until the node has stopped.
pub(crate) async fn run(
    shared: Arc<Shared>,
    listener: TcpListener,
    mut stopped: oneshot::Receiver<()>,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("peer listener can't be registered: {error}");
            return;
        }
    };
    let (events, mut incoming) = mpsc::channel(EVENT_BUFFER);
    tokio::spawn(serve(listener, shared.identity.clone(), events));
    loop {
        tokio::select! {
            Some(event) = incoming.recv() => {
                if let LinkEvent::Received(received) = event {
                    sort(&shared, *received);
                }
            }
            _ = &mut stopped => return,
        }
    }
}

fn sort(shared: &Shared, received: Received) {
    match received.body {
        Body::Gossip(_) => forward_gossip(shared, received),
        _ => log::debug!("unexpected message from {}", received.from.node_id),
    }
}

/// Gossip that finds the control thread busy is dropped; later rounds repeat it.
fn forward_gossip(shared: &Shared, received: Received) {
    if shared
        .control
        .try_send(ControlInput::Gossip(Box::new(received)))
        .is_err()
    {
        shared.counters.increment(Counter::GossipDropped);
    }
}

/// Identity of this node, as other nodes see it.
pub(crate) fn identity_of(
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
