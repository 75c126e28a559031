//! Calls of plain services.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use parsleylatch_decide::{
    refusal::{Refusal, RefusalKind},
    view::{EndpointCondition, EndpointKind, EndpointView, WorkspaceView},
};
use parsleylatch_settings::CallKind;
use parsleylatch_types::{Millis, OperationName, RequestId, ServiceName};
use viz::Response;

use super::Traffic;
use crate::telemetry::Counter;

/// Longest wait for a service's answer.
const CALL_TIMEOUT_MS: Millis = Millis::new(5_000);

/// A caller's call of a service.
pub(crate) struct Call {
    pub(crate) service: ServiceName,
    pub(crate) operation: OperationName,
    pub(crate) request_id: RequestId,
    pub(crate) body: Bytes,
}

/// Calls a service and passes its answer on.
pub(crate) async fn answer(
    traffic: &Arc<Traffic>,
    workspace: &WorkspaceView,
    call: Call,
) -> Result<Response, Refusal> {
    match workspace.template.call_kind(&call.service, &call.operation) {
        Some(CallKind::Idempotent) => answer_idempotent(traffic, call).await,
        Some(CallKind::OnceOnly) => {
            let detail = "this node can't claim calls that may run once only";
            Err(Refusal::not_run(RefusalKind::StoreUnavailable, detail))
        }
        None => {
            let id = &workspace.template.workspace;
            let detail = format!(
                "workspace {id} may not call {}/{}",
                call.service, call.operation
            );
            Err(Refusal::not_run(RefusalKind::NotAllowed, detail))
        }
    }
}

async fn answer_idempotent(traffic: &Traffic, call: Call) -> Result<Response, Refusal> {
    let endpoint = choose(traffic, &call.service).ok_or_else(|| {
        let detail = format!("no endpoint of service {}", call.service);
        Refusal::not_run(RefusalKind::NoEndpoint, detail)
    })?;
    let counters = &traffic.shared.counters;
    counters.increment(Counter::ServiceCalls);
    let answered = traffic
        .services
        .call(
            endpoint.address,
            &call.operation,
            call.request_id,
            call.body,
            CALL_TIMEOUT_MS,
        )
        .await;
    let answer = answered.map_err(|error| {
        counters.increment(Counter::ServiceCallsFailed);
        let mut refusal = Refusal::may_have_run(RefusalKind::AttemptsExhausted, error.to_string());
        refusal.not_run = error.is_unsent();
        refusal
    })?;
    let response = http::Response::builder()
        .status(answer.status)
        .header("content-type", "application/json");
    Ok(response
        .body(Full::from(answer.body).into())
        .unwrap_or_default())
}

fn choose(traffic: &Traffic, service: &ServiceName) -> Option<Arc<EndpointView>> {
    let snapshot = traffic.shared.snapshot.load();
    let region = &traffic.shared.settings.region;
    let serving = snapshot.endpoints.iter().filter(|endpoint| {
        let kind = EndpointKind::Service {
            service: service.clone(),
        };
        endpoint.kind == kind && endpoint.condition != EndpointCondition::Leaving
    });
    serving
        .min_by_key(|it| {
            (
                it.condition == EndpointCondition::Suspect,
                it.region != *region,
            )
        })
        .cloned()
}
