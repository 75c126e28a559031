//! Encoding of gossip frames as they are sent over links.

use std::collections::BTreeMap;

use parsleylatch_decide::gossip::GossipMessage;
use parsleylatch_node::gossip_codec;
use parsleylatch_types::NodeId;
use parsleylatch_wire::{
    gossip::Gossip as GossipBody,
    peer::{PeerMessage, peer_message::Body},
};
use prost::Message;

/// Encodes a gossip message as a frame.
pub(super) fn encode(message: GossipMessage) -> Vec<u8> {
    encode_body(gossip_codec::encode(message))
}

/// Encodes the wire form of a gossip message or a probe as a frame.
pub(super) fn encode_body(message: GossipBody) -> Vec<u8> {
    let message = PeerMessage {
        body: Some(Body::Gossip(message)),
    };
    message.encode_to_vec()
}

/// Values by the peer at the other end of the link.
pub(super) type ByLink<Value> = BTreeMap<NodeId, Value>;
