//! Which nodes read the store themselves, and what the others are told.
//!
//! On a small deployment every node reads it. On a large one a few nodes of each
//! region do, and the others ask them: what comes from the store, and through the
//! links between regions, does not grow with the number of nodes.

use std::collections::VecDeque;

use parsleylatch_types::{NodeId, Region, Revision};
use xxhash_rust::xxh3::xxh3_64;

/// Nodes up to which each reads the store; a watch of each costs less than 1% of the
/// calls that the store takes.
const ALL_READERS_NODE_LIMIT: usize = 24;
/// Nodes of each region that read the store on a larger deployment: two may be lost
/// or cut off at the same time.
pub(super) const REGION_READERS: usize = 3;
/// Removals that are kept for nodes that lack them; a whole failure domain of the
/// largest deployment, several times.
const REMOVALS_LIMIT: usize = 4_096;

/// Nodes of another region that are told everything although they don't read for it, as
/// one in this many: the readers of a region may all be lost.
const REMOTE_FULL_STATE_DIVISOR: f64 = 30.0;

/// A node and its region, if it told one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeLocation {
    /// Node.
    pub id: NodeId,
    /// Region.
    pub region: Option<Region>,
}

/// Nodes of a region that read the store, by a hash of their ids; `None` if each does.
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

/// Whether a node that knows nothing is told everything by one of `own_region`. If not,
/// it learns who else is in its region: everything, told to each node of a region,
/// would fill the links to it. `random` is drawn evenly from 0 to 1.
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

/// Keys that were removed lately, so that another node can be told what it lacks.
#[derive(Debug, Default)]
pub struct RemovalLog {
    removals: VecDeque<(Revision, Box<str>)>,
    /// Removals after this revision are kept.
    kept_after: Revision,
}

impl RemovalLog {
    /// Starts anew with a whole reading at a revision.
    pub fn restart(&mut self, revision: Revision) {
        self.removals.clear();
        self.kept_after = revision;
    }

    /// Notes that a key was removed, as was learned at a revision.
    pub fn record(&mut self, revision: Revision, key: &str) {
        self.removals.push_back((revision, key.into()));
        if self.removals.len() > REMOVALS_LIMIT
            && let Some((oldest, _)) = self.removals.pop_front()
        {
            self.kept_after = self.kept_after.max(oldest);
        }
    }

    /// Keys that were removed after a revision; `None` if they are not all known.
    pub fn since(&self, revision: Revision) -> Option<impl Iterator<Item = &str>> {
        let later = self.removals.iter().filter(move |(at, _)| *at > revision);
        (revision >= self.kept_after).then(|| later.map(|(_, key)| &**key))
    }
}
