//! Items that nodes tell one another, and their order.
//!
//! Items of one key are totally ordered by version and then by value, and a
//! node keeps the largest. Merging is thus commutative, associative and
//! idempotent, whatever the order in which items arrive.

use std::{net::SocketAddr, sync::Arc};

use parsleylatch_types::{
    EndpointId, FailureDomain, Incarnation, MoveId, NodeId, Region, RequestCount, Revision,
    WorkspaceId,
};
use strum::{Display, EnumString, FromRepr};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

/// Digest of an endpoint's id and a watcher's; keeps frames small.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ObservationId(u64);

impl ObservationId {
    /// Id of what a watcher says of an endpoint.
    pub fn new(endpoint: &EndpointId, watcher: &NodeId) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(endpoint.as_str().as_bytes());
        hasher.update(&[0]);
        hasher.update(watcher.as_str().as_bytes());
        Self(hasher.digest())
    }

    /// Wraps a plain number.
    pub const fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// Plain number.
    pub const fn to_bits(self) -> u64 {
        self.0
    }
}

/// What an item is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ItemKey {
    /// State of a node.
    Node(NodeId),
    /// What a watcher says of an endpoint.
    Endpoint(ObservationId),
    /// Accepted template of a workspace.
    Template(WorkspaceId),
    /// Entry of the platform's list of VMs.
    Vm(EndpointId),
    /// Evidence on a version move, as one node counted it.
    Evidence {
        /// Node that counted.
        origin: NodeId,
        /// Move.
        move_id: MoveId,
    },
}

impl ItemKey {
    /// Stable hash, the same on every node.
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

/// Version of an item; grows with every change that its origin makes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ItemVersion {
    /// Start number of the origin's process, where the origin counts in memory.
    pub incarnation: Incarnation,
    /// Number of the change.
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

    /// Version after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self {
            incarnation: self.incarnation,
            counter: self.counter.saturating_add(1),
        }
    }
}

/// What is said of a node; a later one goes before an earlier of the same version.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumString, FromRepr,
)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum NodeStatus {
    /// It answers.
    Alive,
    /// A prober got no answer.
    Suspect,
    /// It got no chance to answer in time, or did not.
    Dead,
    /// It said that it stops.
    Leaving,
}

/// State of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeRecord {
    /// What is said of it.
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

/// What a watcher says of an endpoint.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumString, FromRepr,
)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum ObservedCondition {
    /// It answers.
    Live,
    /// It did not answer lately.
    Suspect,
    /// It has not answered for long.
    Gone,
    /// It said that it wants no new work.
    Leaving,
}

/// Coarse load of an endpoint and its condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointSummary {
    /// Condition.
    pub condition: ObservedCondition,
    /// Taken places, in sixteenths of the capacity.
    pub load_sixteenths: u8,
    /// Bits of the count of waiting streams: 0, 1, 2-3, 4-7, ...
    pub waiting_bits: u8,
    /// Streams it can run at once.
    pub capacity: RequestCount,
}

/// Steps into which the capacity is divided in a summary.
const LOAD_STEPS: u64 = 16;

impl EndpointSummary {
    /// Summary of a load report.
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

    /// Streams that run, as far as the summary tells.
    pub fn running(&self) -> RequestCount {
        RequestCount::new(u64::from(self.load_sixteenths) * self.capacity.get() / LOAD_STEPS)
    }

    /// Streams that wait, as far as the summary tells.
    pub fn waiting(&self) -> RequestCount {
        let bits = u32::from(self.waiting_bits);
        RequestCount::new(bits.checked_sub(1).map_or(0, |bits| 1_u64 << bits.min(63)))
    }
}

/// What an item says.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ItemValue {
    /// State of a node.
    Node(NodeRecord),
    /// Condition and load of an endpoint.
    Endpoint(EndpointSummary),
    /// Text of an accepted template.
    Template(Arc<str>),
    /// Text of an entry of the list of VMs; `None` if it was taken off the list.
    Vm(Option<Arc<str>>),
    /// Evidence on a version move, in its owner's encoding.
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

/// One item.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Item {
    /// What it is about.
    pub key: ItemKey,
    /// Version.
    pub version: ItemVersion,
    /// What it says.
    pub value: ItemValue,
}

impl Item {
    /// Whether this item replaces another of the same key.
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.version, &self.value) > (other.version, &other.value)
    }

    /// Stable hash of key, version and value.
    pub fn stable_hash(&self) -> u64 {
        let mut hasher = Xxh3::new();
        hasher.update(&self.key.stable_hash().to_le_bytes());
        hasher.update(&self.version.incarnation.get().to_le_bytes());
        hasher.update(&self.version.counter.to_le_bytes());
        hasher.update(&self.value.stable_hash().to_le_bytes());
        hasher.digest()
    }

    /// Which of the two queues of a link carries the item.
    pub(crate) fn queue(&self) -> LinkQueue {
        match &self.value {
            ItemValue::Endpoint(summary) if summary.condition == ObservedCondition::Live => {
                LinkQueue::Bulk
            }
            _ => LinkQueue::Urgent,
        }
    }
}

/// Queue of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LinkQueue {
    /// Sent at once.
    Urgent,
    /// Sent at intervals, within a budget.
    Bulk,
}
