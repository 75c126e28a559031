//! Message bodies of the caller API.

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
    /// Maximum length of the answer.
    pub max_tokens: TokenCount,
    /// Sampling seed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<Seed>,
    /// Adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
}

/// Body of `POST /v1/generations/{request_id}`: the original request, with what the
/// caller has received so far.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResumeBody {
    /// Model.
    pub model: ModelId,
    /// Prompt.
    pub prompt: String,
    /// Maximum length of the answer.
    pub max_tokens: TokenCount,
    /// Sampling seed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<Seed>,
    /// Adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// Tokens that the caller has received, from index 0.
    pub tokens: Vec<TokenData>,
    /// Version that generated the answer.
    pub endpoint_version: EndpointVersion,
}

/// Data of a `moved` event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MovedData {
    /// Node to resume at; `None` if no other node is known.
    pub node: Option<NodeId>,
    /// Caller address of that node.
    pub caller_address: Option<SocketAddr>,
    /// Id of the last `token` event; `None` if there was none.
    pub last_event_id: Option<String>,
}

/// Header with the id of the last `token` event that the caller received.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";

/// Data of a `token` event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenData {
    /// Position in the answer.
    pub index: TokenIndex,
    /// Token id in the model's vocabulary.
    pub token: TokenId,
    /// Text.
    pub text: String,
}

/// Data of a `done` event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoneData {
    /// Number of tokens in the answer.
    pub tokens: TokenCount,
    /// Version that generated the answer.
    pub endpoint_version: EndpointVersion,
    /// Number of attempts made.
    pub attempts: AttemptNumber,
}

/// Problem document (RFC 9457); also the data of an `error` event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Problem type as a URI reference.
    #[serde(rename = "type")]
    pub kind: String,
    /// Summary of the problem type.
    pub title: String,
    /// HTTP status code.
    pub status: u16,
    /// Explanation of this occurrence.
    pub detail: String,
    /// Whether no part of the request was sent to a back end.
    pub not_run: bool,
}
