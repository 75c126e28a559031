//! Selection of journal peers.
//!
//! Preferred are nodes in another failure domain of the same region, then other
//! nodes of the region, then other regions. Within a distance class, rendezvous
//! hashing of the request id distributes the journals.

use std::collections::HashSet;

use parsleylatch_types::{FailureDomain, NodeId, Region, RequestId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::view::PeerView;

/// Number of nodes to which a node keeps links for its journals.
const NEIGHBOUR_COUNT: usize = 8;

/// Distance class of a peer; lower is better.
fn distance_class(peer: &PeerView, domain: &FailureDomain, region: &Region) -> u8 {
    match (peer.region == *region, peer.failure_domain == *domain) {
        (true, false) => 0,
        (true, true) => 1,
        (false, _) => 2,
    }
}

fn weight(peer: &PeerView, seed: u64) -> u64 {
    xxh3_64_with_seed(peer.id.as_str().as_bytes(), seed)
}

/// Nodes to which a node keeps links, so that a journal peer is available.
pub fn journal_neighbours<'a>(
    own_id: &NodeId,
    domain: &FailureDomain,
    region: &Region,
    peers: &'a [PeerView],
) -> Vec<&'a PeerView> {
    let seed = xxh3_64_with_seed(own_id.as_str().as_bytes(), 0);
    let mut ranked_peers: Vec<_> = peers.iter().filter(|peer| peer.live).collect();
    ranked_peers.sort_by_key(|peer| (distance_class(peer, domain, region), weight(peer, seed)));
    ranked_peers.truncate(NEIGHBOUR_COUNT);
    ranked_peers
}

/// Chooses the journal peer of a request among the linked nodes.
pub fn choose_journal_peer(
    request_id: RequestId,
    domain: &FailureDomain,
    region: &Region,
    peers: &[PeerView],
    linked: &HashSet<NodeId>,
    excluded: &[NodeId],
) -> Option<NodeId> {
    let seed = request_id.stable_hash();
    let usable = peers
        .iter()
        .filter(|peer| peer.live && linked.contains(&peer.id) && !excluded.contains(&peer.id));
    usable
        .min_by_key(|peer| (distance_class(peer, domain, region), weight(peer, seed)))
        .map(|peer| peer.id.clone())
}

/// Chooses the node at which a caller resumes when its node stops: the journal
/// peer if it accepts callers, otherwise the nearest node.
pub fn choose_resume_node<'a>(
    request_id: RequestId,
    domain: &FailureDomain,
    region: &Region,
    peers: &'a [PeerView],
    journal_peer: Option<&NodeId>,
) -> Option<&'a PeerView> {
    let seed = request_id.stable_hash();
    let usable = peers
        .iter()
        .filter(|peer| peer.live && peer.caller_address.is_some());
    usable.min_by_key(|peer| {
        let is_holder = Some(&peer.id) == journal_peer;
        (
            !is_holder,
            distance_class(peer, domain, region),
            weight(peer, seed),
        )
    })
}
