//! The fleet file that `scripts/local-fleet` writes.

use std::{net::SocketAddr, path::Path};

use eyre::{Result, WrapErr};
use parsleylatch_settings::Tier;
use parsleylatch_types::{
    EndpointId, EndpointVersion, FailureDomain, ModelId, NodeId, WorkspaceId,
};
use serde::Deserialize;

/// One node of a fleet.
#[derive(Clone, Debug, Deserialize)]
pub struct FleetNode {
    /// Id.
    pub id: NodeId,
    /// Process id.
    pub pid: u32,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Address for other nodes.
    pub peer: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
}

/// One engine of a fleet.
#[derive(Clone, Debug, Deserialize)]
pub struct FleetEngine {
    /// Id.
    pub id: EndpointId,
    /// Process id.
    pub pid: u32,
    /// Address of the protocol.
    pub address: SocketAddr,
    /// Address for fault orders.
    pub control: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Version it runs.
    pub endpoint_version: EndpointVersion,
}

/// One service of a fleet.
#[derive(Clone, Debug, Deserialize)]
pub struct FleetService {
    /// Id.
    pub id: EndpointId,
    /// Process id.
    pub pid: u32,
    /// Address of the protocol.
    pub address: SocketAddr,
    /// Address for fault orders.
    pub control: SocketAddr,
}

/// A process of the platform.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct FleetProcess {
    /// Process id.
    pub pid: u32,
    /// Address of the protocol.
    pub address: SocketAddr,
    /// Address for fault orders.
    pub control: SocketAddr,
}

/// One workspace of a fleet.
#[derive(Clone, Debug, Deserialize)]
pub struct FleetWorkspace {
    /// Id.
    pub id: WorkspaceId,
    /// Caller key.
    pub key: String,
    /// Class of its requests.
    pub tier: Tier,
    /// Model of its generations.
    pub model: ModelId,
}

/// A running fleet.
#[derive(Clone, Debug, Deserialize)]
pub struct Fleet {
    /// Nodes.
    pub nodes: Vec<FleetNode>,
    /// Engines.
    pub engines: Vec<FleetEngine>,
    /// Services.
    pub services: Vec<FleetService>,
    /// The store.
    pub store: FleetProcess,
    /// The list of VMs.
    pub vm_list: FleetProcess,
    /// Workspaces.
    pub workspaces: Vec<FleetWorkspace>,
    /// Administration key with every role.
    pub admin_key: String,
}

impl Fleet {
    /// Reads a fleet file.
    ///
    /// # Errors
    /// The file and the reason.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("reading {}", path.display()))?;
        serde_json::from_str(&text).wrap_err_with(|| format!("reading {}", path.display()))
    }
}
