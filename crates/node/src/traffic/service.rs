//! Calls to services.

use std::sync::Arc;

use bytes::Bytes;
use fastrace::Span;
use http_body_util::Full;
use parsleylatch_decide::{
    call::{CallAnswer, choose_target},
    refusal::{Refusal, RefusalKind},
    view::{EndpointView, WorkspaceView},
};
use parsleylatch_endpoint::ServiceResponse;
use parsleylatch_http::HttpError;
use parsleylatch_settings::CallKind;
use parsleylatch_types::{EndpointId, Millis, OperationName, RequestId, ServiceName};
use viz::Response;

use super::{Traffic, idempotent, once_only};
use crate::{
    shared::InFlightGuard,
    telemetry::{self, Counter},
};

/// Timeout of a call to an endpoint.
const CALL_TIMEOUT_MS: Millis = Millis::new(5_000);

/// A caller's call to a service.
pub(crate) struct Call {
    pub(crate) workspace: Arc<WorkspaceView>,
    pub(crate) service: ServiceName,
    pub(crate) operation: OperationName,
    pub(crate) request_id: RequestId,
    /// The caller's `Authorization` header, for queries to other nodes.
    pub(crate) authorization: String,
    pub(crate) body: Bytes,
    pub(crate) span: Span,
    /// Held until the last write of the call's claim has completed.
    pub(crate) in_flight: Arc<InFlightGuard>,
}

/// Calls a service and returns its answer to the caller.
pub(crate) async fn handle_call(traffic: &Arc<Traffic>, call: Call) -> Result<Response, Refusal> {
    let template = &call.workspace.template;
    let result = match template.call_kind(&call.service, &call.operation) {
        Some(CallKind::Idempotent) => idempotent::execute(traffic, &call).await,
        Some(CallKind::OnceOnly) => once_only::execute(traffic, call).await,
        None => {
            let detail = format!(
                "workspace {} may not call {}/{}",
                template.workspace, call.service, call.operation
            );
            Err(Refusal::not_run(RefusalKind::NotAllowed, detail))
        }
    };
    result.map(|answer| {
        let response = http::Response::builder()
            .status(answer.status)
            .header("content-type", "application/json");
        let body = Bytes::from_owner(answer.body);
        response.body(Full::from(body).into()).unwrap_or_default()
    })
}

/// Chooses an endpoint that has not been tried.
pub(crate) fn choose_endpoint(
    traffic: &Traffic,
    call: &Call,
    tried: &[EndpointId],
) -> Option<Arc<EndpointView>> {
    let snapshot = traffic.shared.snapshot.load();
    let region = &traffic.shared.settings.region;
    let tie_breaker = call.request_id.stable_hash();
    choose_target(&snapshot, &call.service, region, tried, tie_breaker)
}

/// Sends a call to an endpoint, without retries.
pub(crate) async fn send(
    traffic: &Traffic,
    call: &Call,
    endpoint: &EndpointView,
) -> Result<CallAnswer, HttpError> {
    let counters = &traffic.shared.counters;
    counters.increment(Counter::ServiceCalls);
    let span = telemetry::child_span("service.call", &call.span);
    let traceparent = telemetry::encode_traceparent(&span);
    let result = traffic
        .services
        .call(
            endpoint.address,
            &call.operation,
            call.request_id,
            &traceparent,
            call.body.clone(),
            CALL_TIMEOUT_MS,
        )
        .await;
    if result.is_err() {
        counters.increment(Counter::ServiceCallsFailed);
    }
    result.map(call_answer)
}

fn call_answer(answer: ServiceResponse) -> CallAnswer {
    CallAnswer {
        status: answer.status.as_u16(),
        body: Arc::from(&answer.body[..]),
    }
}
