//! Fleet description, as written by `scripts/local-fleet`.

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
    /// Address for requests.
    pub address: SocketAddr,
    /// Control address for fault injection.
    pub control: SocketAddr,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Version that it runs.
    pub endpoint_version: EndpointVersion,
}

/// One service of a fleet.
#[derive(Clone, Debug, Deserialize)]
pub struct FleetService {
    /// Id.
    pub id: EndpointId,
    /// Process id.
    pub pid: u32,
    /// Address for requests.
    pub address: SocketAddr,
    /// Control address for fault injection.
    pub control: SocketAddr,
}

/// A platform process.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct FleetProcess {
    /// Process id.
    pub pid: u32,
    /// Address for requests.
    pub address: SocketAddr,
    /// Control address for fault injection.
    pub control: SocketAddr,
}

/// One workspace of a fleet.
#[derive(Clone, Debug, Deserialize)]
pub struct FleetWorkspace {
    /// Id.
    pub id: WorkspaceId,
    /// Caller key.
    pub key: String,
    /// Tier of its requests.
    pub tier: Tier,
    /// Model used by its generations.
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
    /// Store process.
    pub store: FleetProcess,
    /// VM list process.
    pub vm_list: FleetProcess,
    /// Workspaces.
    pub workspaces: Vec<FleetWorkspace>,
    /// Administration key with all roles.
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
