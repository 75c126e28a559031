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

/// Maximum size of a stream request body.
const MAX_STREAM_REQUEST_BYTES: u64 = 8 << 20;
/// Stream chunks that may be queued for the reader.
const STREAM_QUEUE_CHUNKS: usize = 16;

/// Body of `PUT /v1/deployment`: what the engine must have loaded.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct DeploymentSpec {
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
    let body = request.bytes_with(None, MAX_STREAM_REQUEST_BYTES).await?;
    let stream_request: StreamRequest = serde_json::from_slice(&body)
        .map_err(|error| (StatusCode::BAD_REQUEST, error.to_string()).into_error())?;
    if let Err(reason) = validate_request(&state, &stream_request) {
        return Ok((StatusCode::CONFLICT, reason).into_response());
    }
    if state.subscribe_faults().borrow().fault == EngineFault::Refuse {
        return Ok(StatusCode::INTERNAL_SERVER_ERROR.into_response());
    }
    let (sender, receiver) = mpsc::channel(STREAM_QUEUE_CHUNKS);
    tokio::spawn(stream::run(state, stream_request, sender));
    let chunks = unfold(receiver, |mut receiver| async {
        receiver.recv().await.map(|chunk| (chunk, receiver))
    });
    let response = http::Response::builder().header("content-type", "text/event-stream");
    Ok(response.body(Body::from_stream(chunks)).unwrap_or_default())
}

/// Rejects a request for another model or version, or with a prefix that this engine
/// would not have generated.
fn validate_request(state: &EngineState, stream_request: &StreamRequest) -> Result<(), String> {
    let settings = &state.settings;
    if stream_request.model != settings.model
        || stream_request.endpoint_version != settings.endpoint_version
    {
        let (model, version) = (&settings.model, &settings.endpoint_version);
        return Err(format!("this engine runs {model} at {version}"));
    }
    let mismatch = stream_request
        .prefix
        .iter()
        .enumerate()
        .find(|(index, token)| {
            let index = TokenIndex::after(*index);
            completion::token_at(&stream_request.prompt, &settings.endpoint_version, index)
                != **token
        });
    match mismatch {
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
    let spec: DeploymentSpec = control::read_json(&mut request).await?;
    let accepted = state.deploy(spec.fencing, spec.wanted);
    Ok(if accepted {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::CONFLICT
    }
    .into_response())
}

async fn deployment(request: Request) -> Result<Response> {
    let state = control::state::<EngineState>(&request)?;
    control::json(&DeploymentSpec {
        fencing: state.fencing_number(),
        wanted: state.deployed(),
    })
}

async fn inject_fault(mut request: Request) -> Result<Response> {
    let state = control::state::<EngineState>(&request)?;
    let fault_spec: FaultSpec<EngineFault> = control::read_json(&mut request).await?;
    if fault_spec.fault == EngineFault::Die
        && fault_spec.at_index.is_none()
        && state.settings.has_own_process
    {
        std::process::abort();
    }
    state.inject_fault(fault_spec);
    Ok(StatusCode::NO_CONTENT.into_response())
}

/// Body of `POST /leaving`.
#[derive(Deserialize)]
struct LeavingRequest {
    leaving: bool,
}

async fn set_leaving(mut request: Request) -> Result<Response> {
    let state = control::state::<EngineState>(&request)?;
    let body: LeavingRequest = control::read_json(&mut request).await?;
    state.set_leaving(body.leaving);
    Ok(StatusCode::NO_CONTENT.into_response())
}

async fn counters(request: Request) -> Result<Response> {
    control::json(&control::state::<EngineState>(&request)?.counters())
}
