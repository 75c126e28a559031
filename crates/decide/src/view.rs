//! Immutable view of the system that the control thread shares with traffic threads.
//!
//! The control thread publishes a new [`Snapshot`] when something has changed.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use parsleylatch_settings::{KeyDigest, Template};
use parsleylatch_types::{
    EndpointId, EndpointVersion, FailureDomain, Micros, ModelId, NodeId, Region, RequestCount,
    Revision, ServiceName, WorkspaceId,
};

use crate::{moves::MoveView, version_choice::VersionPlan};

/// Concurrent streams that are assumed for an engine before it reports its capacity.
const DEFAULT_SLOTS: RequestCount = RequestCount::new(16);

/// What an endpoint serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointKind {
    /// Model engine.
    Engine {
        /// Model it has loaded.
        model: ModelId,
        /// Version it runs.
        version: EndpointVersion,
    },
    /// Service with request-response operations.
    Service {
        /// Name of the service.
        service: ServiceName,
    },
}

/// Whether an endpoint receives new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum EndpointCondition {
    /// Receives new requests.
    Live,
    /// Receives new requests only if no live endpoint is left.
    Suspect,
    /// Receives no new requests.
    Leaving,
}

/// One endpoint as known to the control thread.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Address that it serves requests on.
    pub address: SocketAddr,
    /// Model or service that it serves.
    pub kind: EndpointKind,
    /// Failure domain of its VM.
    pub failure_domain: FailureDomain,
    /// Region of its VM.
    pub region: Region,
    /// Whether it receives new requests.
    pub condition: EndpointCondition,
    /// Running streams, as of its latest load report.
    pub reported_running: RequestCount,
    /// Queued streams, as of its latest load report.
    pub reported_waiting: RequestCount,
    /// Streams that it can run concurrently; zero until it has reported it.
    pub capacity: RequestCount,
    /// Recent time between tokens, merged from the observations of all nodes.
    pub pace_us: Option<Micros>,
}

impl EndpointView {
    /// Streams that it can run concurrently, or a default until it has reported it.
    pub fn slots(&self) -> RequestCount {
        match self.capacity {
            RequestCount::ZERO => DEFAULT_SLOTS,
            known => known,
        }
    }

    /// Whether the endpoint serves the requested model in one of the versions.
    pub fn serves(&self, requested: &ModelId, versions: &[EndpointVersion]) -> bool {
        match &self.kind {
            EndpointKind::Engine { model, version } => {
                model == requested && versions.contains(version)
            }
            EndpointKind::Service { .. } => false,
        }
    }
}

/// One workspace with the revision of its template.
#[derive(Clone, Debug)]
pub struct WorkspaceView {
    /// Template in force.
    pub template: Template,
    /// Revision of the template.
    pub revision: Revision,
}

/// One other node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// Id of the node.
    pub id: NodeId,
    /// Address that other nodes connect to.
    pub peer_address: SocketAddr,
    /// Address that callers connect to.
    pub caller_address: Option<SocketAddr>,
    /// Failure domain of its VM.
    pub failure_domain: FailureDomain,
    /// Region of its VM.
    pub region: Region,
    /// Whether it responds and accepts new requests.
    pub live: bool,
}

/// State that traffic threads need to serve requests.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Workspaces by digest of the caller key.
    pub workspaces: BTreeMap<KeyDigest, Arc<WorkspaceView>>,
    /// Engines and services.
    pub endpoints: Vec<Arc<EndpointView>>,
    /// Other nodes.
    pub peers: Vec<PeerView>,
    /// Versions for the new generations of workspaces with a version move.
    pub version_plans: BTreeMap<WorkspaceId, VersionPlan>,
    /// All version moves known to this node.
    pub moves: Vec<MoveView>,
    /// Whether the node accepts new requests.
    pub accepting: bool,
}
