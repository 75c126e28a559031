//! Protocol and control routes of an engine.

use std::sync::Arc;

use futures::stream::unfold;
use parsleylatch_types::{AttemptNumber, FencingNumber, RequestId, TokenIndex};
use parsleylatch_wire::engine::StreamRequest;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use viz::{
    Body, IntoResponse, Request, RequestExt, RequestLimitsExt, Response, Result, Router,
    StatusCode, types::State,
};

use super::{state::EngineState, stream};
use crate::{
    completion,
    control::{self, EngineFault, FaultSpec},
};

/// Largest body of an order.
const ORDER_LIMIT_BYTES: u64 = 8 << 20;
/// Pieces of a stream that may wait for the reader.
const STREAM_BUFFER: usize = 16;

/// Body of `PUT /v1/deployment`: what the engine has to have loaded.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct DeploymentOrder {
    fencing: FencingNumber,
    wanted: Vec<String>,
}

pub(crate) fn protocol(state: Arc<EngineState>) -> Router {
    Router::new()
        .post("/v1/completions", open_stream)
        .delete("/v1/completions/:request/:attempt", cancel_stream)
        .get("/v1/load", load)
        .get("/v1/cache", cache)
        .put("/v1/deployment", deploy)
        .get("/v1/deployment", deployment)
        .with(State::new(state))
}

pub(crate) fn control(state: Arc<EngineState>) -> Router {
    Router::new()
        .post("/fault", inject_fault)
        .post("/leaving", set_leaving)
        .get("/counters", counters)
        .with(State::new(state))
}

async fn open_stream(mut request: Request) -> Result<Response> {
    let state = control::state::<EngineState>(&request)?;
    let body = request.bytes_with(None, ORDER_LIMIT_BYTES).await?;
    let order: StreamRequest = serde_json::from_slice(&body)
        .map_err(|error| (StatusCode::BAD_REQUEST, error.to_string()).into_error())?;
    if let Err(reason) = check(&state, &order) {
        return Ok((StatusCode::CONFLICT, reason).into_response());
    }
    if state.faults().borrow().fault == EngineFault::Refuse {
        return Ok(StatusCode::INTERNAL_SERVER_ERROR.into_response());
    }
    let (sender, receiver) = mpsc::channel(STREAM_BUFFER);
    tokio::spawn(stream::run(state, order, sender));
    let pieces = unfold(receiver, |mut receiver| async {
        receiver.recv().await.map(|piece| (piece, receiver))
    });
    let response = http::Response::builder().header("content-type", "text/event-stream");
    Ok(response.body(Body::from_stream(pieces)).unwrap_or_default())
}

/// Refuses an order for another model or version, or with a foreign prefix.
fn check(state: &EngineState, order: &StreamRequest) -> Result<(), String> {
    let settings = &state.settings;
    if order.model != settings.model || order.endpoint_version != settings.endpoint_version {
        let (model, version) = (&settings.model, &settings.endpoint_version);
        return Err(format!("this engine runs {model} at {version}"));
    }
    let foreign = order.prefix.iter().enumerate().find(|(index, token)| {
        let index = TokenIndex::after(*index);
        completion::token_at(&order.prompt, &settings.endpoint_version, index) != **token
    });
    match foreign {
        Some((index, _)) => Err(format!("prefix differs at token {index}")),
        None => Ok(()),
    }
}

async fn cancel_stream(request: Request) -> Result<Response> {
    let state = control::state::<EngineState>(&request)?;
    let (request_id, attempt): (RequestId, AttemptNumber) =
        (request.param("request")?, request.param("attempt")?);
    let running = state.cancel(request_id, attempt);
    Ok(if running {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::NOT_FOUND
    }
    .into_response())
}

async fn load(request: Request) -> Result<Response> {
    control::json(&control::state::<EngineState>(&request)?.load())
}

async fn cache(request: Request) -> Result<Response> {
    control::json(&control::state::<EngineState>(&request)?.cached_blocks())
}

async fn deploy(mut request: Request) -> Result<Response> {
    let state = control::state::<EngineState>(&request)?;
    let order: DeploymentOrder = control::read_json(&mut request).await?;
    let accepted = state.deploy(order.fencing, order.wanted);
    Ok(if accepted {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::CONFLICT
    }
    .into_response())
}

async fn deployment(request: Request) -> Result<Response> {
    let state = control::state::<EngineState>(&request)?;
    control::json(&DeploymentOrder {
        fencing: state.fencing_number(),
        wanted: state.deployed(),
    })
}

async fn inject_fault(mut request: Request) -> Result<Response> {
    let state = control::state::<EngineState>(&request)?;
    let order: FaultSpec<EngineFault> = control::read_json(&mut request).await?;
    if order.fault == EngineFault::Die && order.at_index.is_none() && state.settings.is_process {
        std::process::abort();
    }
    state.inject_fault(order);
    Ok(StatusCode::NO_CONTENT.into_response())
}

/// Body of `POST /leaving`.
#[derive(Deserialize)]
struct LeavingOrder {
    leaving: bool,
}

async fn set_leaving(mut request: Request) -> Result<Response> {
    let state = control::state::<EngineState>(&request)?;
    let order: LeavingOrder = control::read_json(&mut request).await?;
    state.set_leaving(order.leaving);
    Ok(StatusCode::NO_CONTENT.into_response())
}

async fn counters(request: Request) -> Result<Response> {
    control::json(&control::state::<EngineState>(&request)?.counters())
}
