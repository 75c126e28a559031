//! Messages that tasks and traffic threads send to the control thread.

use std::net::SocketAddr;

use parsleylatch_decide::relay::VersionTrial;
use parsleylatch_settings::RelaySettings;
use parsleylatch_types::MonoTime;
use parsleylatch_wire::{platform::ListReply, relay::RelayState};
use tokio::sync::oneshot;

/// Message to the control thread.
#[derive(Debug)]
pub(crate) enum ControlInput {
    /// Every document in the store, and when the call that read them started.
    Listing(ListReply, MonoTime),
    /// Documents that have changed, and when the store confirmed them.
    Changes(ListReply, MonoTime),
    /// The entries of the nodes alone; the sender is notified once they have been
    /// applied.
    Nodes(ListReply, oneshot::Sender<()>),
    /// A call to the store failed.
    StoreFailed,
    /// Another node did not respond.
    PeerUnresponsive(SocketAddr),
    /// State of another node, and when the query for it was sent.
    PeerState(Box<RelayState>, MonoTime),
    /// Result of an attempt made during a rollout of its service.
    Trial(Box<VersionTrial>),
    /// The settings file has changed.
    Settings(Box<RelaySettings>),
    /// No request is in flight.
    Idle,
    /// A graceful stop was requested.
    StopRequested,
}
