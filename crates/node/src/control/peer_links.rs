//! Links of the control thread to other nodes: those that this node opened, and the
//! reply senders of those that other nodes opened.

use std::{collections::BTreeMap, net::SocketAddr};

use parsleylatch_peer::{Identity, Link, LinkEvent, ReplySender, connect};
use parsleylatch_types::NodeId;
use parsleylatch_wire::{gossip::Gossip, peer::peer_message::Body};
use tokio::sync::mpsc;

/// Result of sending a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SendOutcome {
    /// The message was queued on a link.
    Queued,
    /// There is no usable link to the node.
    NoLink,
}

struct OpenedLink {
    link: Link,
    is_usable: bool,
}

pub(crate) struct PeerLinks {
    own_identity: Identity,
    events: mpsc::Sender<LinkEvent>,
    opened: BTreeMap<NodeId, OpenedLink>,
    accepted: BTreeMap<NodeId, ReplySender>,
}

impl PeerLinks {
    pub(crate) fn new(own_identity: Identity, events: mpsc::Sender<LinkEvent>) -> Self {
        Self {
            own_identity,
            events,
            opened: BTreeMap::new(),
            accepted: BTreeMap::new(),
        }
    }

    pub(crate) fn open(&mut self, peer: NodeId, address: SocketAddr) {
        let link = connect(
            self.own_identity.clone(),
            peer.clone(),
            address,
            self.events.clone(),
        );
        self.opened.insert(
            peer,
            OpenedLink {
                link,
                is_usable: false,
            },
        );
    }

    pub(crate) fn close(&mut self, peer: &NodeId) {
        self.opened.remove(peer);
    }

    /// Records whether a link that this node opened is usable.
    pub(crate) fn set_usable(&mut self, peer: &NodeId, is_usable: bool) {
        if let Some(opened) = self.opened.get_mut(peer) {
            opened.is_usable = is_usable;
        }
    }

    fn usable_link(&self, peer: &NodeId) -> Option<&Link> {
        let opened = self.opened.get(peer).filter(|opened| opened.is_usable);
        opened.map(|opened| &opened.link)
    }

    /// Stores the reply sender of a link that another node opened, unless a link opened
    /// by this node is usable. Returns whether the link is new.
    pub(crate) fn record_accepted(&mut self, peer: &NodeId, reply: &ReplySender) -> bool {
        if self.usable_link(peer).is_some() {
            return false;
        }
        let previous = self.accepted.insert(peer.clone(), reply.clone());
        previous.is_none_or(|previous| !previous.is_same_link(reply))
    }

    /// Removes the reply sender of a node until the node sends another message.
    pub(crate) fn remove_accepted(&mut self, peer: &NodeId) {
        self.accepted.remove(peer);
    }

    /// Queues a message on the link to a node.
    pub(crate) fn send(&mut self, to: &NodeId, message: Gossip) -> SendOutcome {
        let body = Body::Gossip(message);
        if let Some(link) = self.usable_link(to) {
            // A full queue means that the connection is not draining it; the message is
            // dropped.
            link.send(body);
            return SendOutcome::Queued;
        }
        let Some(reply) = self.accepted.get(to) else {
            return SendOutcome::NoLink;
        };
        if reply.send(body) {
            return SendOutcome::Queued;
        }
        self.accepted.remove(to);
        SendOutcome::NoLink
    }
}
