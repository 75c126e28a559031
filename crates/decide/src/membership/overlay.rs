//! Overlay network: which nodes a node opens links to, and rendezvous hashing.
//!
//! All nodes compute the same result from the same members, so no agreement is
//! needed. The nodes of a region form a few rings, each with a different order,
//! and a node opens a link to its successor in each ring. One ring keeps the
//! region connected, several rings shorten the paths, and all nodes have the same
//! number of links. Between regions, one node of each failure domain opens one
//! link to each other region.

use parsleylatch_types::{FailureDomain, NodeId, Region};
use xxhash_rust::xxh3::Xxh3;

/// Names of the rings of a region; each seeds the order of its ring.
const RINGS: [&str; 2] = ["ring-1", "ring-2"];

/// Location of a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberLocation {
    /// Id of the node.
    pub node: NodeId,
    /// Failure domain of its VM.
    pub failure_domain: FailureDomain,
    /// Region of its VM.
    pub region: Region,
}

fn score(first: &str, second: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(first.as_bytes());
    hasher.update(&[0]);
    hasher.update(second.as_bytes());
    hasher.digest()
}

/// Selects up to `count` nodes for a key by rendezvous hashing, in different failure
/// domains as far as there are enough of them.
pub fn rendezvous_nodes<'locations>(
    key: &str,
    locations: impl Iterator<Item = &'locations MemberLocation>,
    count: usize,
) -> Vec<&'locations MemberLocation> {
    let mut ranked: Vec<(u64, &MemberLocation)> = locations
        .map(|location| (score(key, location.node.as_str()), location))
        .collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    let mut selected: Vec<&MemberLocation> = Vec::with_capacity(count);
    for (_, location) in &ranked {
        let is_new = selected
            .iter()
            .all(|other| other.failure_domain != location.failure_domain);
        if selected.len() < count && is_new {
            selected.push(location);
        }
    }
    for (_, location) in ranked {
        if selected.len() < count && !selected.contains(&location) {
            selected.push(location);
        }
    }
    selected
}

/// Nodes that a node opens links to, within its region and across regions.
pub fn overlay_neighbours(own: &MemberLocation, others: &[MemberLocation]) -> Vec<NodeId> {
    let mut neighbours = ring_neighbours(own, others);
    neighbours.extend(cross_region_neighbours(own, others));
    neighbours
}

fn ring_neighbours(own: &MemberLocation, others: &[MemberLocation]) -> Vec<NodeId> {
    let mut neighbours = Vec::with_capacity(RINGS.len());
    for ring in RINGS {
        let within = others.iter().filter(|location| {
            location.region == own.region && !neighbours.contains(&location.node)
        });
        let position = |node: &NodeId| (score(ring, node.as_str()), node.clone());
        let own_position = position(&own.node);
        let successor = within.min_by_key(|location| {
            let position = position(&location.node);
            (position < own_position, position)
        });
        neighbours.extend(successor.map(|location| location.node.clone()));
    }
    neighbours
}

fn cross_region_neighbours(own: &MemberLocation, others: &[MemberLocation]) -> Vec<NodeId> {
    let same_domain = others
        .iter()
        .filter(|location| location.failure_domain == own.failure_domain);
    let opener = rendezvous_nodes("across", same_domain.chain([own]), 1);
    if opener != [own] {
        return Vec::new();
    }
    let mut regions: Vec<&Region> = others.iter().map(|location| &location.region).collect();
    regions.sort_unstable();
    regions.dedup();
    let far = regions.into_iter().filter(|region| **region != own.region);
    let chosen = far.flat_map(|region| {
        let there = others.iter().filter(|location| location.region == *region);
        rendezvous_nodes(own.failure_domain.as_str(), there, 1)
    });
    chosen.map(|location| location.node.clone()).collect()
}
