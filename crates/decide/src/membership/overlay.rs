//! Which nodes a node opens links to, and which nodes share a duty.
//!
//! Every node computes the same from the same members, so nothing has to be
//! agreed. Within a region the nodes stand in a few rings, each in an order of
//! its own, and a node links to its successor in each. One ring keeps the region
//! in one piece, several make the ways short, and every node has the same count
//! of links. Between regions one node of each failure domain opens one link.

use parsleylatch_types::{FailureDomain, NodeId, Region};
use xxhash_rust::xxh3::Xxh3;

/// Names of the rings of a region.
const RINGS: [&str; 2] = ["ring-1", "ring-2"];

/// Where a node is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Node.
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

/// Nodes that share a duty: the best by rendezvous, in different failure domains
/// as far as there are that many.
pub fn duty_holders<'places>(
    duty: &str,
    places: impl Iterator<Item = &'places Place>,
    count: usize,
) -> Vec<&'places Place> {
    let mut ranked: Vec<(u64, &Place)> = places
        .map(|place| (score(duty, place.node.as_str()), place))
        .collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    let mut holders: Vec<&Place> = Vec::with_capacity(count);
    for (_, place) in &ranked {
        let is_new = holders
            .iter()
            .all(|held| held.failure_domain != place.failure_domain);
        if holders.len() < count && is_new {
            holders.push(place);
        }
    }
    for (_, place) in ranked {
        if holders.len() < count && !holders.contains(&place) {
            holders.push(place);
        }
    }
    holders
}

/// Nodes that a node opens links to.
pub fn partners(own: &Place, others: &[Place]) -> Vec<NodeId> {
    let mut partners = partners_within(own, others);
    partners.extend(partners_across(own, others));
    partners
}

fn partners_within(own: &Place, others: &[Place]) -> Vec<NodeId> {
    let mut partners = Vec::with_capacity(RINGS.len());
    for ring in RINGS {
        let within = others
            .iter()
            .filter(|place| place.region == own.region && !partners.contains(&place.node));
        let position = |node: &NodeId| (score(ring, node.as_str()), node.clone());
        let own_position = position(&own.node);
        let successor = within.min_by_key(|place| {
            let position = position(&place.node);
            (position < own_position, position)
        });
        partners.extend(successor.map(|place| place.node.clone()));
    }
    partners
}

fn partners_across(own: &Place, others: &[Place]) -> Vec<NodeId> {
    let same_domain = others
        .iter()
        .filter(|place| place.failure_domain == own.failure_domain);
    let opener = duty_holders("across", same_domain.chain([own]), 1);
    if opener != [own] {
        return Vec::new();
    }
    let mut regions: Vec<&Region> = others.iter().map(|place| &place.region).collect();
    regions.sort_unstable();
    regions.dedup();
    let far = regions.into_iter().filter(|region| **region != own.region);
    let chosen = far.flat_map(|region| {
        let there = others.iter().filter(|place| place.region == *region);
        duty_holders(own.failure_domain.as_str(), there, 1)
    });
    chosen.map(|place| place.node.clone()).collect()
}
