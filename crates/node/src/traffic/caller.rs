//! HTTP handlers of the listener for callers.

use std::sync::Arc;

use parsleylatch_decide::{
    admission::{self, GenerationParams},
    generation::{GenerationRequest, RecoveredState},
    limits::AdmissionRequest,
    refusal::{Refusal, RefusalKind},
    view::WorkspaceView,
};
use parsleylatch_types::{OperationName, RequestId, ServiceName};
use parsleylatch_wire::caller::GenerationBody;
use viz::{IntoResponse, Request, RequestExt, Response, Result, StatusCode};

use super::{
    Traffic, body,
    generation::{self, Ownership},
    peers::KnownCall,
    problem, resume, service,
};
use crate::{
    shared::InFlightGuard,
    telemetry::{self, Counter},
};

pub(super) fn traffic(request: &Request) -> Result<Arc<Traffic>> {
    request
        .state::<Arc<Traffic>>()
        .ok_or_else(|| StatusCode::INTERNAL_SERVER_ERROR.into_error())
}

/// Converts a result to a response, and counts refusals.
pub(super) fn respond(traffic: &Traffic, result: Result<Response, Refusal>) -> Response {
    result.unwrap_or_else(|refusal| {
        traffic.shared.counters.increment(Counter::Refusals);
        problem::response_of(&refusal)
    })
}

/// `POST /v1/generations`.
pub(crate) async fn start_generation(request: Request) -> Result<Response> {
    let traffic = traffic(&request)?;
    let result = accept_generation(&traffic, request).await;
    Ok(respond(&traffic, result))
}

async fn accept_generation(traffic: &Arc<Traffic>, request: Request) -> Result<Response, Refusal> {
    let traceparent: Option<String> = request.header("traceparent");
    let span = telemetry::root_span("caller.generation", traceparent.as_deref());
    let (workspace, request, in_flight) = admit(traffic, request).await?;
    let slot = traffic
        .admissions
        .admit(admission_request(&workspace))
        .await?;
    traffic
        .shared
        .counters
        .increment(Counter::GenerationsAccepted);
    let duplicate = resume::take_over_duplicate(traffic, &request).await?;
    let (recovered, ownership) =
        duplicate.unwrap_or_else(|| (RecoveredState::default(), Ownership::first()));
    let accepted = generation::Accepted {
        slot,
        workspace,
        request,
        recovered,
        ownership,
        in_flight,
        span,
    };
    Ok(generation::start(Arc::clone(traffic), accepted))
}

async fn admit(
    traffic: &Arc<Traffic>,
    request: Request,
) -> Result<(Arc<WorkspaceView>, GenerationRequest, InFlightGuard), Refusal> {
    let shared = &traffic.shared;
    let workspace = admission::authenticate(&shared.snapshot.load(), body::caller_key(&request))?;
    let request_id = body::request_id(&request)?;
    let bytes = body::read_body(request, shared.settings.limits.body_bytes).await?;
    let generation_body: GenerationBody = body::parse_body(&bytes)?;
    let params = GenerationParams {
        model: generation_body.model,
        prompt: generation_body.prompt.into(),
        max_tokens: generation_body.max_tokens,
        seed: generation_body.seed,
        adapter: generation_body.adapter,
    };
    let request = admission::admit_generation(&workspace, request_id, params)?;
    let in_flight = InFlightGuard::try_acquire(shared).ok_or_else(overloaded)?;
    Ok((workspace, request, in_flight))
}

pub(super) fn admission_request(workspace: &WorkspaceView) -> AdmissionRequest {
    let template = &workspace.template;
    AdmissionRequest {
        workspace: template.workspace.clone(),
        tier: template.tier,
        weight: template.weight,
        model: template.model.clone(),
    }
}

pub(super) fn overloaded() -> Refusal {
    let detail = "this node answers as many requests as it can; try another";
    Refusal::not_run(RefusalKind::Overloaded, detail)
        .retry_after(admission::OTHER_NODE_RETRY_DELAY_MS)
}

/// `POST /v1/services/{service}/{operation}`.
pub(crate) async fn call_service(request: Request) -> Result<Response> {
    let traffic = traffic(&request)?;
    let result = accept_call(&traffic, request).await;
    Ok(respond(&traffic, result))
}

async fn accept_call(traffic: &Arc<Traffic>, request: Request) -> Result<Response, Refusal> {
    let shared = &traffic.shared;
    let traceparent: Option<String> = request.header("traceparent");
    let span = telemetry::root_span("caller.call", traceparent.as_deref());
    let workspace = admission::authenticate(&shared.snapshot.load(), body::caller_key(&request))?;
    let service: ServiceName = path_id(&request, "service")?;
    let operation: OperationName = path_id(&request, "operation")?;
    let request_id = body::request_id(&request)?;
    let authorization: Option<String> = request.header("authorization");
    let bytes = body::read_body(request, shared.settings.limits.body_bytes).await?;
    let _: serde::de::IgnoredAny = body::parse_body(&bytes)?;
    let in_flight = InFlightGuard::try_acquire(shared).ok_or_else(overloaded)?;
    let call = service::Call {
        workspace,
        service,
        operation,
        request_id,
        authorization: authorization.unwrap_or_default(),
        body: bytes,
        span,
        in_flight: Arc::new(in_flight),
    };
    service::handle_call(traffic, call).await
}

/// `GET /v1/calls/{id}`: whether this node may have tried a once-only request.
pub(crate) async fn get_call(request: Request) -> Result<Response> {
    let traffic = traffic(&request)?;
    let result = find_call(&traffic, &request);
    Ok(respond(&traffic, result))
}

fn find_call(traffic: &Traffic, request: &Request) -> Result<Response, Refusal> {
    let shared = &traffic.shared;
    admission::authenticate(&shared.snapshot.load(), body::caller_key(request))?;
    let id: RequestId = path_id(request, "id")?;
    let known = shared.recent_ids().may_contain(id);
    let body = serde_json::to_vec(&KnownCall { known }).unwrap_or_default();
    let response = http::Response::builder().header("content-type", "application/json");
    Ok(response
        .body(http_body_util::Full::from(body).into())
        .unwrap_or_default())
}

pub(super) fn path_id<Id>(request: &Request, name: &str) -> Result<Id, Refusal>
where
    Id: std::str::FromStr,
    Id::Err: std::fmt::Display,
{
    let text: String = request
        .param(name)
        .map_err(|error| Refusal::not_run(RefusalKind::BadRequest, error.to_string()))?;
    text.parse().map_err(|error: Id::Err| {
        Refusal::not_run(RefusalKind::BadRequest, format!("{name}: {error}"))
    })
}
