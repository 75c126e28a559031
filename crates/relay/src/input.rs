//! Messages that tasks and traffic threads send to the control thread.

use std::net::SocketAddr;

use parsleylatch_decide::relay::{EndpointKey, PromptChain, VersionTrial};
use parsleylatch_settings::RelaySettings;
use parsleylatch_types::{Micros, MonoTime, PromptPartId, TrialNumber};
use parsleylatch_wire::relay::RelayState;
use tokio::sync::oneshot;

use crate::control::DocumentSet;

/// Message to the control thread.
#[derive(Debug)]
pub(crate) enum ControlInput {
    /// Every document in the store, and when the call that read them started.
    Listing(DocumentSet, MonoTime),
    /// Documents that have changed, and when the store confirmed them.
    Changes(DocumentSet, MonoTime),
    /// The entries of the nodes alone; the sender is notified once they have been
    /// applied.
    Nodes(DocumentSet, oneshot::Sender<()>),
    /// A call to the store failed.
    StoreFailed,
    /// Another node did not respond.
    PeerUnresponsive(SocketAddr),
    /// State of another node, and when the query for it was sent.
    PeerState(Box<RelayState>, MonoTime),
    /// Result of an attempt made during a rollout of its service, if it was not reported as
    /// started or fails after its first event.
    Trial(Box<VersionTrial>),
    /// Start of an attempt made during a rollout of its service.
    TrialStarted(TrialNumber, Box<VersionTrial>),
    /// Time to the first event of a started attempt; `None` if it failed.
    TrialEnded(TrialNumber, Option<Micros>),
    /// A started attempt has no result.
    TrialAbandoned(TrialNumber),
    /// An endpoint failed as a whole before it had begun to answer a request.
    EndpointCrashed(EndpointKey, PromptChain),
    /// An answer that began at a time is under way; its prompt has these suspected parts.
    AnswerUnderWay(MonoTime, Vec<PromptPartId>),
    /// A request was refused because of a quarantined part.
    PartRefused(PromptPartId),
    /// The settings file has changed.
    Settings(Box<RelaySettings>),
    /// The last traffic thread has closed its listener.
    ListenersClosed,
    /// No request is in flight.
    Idle,
    /// A graceful stop was requested.
    StopRequested,
}
