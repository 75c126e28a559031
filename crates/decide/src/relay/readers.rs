//! Which nodes read the store directly, and what they send to the others.
//!
//! On a small deployment every node reads the store. On a large one a few nodes per
//! region do, and the others query these readers. The load on the store and on the
//! links between regions then does not grow with the number of nodes.

use std::collections::VecDeque;

use parsleylatch_types::{FailureDomain, NodeId, Region, StorePosition};
use xxhash_rust::xxh3::xxh3_64;

/// Largest number of nodes at which every node reads the store. Their watches then
/// use less than 1% of the calls that the store can serve.
const ALL_READERS_NODE_LIMIT: usize = 24;
/// Readers per region on a larger deployment; two of them may be lost or unreachable
/// at the same time.
pub(super) const REGION_READERS: usize = 3;
/// Removals kept for nodes that have not seen them: several times the endpoints of a
/// failure domain in the largest deployment.
const REMOVALS_LIMIT: usize = 4_096;

/// One in this many requests from non-readers of another region gets the full state,
/// in case all readers of that region are lost.
const REMOTE_FULL_STATE_DIVISOR: f64 = 30.0;

/// A node and its place, as far as it is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeLocation {
    /// Node id.
    pub id: NodeId,
    /// Region of the node.
    pub region: Option<Region>,
    /// Failure domain of the node, where it decides which endpoints are assigned to it.
    pub failure_domain: Option<FailureDomain>,
}

/// Readers of a region, chosen by a hash of their ids; `None` if every node reads the
/// store.
pub fn region_readers<'a>(nodes: &'a [NodeLocation], region: &Region) -> Option<Vec<&'a NodeId>> {
    if nodes.len() <= ALL_READERS_NODE_LIMIT {
        return None;
    }
    let local = nodes
        .iter()
        .filter(|node| node.region.as_ref() == Some(region));
    let mut local: Vec<&NodeId> = local.map(|node| &node.id).collect();
    local.sort_by_key(|id| xxh3_64(id.as_str().as_bytes()));
    local.truncate(REGION_READERS);
    Some(local)
}

/// Whether a node of `own_region` sends the full state to a requester that has none.
/// Otherwise it refers the requester to the nodes of the requester's own region,
/// because sending the full state to every node of another region would saturate the
/// links to that region. `random` is uniform in [0, 1).
pub fn receives_full_state(
    nodes: &[NodeLocation],
    own_region: &Region,
    requester: (&NodeId, &Region),
    random: f64,
) -> bool {
    let (id, region) = requester;
    let readers = region_readers(nodes, region);
    let is_reader = readers.is_none_or(|readers| readers.contains(&id));
    region == own_region || is_reader || random * REMOTE_FULL_STATE_DIVISOR < 1.0
}

/// Recently removed keys, so that other nodes can catch up by changes only.
#[derive(Debug, Default)]
pub struct RemovalLog {
    removals: VecDeque<(StorePosition, Box<str>)>,
    /// The log is complete for removals after this position.
    kept_after: StorePosition,
}

impl RemovalLog {
    /// Clears the log after a full listing at a position.
    pub fn restart(&mut self, position: StorePosition) {
        self.removals.clear();
        self.kept_after = position;
    }

    /// Records a removed key, with the position at which the removal was observed.
    pub fn record(&mut self, position: StorePosition, key: &str) {
        self.removals.push_back((position, key.into()));
        if self.removals.len() > REMOVALS_LIMIT
            && let Some((oldest, _)) = self.removals.pop_front()
        {
            self.kept_after = self.kept_after.max(oldest);
        }
    }

    /// Keys removed after a position; `None` if the log does not reach back that far.
    pub fn since(&self, position: StorePosition) -> Option<impl Iterator<Item = &str>> {
        let later = self.removals.iter().filter(move |(at, _)| *at > position);
        (position >= self.kept_after).then(|| later.map(|(_, key)| &**key))
    }
}
