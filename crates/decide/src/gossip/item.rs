//! Items that nodes exchange, and their order.
//!
//! Items with the same key are totally ordered by version and then by value, and a
//! node keeps the largest. Merging is therefore commutative, associative and
//! idempotent, and the order in which items arrive doesn't matter.

use std::{net::SocketAddr, sync::Arc};

use parsleylatch_types::{
    EndpointId, FailureDomain, Incarnation, MoveId, NodeId, Region, RequestCount, Revision,
    WorkspaceId,
};
use strum::{Display, EnumString, FromRepr};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Hash of the ids of an endpoint and a watcher; shorter than the ids, to keep frames
/// small.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObservationId(u64);

impl ObservationId {
    /// Id of a watcher's observation of an endpoint.
    pub fn new(endpoint: &EndpointId, watcher: &NodeId) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(endpoint.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(watcher.as_str().as_bytes());
        Self(hasher.digest())
    }

    /// Creates an id from its numeric value.
    pub const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// Numeric value.
    pub const fn to_bits(self) -> u64 {
        self.0
    }
}

/// Key of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ItemKey {
    /// State of a node.
    Node(NodeId),
    /// A watcher's observation of an endpoint.
    Endpoint(ObservationId),
    /// Accepted template of a workspace.
    Template(WorkspaceId),
    /// Entry of the platform's list of VMs.
    Vm(EndpointId),
    /// Evidence on a version move, as counted by one node.
    Evidence {
        /// Node that counted the evidence.
        origin: NodeId,
        /// Id of the move.
        move_id: MoveId,
    },
}

impl ItemKey {
    /// Hash that is the same on every node.
    pub fn stable_hash(&self) -> u64 {
        match self {
            Self::Node(id) => hash_parts(&[b"node", id.as_str().as_bytes()]),
            Self::Endpoint(id) => id.to_bits(),
            Self::Template(id) => hash_parts(&[b"template", id.as_str().as_bytes()]),
            Self::Vm(id) => hash_parts(&[b"vm", id.as_str().as_bytes()]),
            Self::Evidence { origin, move_id } => hash_parts(&[
                b"evidence",
                origin.as_str().as_bytes(),
                move_id.as_str().as_bytes(),
            ]),
        }
    }
}

fn hash_parts(parts: &[&[u8]]) -> u64 {
    let mut hasher = Xxh3::new();
    for part in parts {
        hasher.update(part);
        hasher.update(&[0]);
    }
    hasher.digest()
}

/// Version of an item; increases with every change by its origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ItemVersion {
    /// Incarnation of the origin's process, for origins that count in memory.
    pub incarnation: Incarnation,
    /// Sequence number of the change.
    pub counter: u64,
}

impl ItemVersion {
    /// Version of an accepted template.
    pub const fn of_revision(revision: Revision) -> Self {
        Self {
            incarnation: Incarnation::ZERO,
            counter: revision.get(),
        }
    }

    /// Returns the next version.
    #[must_use]
    pub const fn next(self) -> Self {
        Self {
            incarnation: self.incarnation,
            counter: self.counter.saturating_add(1),
        }
    }
}

/// Liveness status of a node; of two with the same version, the later variant
/// supersedes the earlier one.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumString, FromRepr,
)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum NodeStatus {
    /// It answers probes.
    Alive,
    /// A node that probes it got no answer.
    Suspect,
    /// It did not refute the suspicion in time, or could not.
    Dead,
    /// It announced that it is shutting down.
    Leaving,
}

/// Published state of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeRecord {
    /// Liveness status.
    pub status: NodeStatus,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Failure domain of its VM.
    pub failure_domain: FailureDomain,
    /// Region of its VM.
    pub region: Region,
}

/// Condition of an endpoint, as observed by a watcher.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumString, FromRepr,
)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum ObservedCondition {
    /// It answers load requests.
    Live,
    /// It did not answer the last load requests.
    Suspect,
    /// It has not answered for a long time.
    Gone,
    /// It reported that it accepts no new work.
    Leaving,
}

/// Condition and approximate load of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointSummary {
    /// Condition.
    pub condition: ObservedCondition,
    /// Occupied slots, in sixteenths of the capacity.
    pub load_sixteenths: u8,
    /// Bit length of the number of waiting streams, for 0, 1, 2-3, 4-7, ...
    pub waiting_bits: u8,
    /// Maximum number of concurrent streams.
    pub capacity: RequestCount,
}

/// Number of steps into which a summary divides the capacity.
const LOAD_STEPS: u64 = 16;

impl EndpointSummary {
    /// Creates the summary of a load report.
    pub fn new(
        condition: ObservedCondition,
        running: RequestCount,
        waiting: RequestCount,
        capacity: RequestCount,
    ) -> Self {
        let steps = running.get().saturating_mul(LOAD_STEPS) / capacity.get().max(1);
        Self {
            condition,
            load_sixteenths: steps.min(LOAD_STEPS) as u8,
            waiting_bits: (u64::BITS - waiting.get().leading_zeros()) as u8,
            capacity,
        }
    }

    /// Approximate number of running streams.
    pub fn running(&self) -> RequestCount {
        RequestCount::new(u64::from(self.load_sixteenths) * self.capacity.get() / LOAD_STEPS)
    }

    /// Approximate number of waiting streams.
    pub fn waiting(&self) -> RequestCount {
        let bits = u32::from(self.waiting_bits);
        RequestCount::new(bits.checked_sub(1).map_or(0, |bits| 1_u64 << bits.min(63)))
    }
}

/// Value of an item.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ItemValue {
    /// State of a node.
    Node(NodeRecord),
    /// Condition and load of an endpoint.
    Endpoint(EndpointSummary),
    /// Text of an accepted template.
    Template(Arc<str>),
    /// Text of an entry of the list of VMs; `None` if the VM was removed from the list.
    Vm(Option<Arc<str>>),
    /// Encoded evidence on a version move.
    Evidence(Arc<[u8]>),
}

impl ItemValue {
    fn stable_hash(&self) -> u64 {
        match self {
            Self::Node(record) => record.status as u64,
            Self::Endpoint(_) => 0,
            Self::Template(text) => xxh3_64(text.as_bytes()),
            Self::Vm(None) => 0,
            Self::Vm(Some(text)) => xxh3_64(text.as_bytes()),
            Self::Evidence(bytes) => xxh3_64(bytes),
        }
    }
}

/// A versioned key-value pair.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Item {
    /// Key.
    pub key: ItemKey,
    /// Version.
    pub version: ItemVersion,
    /// Value.
    pub value: ItemValue,
}

impl Item {
    /// Whether this item replaces another one with the same key.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.version, &self.value) > (other.version, &other.value)
    }

    /// Hash of key, version and value that is the same on every node.
    pub fn stable_hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(&self.key.stable_hash().to_le_bytes());
        hasher.update(&self.version.incarnation.get().to_le_bytes());
        hasher.update(&self.version.counter.to_le_bytes());
        hasher.update(&self.value.stable_hash().to_le_bytes());
        hasher.digest()
    }

    /// Queue that carries the item.
    pub(crate) fn queue(&self) -> LinkQueue {
        match &self.value {
            ItemValue::Endpoint(summary) if summary.condition == ObservedCondition::Live => {
                LinkQueue::Bulk
            }
            _ => LinkQueue::Urgent,
        }
    }
}

/// One of the two queues of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkQueue {
    /// Sent after a short delay for batching.
    Urgent,
    /// Sent at intervals, with a limited number of items.
    Bulk,
}
