//! Message bodies of the engine and service APIs.

use parsleylatch_types::{
    AdapterName, AttemptNumber, EndpointVersion, ModelId, Priority, RequestCount, RequestId, Seed,
    TokenCount, TokenId, TokenIndex,
};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/completions`: starts or resumes one stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRequest {
    /// Request that the stream belongs to.
    pub request_id: RequestId,
    /// Attempt that the stream belongs to.
    pub attempt: AttemptNumber,
    /// Required version of the engine.
    pub endpoint_version: EndpointVersion,
    /// Model.
    pub model: ModelId,
    /// Adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// Prompt.
    pub prompt: String,
    /// Tokens of the answer that were already generated.
    pub prefix: Vec<TokenId>,
    /// Maximum length of the answer, including the prefix.
    pub max_tokens: TokenCount,
    /// Sampling seed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<Seed>,
    /// Priority; higher values are scheduled first.
    pub priority: Priority,
}

/// Data of a stream event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum StreamEvent {
    /// The engine accepted the request.
    Opened {
        /// Version of the engine.
        endpoint_version: EndpointVersion,
    },
    /// Next token.
    Token {
        /// Attempt that the token belongs to.
        attempt: AttemptNumber,
        /// Position in the answer.
        index: TokenIndex,
        /// Token id in the model's vocabulary.
        token: TokenId,
        /// Text.
        text: String,
    },
    /// The answer is complete.
    Finished {
        /// Number of tokens in the answer, including the prefix.
        tokens: TokenCount,
    },
}

/// Body of `GET /v1/load`: load of an engine; the report may lag behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of running streams.
    pub running: RequestCount,
    /// Number of queued streams.
    pub waiting: RequestCount,
    /// Maximum number of concurrent streams.
    pub capacity: RequestCount,
    /// Whether the engine is about to shut down and should get no new streams.
    pub leaving: bool,
}

/// Header with the request id.
pub const REQUEST_ID_HEADER: &str = "request-id";
