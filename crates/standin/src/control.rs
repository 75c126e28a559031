//! Fault orders that stand-ins take on their control addresses.

use std::sync::Arc;

use parsleylatch_types::{Millis, TokenIndex};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use strum::Display;
use viz::{IntoResponse, Request, RequestExt, RequestLimitsExt, Response, Result, StatusCode};

/// Largest body of a control order.
const MAX_CONTROL_BODY_BYTES: u64 = 1 << 16;

/// Body of `POST /fault`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultSpec<Fault> {
    /// Fault from now on.
    pub fault: Fault,
    /// Token index at which a fault of an engine strikes; at once without one.
    #[serde(default = "no_index", skip_serializing_if = "Option::is_none")]
    pub at_index: Option<TokenIndex>,
    /// Delay of a slow stand-in.
    #[serde(default = "no_delay", skip_serializing_if = "Option::is_none")]
    pub delay_ms: Option<Millis>,
}

impl<Fault> FaultSpec<Fault> {
    /// Fault that strikes at once, without a delay.
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
    /// Works as it should.
    #[default]
    None,
    /// The process ends without a word (embedded: every connection breaks).
    Die,
    /// Streams stand still until the fault is lifted, then go on.
    Pause,
    /// Each token takes `delay_ms` longer.
    Slow,
    /// Slow only while half of the places or more are taken.
    SlowUnderLoad,
    /// Streams carry bytes that are no events.
    Garbage,
    /// Streams break off.
    Cut,
    /// New streams are refused with status 500.
    Refuse,
    /// Tokens come twice.
    Repeat,
    /// A token is left out.
    Skip,
    /// The rest of a stream is left out, and its end says that all was sent.
    Truncate,
}

/// Fault of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum ServiceFault {
    /// Works as it should.
    #[default]
    None,
    /// Breaks the connection before a run.
    FailBefore,
    /// Runs, then breaks the connection.
    FailAfter,
    /// Answers after `delay_ms`.
    Slow,
}

/// Fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StoreFault {
    /// Works as it should.
    #[default]
    None,
    /// Answers nothing; nothing takes effect.
    Outage,
    /// Writes take effect, and their answers are lost.
    LostAnswers,
    /// Answers after `delay_ms`.
    Slow,
    /// Changes so far are forgotten; watches from before have to list anew.
    HistoryDropped,
}

/// State that the router shares with its handlers.
pub(crate) fn state<Shared>(request: &Request) -> Result<Arc<Shared>>
where
    Shared: Send + Sync + 'static,
{
    request
        .state::<Arc<Shared>>()
        .ok_or_else(|| StatusCode::INTERNAL_SERVER_ERROR.into_error())
}

/// Reads the JSON body of a control order.
pub(crate) async fn read_json<Message>(request: &mut Request) -> Result<Message>
where
    Message: DeserializeOwned,
{
    let body = request.bytes_with(None, MAX_CONTROL_BODY_BYTES).await?;
    serde_json::from_slice(&body)
        .map_err(|error| (StatusCode::BAD_REQUEST, error.to_string()).into_error())
}

/// Reads a header as text.
pub(crate) fn header(request: &Request, name: &str) -> Option<String> {
    request.header::<_, String>(name)
}

/// Answer with a JSON body.
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
