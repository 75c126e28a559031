//! Bodies of the caller's interface.

use std::net::SocketAddr;

use parsleylatch_types::{
    AdapterName, AttemptNumber, EndpointVersion, ModelId, NodeId, Seed, TokenCount, TokenId,
    TokenIndex,
};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/generations`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GenerationBody {
    /// Model.
    pub model: ModelId,
    /// Prompt.
    pub prompt: String,
    /// Length of the answer.
    pub max_tokens: TokenCount,
    /// Seed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<Seed>,
    /// Adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
}

/// Body of `POST /v1/generations/{request_id}`: the body of the first request,
/// with what the caller received so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResumeBody {
    /// Model.
    pub model: ModelId,
    /// Prompt.
    pub prompt: String,
    /// Length of the answer.
    pub max_tokens: TokenCount,
    /// Seed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<Seed>,
    /// Adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// Tokens that the caller has, from index 0.
    pub tokens: Vec<TokenData>,
    /// Version that answered.
    pub endpoint_version: EndpointVersion,
}

/// Data of a `moved` event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MovedData {
    /// Node at which to resume; `None` if no other node is known.
    pub node: Option<NodeId>,
    /// Its address for callers.
    pub caller_address: Option<SocketAddr>,
    /// Id of the last `token` event; `None` if there was none.
    pub last_event_id: Option<String>,
}

/// Header that names the last `token` event that a caller has.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";

/// Data of a `token` event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenData {
    /// Position in the answer.
    pub index: TokenIndex,
    /// Vocabulary number.
    pub token: TokenId,
    /// Text.
    pub text: String,
}

/// Data of a `done` event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoneData {
    /// Length of the answer.
    pub tokens: TokenCount,
    /// Version that answered.
    pub endpoint_version: EndpointVersion,
    /// Attempts that were made.
    pub attempts: AttemptNumber,
}

/// Problem document (RFC 9457), also the data of an `error` event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Kind of the problem, a URI reference.
    #[serde(rename = "type")]
    pub kind: String,
    /// Short text.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What exactly.
    pub detail: String,
    /// Whether nothing of the request was ever sent to a back end.
    pub not_run: bool,
}
