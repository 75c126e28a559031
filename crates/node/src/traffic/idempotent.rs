//! Executes the effects of an idempotent call's state machine.

use parsleylatch_decide::{
    call::{CallAnswer, IdempotentCall, IdempotentEffect, IdempotentInput},
    refusal::Refusal,
};
use parsleylatch_settings::CallKind;
use parsleylatch_types::EndpointId;

use super::{
    Traffic,
    service::{self, Call},
};
use crate::telemetry::Counter;

/// Calls an idempotent operation, with retries.
pub(crate) async fn execute(traffic: &Traffic, call: &Call) -> Result<CallAnswer, Refusal> {
    let clock = &traffic.shared.clock;
    let workspace = &call.workspace.template.workspace;
    traffic.retry_budgets().record_call(workspace);
    let (mut machine, mut effects) = IdempotentCall::start(clock.now());
    loop {
        // Each step yields exactly one effect; an answer or a refusal is the last.
        let tried = match effects.pop() {
            Some(IdempotentEffect::Send { tried }) => tried,
            Some(IdempotentEffect::Answer(answer)) => return Ok(answer),
            Some(IdempotentEffect::Refuse(refusal)) => return Err(refusal),
            None => Vec::new(),
        };
        let deadline = machine.next_deadline();
        effects = tokio::select! {
            input = send(traffic, call, tried) => machine.handle(clock.now(), input),
            () = clock.sleep_until(deadline) => machine.expire(clock.now()),
        };
    }
}

async fn send(traffic: &Traffic, call: &Call, tried: Vec<EndpointId>) -> IdempotentInput {
    if !tried.is_empty() {
        traffic
            .shared
            .counters
            .increment(Counter::ServiceCallsRetried);
    }
    let Some(endpoint) = service::choose_endpoint(traffic, call, &tried) else {
        let detail = format!("no other endpoint of service {}", call.service);
        return IdempotentInput::Failed {
            endpoint: None,
            unsent: true,
            may_retry: false,
            detail,
        };
    };
    match service::send(traffic, call, &endpoint).await {
        Ok(answer) => IdempotentInput::Answered(answer),
        Err(error) => IdempotentInput::Failed {
            endpoint: Some(endpoint.id.clone()),
            unsent: error.is_unsent(),
            may_retry: may_retry(traffic, call),
            detail: error.to_string(),
        },
    }
}

/// Whether the current template and the retry budget allow a retry.
fn may_retry(traffic: &Traffic, call: &Call) -> bool {
    let snapshot = traffic.shared.snapshot.load();
    let workspace = &call.workspace.template.workspace;
    let current = snapshot
        .workspaces
        .values()
        .find(|view| view.template.workspace == *workspace);
    let kind = current.and_then(|view| view.template.call_kind(&call.service, &call.operation));
    kind == Some(CallKind::Idempotent) && traffic.retry_budgets().take_retry(workspace)
}
