//! Fault injection over control addresses, and helpers shared by the HTTP handlers.

use std::sync::Arc;

use parsleylatch_types::{Millis, TokenIndex};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use strum::Display;
use viz::{IntoResponse, Request, RequestExt, RequestLimitsExt, Response, Result, StatusCode};

/// Maximum size of a control request body.
const MAX_CONTROL_BODY_BYTES: u64 = 1 << 16;

/// Body of `POST /fault`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec<Fault> {
    /// Fault to inject; replaces the current one.
    pub fault: Fault,
    /// Token index at which an engine fault takes effect; immediately if absent.
    #[serde(default = "no_index", skip_serializing_if = "Option::is_none")]
    pub at_index: Option<TokenIndex>,
    /// Added delay of the `slow` faults.
    #[serde(default = "no_delay", skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<Millis>,
}

impl<Fault> FaultSpec<Fault> {
    /// Creates a fault that takes effect immediately and adds no delay.
    pub fn immediate(fault: Fault) -> Self {
        Self {
            fault,
            at_index: None,
            delay_ms: None,
        }
    }
}

fn no_index() -> Option<TokenIndex> {
    None
}

fn no_delay() -> Option<Millis> {
    None
}

/// Fault of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EngineFault {
    /// No fault.
    #[default]
    None,
    /// Aborts the engine process. An embedded engine, or one with `at_index`, aborts
    /// the connections of its streams instead.
    Die,
    /// Stalls streams until the fault is cleared, then continues them.
    Pause,
    /// Delays each token by `delay_ms`.
    Slow,
    /// Delays each token only while at least half of the batch slots are in use.
    SlowUnderLoad,
    /// Sends bytes that are not a valid event.
    Garbage,
    /// Aborts the connections of streams.
    Cut,
    /// Rejects new streams with status 500.
    Refuse,
    /// Sends each token twice.
    Repeat,
    /// Omits a token.
    Skip,
    /// Omits the rest of a stream, but ends it as if all tokens had been sent.
    Truncate,
}

/// Fault of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServiceFault {
    /// No fault.
    #[default]
    None,
    /// Aborts the connection before running the operation.
    FailBefore,
    /// Runs the operation, then aborts the connection.
    FailAfter,
    /// Responds after `delay_ms`.
    Slow,
    /// Runs the operation, then responds with status 600.
    InvalidStatus,
}

/// Fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Executes no calls; leaves them waiting, then fails them with status 503.
    Outage,
    /// Executes writes, but aborts their responses.
    LostAnswers,
    /// Executes calls after `delay_ms`.
    Slow,
    /// Drops the change history; watches from an older revision have to list again.
    HistoryDropped,
}

/// Returns the state that the router shares with its handlers.
pub(crate) fn state<Shared>(request: &Request) -> Result<Arc<Shared>>
where
    Shared: Send + Sync + 'static,
{
    request
        .state::<Arc<Shared>>()
        .ok_or_else(|| StatusCode::INTERNAL_SERVER_ERROR.into_error())
}

/// Reads the JSON body of a control request.
pub(crate) async fn read_json<Message>(request: &mut Request) -> Result<Message>
where
    Message: DeserializeOwned,
{
    let body = request.bytes_with(None, MAX_CONTROL_BODY_BYTES).await?;
    serde_json::from_slice(&body)
        .map_err(|error| (StatusCode::BAD_REQUEST, error.to_string()).into_error())
}

/// Returns a header as text.
pub(crate) fn header(request: &Request, name: &str) -> Option<String> {
    request.header::<_, String>(name)
}

/// Builds a response with a JSON body.
pub(crate) fn json<Message>(message: &Message) -> Result<Response>
where
    Message: Serialize,
{
    let body = serde_json::to_vec(message)
        .map_err(|error| (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_error())?;
    let response = http::Response::builder().header("content-type", "application/json");
    Ok(response
        .body(http_body_util::Full::from(body).into())
        .unwrap_or_default())
}
