//! Translation of a platform's messages, as plain structs of functions.
//!
//! A codec has no state, does not block and makes no decisions. The relay works with
//! the types below and never sees the name of a header or of a key in the store.

use std::net::SocketAddr;

use http::{HeaderMap, HeaderName, StatusCode};
use parsleylatch_decide::relay::{
    ConfigurationPlace, CopySource, EndpointEntry, EngineReport, LoadSample, PromptChain,
    RelayConfigurationParts, RolloutOrder, RolloutStatus,
};
use parsleylatch_store::StoreCodec;
use parsleylatch_types::{
    EndpointId, EntrySequence, ExchangeId, Millis, PromptPartId, Rank, ServiceName, StreamEventId,
    TokenCount, WorkspaceId,
};

/// Metadata of a caller's request, apart from its method, path and body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id that the caller assigned to this attempt.
    pub id: ExchangeId,
    /// How long the caller waits for a response.
    pub timeout_ms: Option<Millis>,
    /// API key of the caller's workspace.
    pub key: Option<String>,
    /// Size of the prompt; zero if the request has none.
    pub prompt_tokens: TokenCount,
    /// Maximum number of generated tokens; zero if the request generates none.
    pub max_output_tokens: TokenCount,
    /// Parts of the prompt.
    pub prompt: PromptChain,
    /// Last event of the stream that the caller has received.
    pub last_event: Option<StreamEventId>,
}

/// Metadata that the relay adds to a request when it forwards it to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardMetadata<'a> {
    /// Id that the caller assigned.
    pub id: &'a ExchangeId,
    /// Time until the deadline.
    pub remaining_ms: Millis,
    /// Intended endpoint; any other endpoint refuses the request.
    pub endpoint: &'a EndpointId,
    /// Workspace of the caller.
    pub workspace: Option<&'a WorkspaceId>,
    /// Scheduling rank among the endpoint's requests.
    pub rank: Option<Rank>,
    /// Last event that the caller has received.
    pub last_event: Option<StreamEventId>,
    /// Endpoint to which the run's KV cache is replicated as it grows.
    pub backup: Option<SocketAddr>,
    /// Address of the endpoint and source of its copy, if it holds a copy of the KV
    /// cache of an earlier run of this request.
    pub copy: Option<(SocketAddr, &'a CopySource)>,
}

/// Metadata of an endpoint's response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Id of the request that the endpoint responds to.
    pub id: Option<String>,
    /// Whether the endpoint's digest of the response is present.
    pub has_digest: bool,
    /// Whether the endpoint states that it did not run the request.
    pub is_not_run: bool,
    /// Whether the response comes from another endpoint than the intended one.
    pub is_misdirected: bool,
    /// Load of the endpoint, or why it can't be read.
    pub load: Option<Result<LoadSample, String>>,
    /// Whether the endpoint states that it leaves.
    pub is_leaving: bool,
    /// Time for which an endpoint that rejects the request wants no others, or why it can't
    /// be read.
    pub pause: Option<Result<Millis, String>>,
}

impl ResponseMetadata {
    /// Load of the endpoint, if it is reported and can be read.
    pub(crate) fn usable_load(&self) -> Option<LoadSample> {
        self.load.as_ref().and_then(|it| it.as_ref().ok()).copied()
    }
}

/// Reads the headers of callers' requests and writes those of forwarded requests.
#[derive(Clone, Copy)]
pub struct RequestCodec {
    /// Reads the metadata of a caller's request.
    pub read: fn(&HeaderMap) -> Result<RequestMetadata, String>,
    /// Whether only the system may set a header; it is removed from callers' requests.
    pub is_system_header: fn(&HeaderName) -> bool,
    /// Adds the metadata for the endpoint.
    pub write: fn(&ForwardMetadata<'_>, &mut HeaderMap),
}

/// Reads endpoints' responses.
#[derive(Clone, Copy)]
pub struct ResponseCodec {
    /// Reads the metadata of a response.
    pub read: fn(StatusCode, &HeaderMap) -> ResponseMetadata,
    /// Path at which an engine reports its state without occupying a slot.
    pub probe_path: &'static str,
    /// Reads an engine's state.
    pub read_report: fn(&[u8]) -> Result<EngineReport, String>,
    /// Path at which an engine lists the prompt parts in its KV cache.
    pub prompt_parts_path: &'static str,
    /// Reads the list of prompt parts.
    pub read_prompt_parts: fn(&[u8]) -> Result<Vec<PromptPartId>, String>,
}

/// Requests copies of a run's KV cache from the engine that runs it.
#[derive(Clone, Copy)]
pub struct CopyCodec {
    /// Path of the `POST` request.
    pub path: &'static str,
    /// Builds the request body from the run's request id and the copy's target address.
    pub build_request: fn(id: &ExchangeId, target: SocketAddr) -> Vec<u8>,
    /// Reads the copy's handle from the response.
    pub read_handle: fn(&[u8]) -> Result<Box<str>, String>,
}

/// Reads the documents that the platform keeps in the store.
#[derive(Clone, Copy)]
pub struct DocumentCodec {
    /// Key of the configuration.
    pub configuration_key: &'static str,
    /// Reads the configuration.
    pub read_configuration: fn(&str) -> Result<RelayConfigurationParts, String>,
    /// Text that configurations of this platform contain and those of others don't.
    pub configuration_marker: &'static str,
    /// Path of a place in the text of a configuration, such as `routes[2].timeout_ms`.
    pub configuration_path: fn(ConfigurationPlace) -> String,
    /// Prefix of the keys of the endpoints' entries.
    pub registry_prefix: &'static str,
    /// Reads the entry under a key.
    pub read_entry: fn(key: &str, value: &str) -> Result<EndpointEntry, String>,
    /// Number of the endpoint's writes, if its entry states it.
    pub read_sequence: fn(&str) -> Option<EntrySequence>,
}

/// Reads operators' rollout orders, and reads and writes their status.
#[derive(Clone, Copy)]
pub struct RolloutCodec {
    /// Prefix of the orders' keys, followed by the service.
    pub order_prefix: &'static str,
    /// Reads an order.
    pub read_order: fn(&str) -> Result<RolloutOrder, String>,
    /// Prefix of the statuses' keys, followed by the service.
    pub status_prefix: &'static str,
    /// Reads the status of a service.
    pub read_status: fn(&ServiceName, &str) -> Result<RolloutStatus, String>,
    /// Writes a status.
    pub write_status: fn(&RolloutStatus) -> String,
}

/// All translations of a platform's messages.
#[derive(Clone, Copy)]
pub struct RelayCodec {
    /// Calls to the store.
    pub store: StoreCodec,
    /// Documents in the store.
    pub documents: DocumentCodec,
    /// Rollouts.
    pub rollouts: RolloutCodec,
    /// Requests.
    pub requests: RequestCodec,
    /// Responses.
    pub responses: ResponseCodec,
    /// Copies of a run's KV cache.
    pub copies: CopyCodec,
    /// Path of the load balancer's readiness check.
    pub ready_path: &'static str,
}
