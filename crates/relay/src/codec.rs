//! What a platform's messages mean: a plain struct of functions that translate.
//!
//! A codec has no state, waits for nothing and decides nothing. The relay works
//! with the types below and never sees a header's or a key's name.

use std::net::SocketAddr;

use http::{HeaderMap, HeaderName, StatusCode};
use parsleylatch_decide::relay::{
    CopySource, EndpointEntry, EngineReport, LoadSample, RelayConfigurationParts, RolloutOrder,
    RolloutStatus,
};
use parsleylatch_store::StoreCodec;
use parsleylatch_types::{
    EndpointId, ExchangeId, Millis, PromptPartId, Rank, ServiceName, StreamEventId, TokenCount,
    WorkspaceId,
};

/// What a caller says of its request, beside method, path and body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestMetadata {
    /// Id that the caller gave this try.
    pub id: ExchangeId,
    /// Time for which the caller waits.
    pub timeout_ms: Option<Millis>,
    /// Key of its workspace.
    pub key: Option<String>,
    /// Tokens of the prompt; zero if the request has none.
    pub prompt_tokens: TokenCount,
    /// Most tokens of the answer; zero if the request has none.
    pub max_output_tokens: TokenCount,
    /// Last part of the prompt, which belongs to the request or its session alone.
    pub last_prompt_part: Option<PromptPartId>,
    /// Last event of the stream that the caller has.
    pub last_event: Option<StreamEventId>,
}

/// What the relay adds to a request that it sends to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardMetadata<'a> {
    /// Id that the caller gave.
    pub id: &'a ExchangeId,
    /// Time that is left.
    pub remaining_ms: Millis,
    /// Endpoint that is meant; another one refuses.
    pub endpoint: &'a EndpointId,
    /// Workspace of the caller.
    pub workspace: Option<&'a WorkspaceId>,
    /// Rank among the endpoint's requests.
    pub rank: Option<Rank>,
    /// Last event that the caller has.
    pub last_event: Option<StreamEventId>,
    /// Endpoint that gets a copy of the run's memory as it grows.
    pub backup: Option<SocketAddr>,
    /// Address of the endpoint, if it has a copy of this request's earlier run,
    /// and the copy's name.
    pub copy: Option<(SocketAddr, &'a CopySource)>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// Request that it answers, as the endpoint understood it.
    pub id: Option<String>,
    /// Whether it bears the endpoint's digest of the answer.
    pub has_digest: bool,
    /// Whether the endpoint says that it did not run the request.
    pub is_not_run: bool,
    /// Whether another endpoint than the one that was meant answers.
    pub is_misdirected: bool,
    /// Load of the endpoint.
    pub load: Option<LoadSample>,
}

/// Reads callers' requests and writes what endpoints get.
#[derive(Clone, Copy)]
pub struct RequestCodec {
    /// Reads a caller's head.
    pub read: fn(&HeaderMap) -> Result<RequestMetadata, String>,
    /// Whether only the system may set a header; it is taken off a caller's request.
    pub is_system_header: fn(&HeaderName) -> bool,
    /// Adds what the relay says.
    pub write: fn(&ForwardMetadata<'_>, &mut HeaderMap),
}

/// Reads endpoints' answers.
#[derive(Clone, Copy)]
pub struct ResponseCodec {
    /// Reads the head of an answer.
    pub read: fn(StatusCode, &HeaderMap) -> ResponseMetadata,
    /// Path at which an engine tells its state without taking a slot.
    pub probe_path: &'static str,
    /// Reads an engine's state.
    pub read_report: fn(&[u8]) -> Result<EngineReport, String>,
    /// Path at which an engine lists the parts of prompts in its memory.
    pub prompt_parts_path: &'static str,
    /// Reads that list.
    pub read_prompt_parts: fn(&[u8]) -> Result<Vec<PromptPartId>, String>,
}

/// Orders copies of a run's memory from the engine that runs it.
#[derive(Clone, Copy)]
pub struct CopyCodec {
    /// Path of the order, which is posted.
    pub path: &'static str,
    /// Body of the order: the request's id and the address that gets the copy.
    pub build_order: fn(id: &ExchangeId, target: SocketAddr) -> Vec<u8>,
    /// Reads the copy's name from the answer.
    pub read_handle: fn(&[u8]) -> Result<Box<str>, String>,
}

/// Reads the documents that the platform keeps in the store.
#[derive(Clone, Copy)]
pub struct DocumentCodec {
    /// Key of the configuration.
    pub configuration_key: &'static str,
    /// Reads the configuration.
    pub read_configuration: fn(&str) -> Result<RelayConfigurationParts, String>,
    /// Prefix of the endpoints' entries.
    pub registry_prefix: &'static str,
    /// Reads the entry under a key.
    pub read_entry: fn(key: &str, value: &str) -> Result<EndpointEntry, String>,
}

/// Reads operators' roll-out orders, and writes how far they have come.
#[derive(Clone, Copy)]
pub struct RolloutCodec {
    /// Prefix of the orders; the service follows.
    pub order_prefix: &'static str,
    /// Reads an order.
    pub read_order: fn(&str) -> Result<RolloutOrder, String>,
    /// Prefix of the statuses; the service follows.
    pub status_prefix: &'static str,
    /// Reads the status of a service.
    pub read_status: fn(&ServiceName, &str) -> Result<RolloutStatus, String>,
    /// Writes a status.
    pub write_status: fn(&RolloutStatus) -> String,
}

/// Everything that a platform's messages mean.
#[derive(Clone, Copy)]
pub struct RelayCodec {
    /// Calls of the store.
    pub store: StoreCodec,
    /// Documents in the store.
    pub documents: DocumentCodec,
    /// Roll-outs.
    pub rollouts: RolloutCodec,
    /// Requests.
    pub requests: RequestCodec,
    /// Answers.
    pub responses: ResponseCodec,
    /// Copies of a run's memory.
    pub copies: CopyCodec,
    /// Path at which the balancer asks whether the node takes callers.
    pub ready_path: &'static str,
}
