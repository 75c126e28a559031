//! What tasks and traffic threads tell the control thread.

use std::net::SocketAddr;

use parsleylatch_decide::relay::VersionTrial;
use parsleylatch_settings::RelaySettings;
use parsleylatch_types::MonoTime;
use parsleylatch_wire::{platform::ListReply, relay::RelayState};
use tokio::sync::oneshot;

/// What the control thread learns.
#[derive(Debug)]
pub(crate) enum ControlInput {
    /// Every document was read by a call that started at the time.
    Listing(ListReply, MonoTime),
    /// What has changed, as it was known at the time.
    Changes(ListReply, MonoTime),
    /// The nodes were read, and nothing else; the reading task waits for the word that
    /// they are known.
    Nodes(ListReply, oneshot::Sender<()>),
    /// A call of the store failed.
    StoreFailed,
    /// Another node did not answer.
    PeerUnresponsive(SocketAddr),
    /// What another node knows, asked at the time.
    PeerState(Box<RelayState>, MonoTime),
    /// An attempt ended while a roll-out of its service is open.
    Trial(Box<VersionTrial>),
    /// The settings file has changed.
    Settings(Box<RelaySettings>),
    /// No request is in flight.
    Idle,
    /// A planned stop was asked for.
    StopRequested,
}
