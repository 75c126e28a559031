//! A request that is being relayed.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, uri::PathAndQuery};
use parsleylatch_decide::relay::{
    EndpointKey, ExchangeSpec, RankClass, RelayRoute, RelayWorkspace,
};
use parsleylatch_types::Revision;

use super::connection_activity::CallerPresence;
use crate::{codec::RequestMetadata, memory::Reservation};

/// A request to relay, with its route and the exchange's parameters.
pub(crate) struct Job {
    pub(crate) metadata: RequestMetadata,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) caller: CallerPresence,
    /// Whether it is the first request of its connection.
    pub(crate) is_first: bool,
    /// Memory that the body takes.
    pub(crate) _body_memory: Reservation,
    pub(crate) route: Arc<RelayRoute>,
    pub(crate) workspace: Option<Arc<RelayWorkspace>>,
    /// Class of the rank of a stream.
    pub(crate) rank_class: RankClass,
    pub(crate) has_backups: bool,
    /// Idle connections that this thread may keep to one endpoint.
    pub(crate) idle_connection_limit: usize,
    pub(crate) spec: ExchangeSpec,
    /// Endpoint that has the prompt in its KV cache.
    pub(crate) prompt_holder: Option<EndpointKey>,
    /// Revision of the configuration that the request was routed by.
    pub(crate) configuration_revision: Revision,
}
