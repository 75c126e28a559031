//! Bodies of the engines' and services' interfaces.

use parsleylatch_types::{
    AdapterName, AttemptNumber, EndpointVersion, ModelId, Priority, RequestCount, RequestId, Seed,
    TokenCount, TokenId, TokenIndex,
};
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/completions`: starts or resumes one stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRequest {
    /// Request that the stream answers.
    pub request_id: RequestId,
    /// Attempt that the stream belongs to.
    pub attempt: AttemptNumber,
    /// Version that has to answer.
    pub endpoint_version: EndpointVersion,
    /// Model.
    pub model: ModelId,
    /// Adapter.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterName>,
    /// Prompt.
    pub prompt: String,
    /// Tokens that the answer already has.
    pub prefix: Vec<TokenId>,
    /// Length of the whole answer, prefix included.
    pub max_tokens: TokenCount,
    /// Seed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<Seed>,
    /// Priority; larger goes first.
    pub priority: Priority,
}

/// Data of one event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum StreamEvent {
    /// The engine took the order.
    Opened {
        /// Version that answers.
        endpoint_version: EndpointVersion,
    },
    /// A token.
    Token {
        /// Attempt that it belongs to.
        attempt: AttemptNumber,
        /// Position in the answer.
        index: TokenIndex,
        /// Vocabulary number.
        token: TokenId,
        /// Text.
        text: String,
    },
    /// The answer is whole.
    Finished {
        /// Length of the whole answer.
        tokens: TokenCount,
    },
}

/// Body of `GET /v1/load`: an engine's load, as of some time ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Streams that run.
    pub running: RequestCount,
    /// Streams that wait for a place.
    pub waiting: RequestCount,
    /// Streams that can run at once.
    pub capacity: RequestCount,
    /// Whether the engine wants no new work.
    pub leaving: bool,
}

/// Header that carries the id of a request.
pub const REQUEST_ID_HEADER: &str = "request-id";
