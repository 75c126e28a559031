//! A request on its way through the relay.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, uri::PathAndQuery};
use parsleylatch_decide::relay::{EndpointKey, ExchangeSpec, RelayRoute, RelayWorkspace};
use parsleylatch_types::Revision;

use crate::codec::RequestMetadata;

/// A request that is to be relayed.
pub(crate) struct Job {
    pub(crate) metadata: RequestMetadata,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: Arc<RelayRoute>,
    pub(crate) workspace: Option<Arc<RelayWorkspace>>,
    pub(crate) has_backups: bool,
    /// Unused connections that this thread may keep to one endpoint.
    pub(crate) idle_connection_limit: usize,
    pub(crate) spec: ExchangeSpec,
    /// Endpoint that has the prompt in its memory.
    pub(crate) prompt_holder: Option<EndpointKey>,
    /// Revision of the configuration by which it was routed.
    pub(crate) configuration_revision: Revision,
}
