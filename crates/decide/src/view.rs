//! The control thread's view of the system, as traffic threads read it.
//!
//! A [`Snapshot`] is immutable; the control thread publishes a new one when
//! something changed.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use parsleylatch_settings::{KeyDigest, Template};
use parsleylatch_types::{
    EndpointId, EndpointVersion, FailureDomain, Micros, ModelId, NodeId, Region, RequestCount,
    Revision, ServiceName, WorkspaceId,
};

use crate::{moves::MoveView, version_choice::VersionPlan};

/// Streams that an engine is assumed to run at once before it has said so.
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
    /// Plain service.
    Service {
        /// Name of the service.
        service: ServiceName,
    },
}

/// Whether an endpoint gets new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum EndpointCondition {
    /// Gets new work.
    Live,
    /// Gets new work only where no live endpoint is left.
    Suspect,
    /// Gets no new work.
    Leaving,
}

/// One endpoint as the control thread knows it.
#[derive(Clone, Debug)]
pub struct EndpointView {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Address of its protocol.
    pub address: SocketAddr,
    /// What it serves.
    pub kind: EndpointKind,
    /// Failure domain of its VM.
    pub failure_domain: FailureDomain,
    /// Region of its VM.
    pub region: Region,
    /// Whether it gets new work.
    pub condition: EndpointCondition,
    /// Streams it said it runs, as of its last load report.
    pub reported_running: RequestCount,
    /// Streams it said wait for a place, as of its last load report.
    pub reported_waiting: RequestCount,
    /// Streams it can run at once; zero until it has said so.
    pub capacity: RequestCount,
    /// Recent time between tokens, as merged from the nodes' observations.
    pub pace_us: Option<Micros>,
}

impl EndpointView {
    /// Streams it can run at once, or what is assumed before it has said so.
    pub fn slots(&self) -> RequestCount {
        match self.capacity {
            RequestCount::ZERO => DEFAULT_SLOTS,
            known => known,
        }
    }

    /// Whether the endpoint runs one of the versions of a model.
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
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: Option<SocketAddr>,
    /// Failure domain of its VM.
    pub failure_domain: FailureDomain,
    /// Region of its VM.
    pub region: Region,
    /// Whether it answers and takes new work.
    pub live: bool,
}

/// Everything that traffic threads need to know.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Workspaces by caller key.
    pub workspaces: BTreeMap<KeyDigest, Arc<WorkspaceView>>,
    /// Endpoints, engines and services alike.
    pub endpoints: Vec<Arc<EndpointView>>,
    /// Other nodes.
    pub peers: Vec<PeerView>,
    /// Versions for new generations, where a move decides on them.
    pub version_plans: BTreeMap<WorkspaceId, VersionPlan>,
    /// Version moves.
    pub moves: Vec<MoveView>,
    /// Whether the node takes new requests.
    pub accepting: bool,
}
