//! Assignment of endpoints to nodes, which prefer the endpoints that are their own.

use std::{collections::HashMap, sync::Arc};

use parsleylatch_types::{FailureDomain, NodeId, Region};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{endpoint_table::EndpointEntry, readers::NodeLocation};

/// Assigns each endpoint to one node.
#[derive(Clone, Copy, Debug)]
pub struct EndpointOwnership<'a> {
    /// This node.
    pub own: &'a NodeId,
    /// All nodes, including this one.
    pub nodes: &'a Arc<[NodeLocation]>,
    /// Region of each failure domain.
    pub regions: &'a HashMap<FailureDomain, Region>,
}

impl EndpointOwnership<'_> {
    /// Whether an endpoint is assigned to this node, by rendezvous hashing. Nodes of the
    /// endpoint's failure domain take precedence, if those of nodes are known, and then nodes
    /// of its region, which keeps prompts and responses there.
    pub(crate) fn owns(&self, endpoint: &EndpointEntry) -> bool {
        let region = self.regions.get(&endpoint.failure_domain);
        let seed = xxh3_64(endpoint.key.id.as_str().as_bytes());
        let owner = self.nodes.iter().max_by_key(|node| {
            let is_in_domain = node.failure_domain.as_ref() == Some(&endpoint.failure_domain);
            let is_in_region = region.is_some() && node.region.as_ref() == region;
            (
                is_in_domain,
                is_in_region,
                xxh3_64_with_seed(node.id.as_str().as_bytes(), seed),
            )
        });
        owner.is_none_or(|owner| owner.id == *self.own)
    }
}
