//! Bodies of the platform's interfaces: key-value store and VM list.

use std::net::SocketAddr;

use parsleylatch_types::{
    EndpointId, EndpointVersion, FailureDomain, Millis, ModelId, Region, Revision, ServiceName,
};
use serde::{Deserialize, Serialize};

/// One key of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
    /// Store revision of the write; grows with every write to any key.
    pub revision: Revision,
}

/// Answer to a read of one key; `entry` is absent if there is no such key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReply {
    /// The key, if it exists.
    pub entry: Option<KeyValue>,
}

/// Answer to a listing or a watch of a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListReply {
    /// Keys that exist.
    pub entries: Vec<KeyValue>,
    /// Keys that were deleted after the revision that a watch named.
    pub deleted: Vec<String>,
    /// Store revision at which the answer holds.
    pub revision: Revision,
}

/// Answer to a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteReply {
    /// Whether the condition held and the write took effect.
    pub written: bool,
    /// The key after the write, or as it stood against the condition.
    pub entry: Option<KeyValue>,
}

/// Body of a request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time after which the lease lapses unless it is renewed.
    pub ttl_ms: Millis,
}

/// Answer to a request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Id of the lease; grows with every lease.
    pub lease_id: u64,
}

/// What a VM runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum VmRole {
    /// A node of the system.
    Node {
        /// Address for callers.
        caller_address: SocketAddr,
    },
    /// A model engine.
    Engine {
        /// Model it has loaded.
        model: ModelId,
        /// Version it runs.
        endpoint_version: EndpointVersion,
    },
    /// A plain service.
    Service {
        /// Name of the service.
        service: ServiceName,
    },
}

/// One VM of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Id of the VM; a node's id or an endpoint's.
    pub id: EndpointId,
    /// Address of its protocol; for a node, that for other nodes.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Region.
    pub region: Region,
    /// What it runs.
    pub role: VmRole,
    /// Whether it is about to leave.
    pub leaving: bool,
}

/// Answer of the VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListReply {
    /// VMs, live and leaving.
    pub vms: Vec<VmEntry>,
}
