//! Message bodies of the platform APIs: key-value store and VM list.

use std::net::SocketAddr;

use parsleylatch_types::{
    EndpointId, EndpointVersion, FailureDomain, Millis, ModelId, Region, Revision, ServiceName,
};
use serde::{Deserialize, Serialize};

/// Entry of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// Key.
    pub key: String,
    /// Value.
    pub value: String,
    /// Store revision of the last write; every write to any key increases it.
    pub revision: Revision,
}

/// Reply to a read of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReply {
    /// Entry, if the key exists.
    pub entry: Option<KeyValue>,
}

/// Reply to a listing or a watch of a prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListReply {
    /// Existing entries.
    pub entries: Vec<KeyValue>,
    /// For a watch, keys deleted since the requested revision.
    pub deleted: Vec<String>,
    /// Store revision of this state.
    pub revision: Revision,
}

/// Reply to a write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteReply {
    /// Whether the condition was met and the write took effect.
    pub written: bool,
    /// Entry after the write, or the one that did not meet the condition.
    pub entry: Option<KeyValue>,
}

/// Body of a lease request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Time after which the lease expires unless it is renewed.
    pub ttl_ms: Millis,
}

/// Reply to a lease request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Id of the lease; increases with every lease.
    pub lease_id: u64,
}

/// Role of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum VmRole {
    /// Node of this system.
    Node {
        /// Address of the caller API.
        caller_address: SocketAddr,
    },
    /// Model engine.
    Engine {
        /// Loaded model.
        model: ModelId,
        /// Version of the endpoint.
        endpoint_version: EndpointVersion,
    },
    /// Service other than a model engine.
    Service {
        /// Service name.
        service: ServiceName,
    },
}

/// Entry of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmEntry {
    /// Id of the VM; also the id of its node or endpoint.
    pub id: EndpointId,
    /// Address of the engine or service; for a node, its peer address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Region.
    pub region: Region,
    /// Role of the VM.
    pub role: VmRole,
    /// Whether the VM will be shut down soon.
    pub leaving: bool,
}

/// Reply of the VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmListReply {
    /// VMs, including leaving ones.
    pub vms: Vec<VmEntry>,
}
