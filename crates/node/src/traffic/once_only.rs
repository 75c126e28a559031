//! Executes the effects of a once-only call's state machine.
//!
//! The call runs in a separate task, so that neither the call nor the recording of
//! its answer is cancelled if the caller disconnects.

use std::sync::Arc;

use futures::{
    FutureExt,
    future::{self, BoxFuture},
};
use parsleylatch_decide::{
    call::{
        self, CallAnswer, CallDigest, CallEffect, CallInput, CallSpec, CallState, Claim,
        ClaimNonce, ClaimOutcome, OnceOnlyCall, SettlementSpec,
    },
    refusal::{Refusal, RefusalKind},
};
use parsleylatch_runtime::Clock;
use parsleylatch_settings::Tier;
use parsleylatch_types::{EndpointId, MonoTime};

use super::{
    Traffic, peers,
    service::{self, Call},
    settlement,
};
use crate::{claims::ClaimReply, telemetry::Counter};

/// Calls an operation that must run at most once.
pub(crate) async fn execute(traffic: &Arc<Traffic>, call: Call) -> Result<CallAnswer, Refusal> {
    let clock = &traffic.shared.clock;
    let unix_now = Clock::unix_now();
    call::check_age(call.request_id, unix_now)?;
    let was_recorded = traffic
        .shared
        .recent_ids()
        .record(clock.now(), call.request_id);
    let is_free = call.workspace.template.tier == Tier::Free;
    let is_rate_limited = is_free && !traffic.take_free_claim();
    let claim = Claim {
        workspace: call.workspace.template.workspace.clone(),
        node: traffic.shared.settings.node_id.clone(),
        nonce: ClaimNonce::new(rand::random()),
        digest: CallDigest::of_call(&call.service, &call.operation, &call.body),
        claimed_at_unix_ms: unix_now,
        outcome: ClaimOutcome::Pending,
    };
    let spec = CallSpec {
        claim: claim.clone(),
        is_new_request: call::is_new_id(call.request_id, unix_now) && !was_recorded,
        store_is_down: traffic.shared.is_store_down(),
        is_rate_limited,
    };
    let task = Task {
        traffic: Arc::clone(traffic),
        call: Arc::new(call),
        claim,
    };
    let result = tokio::spawn(task.run(spec)).await;
    result.unwrap_or_else(|error| {
        let detail = format!("the call's task ended: {error}");
        Err(Refusal::may_have_run(RefusalKind::OutcomeUnknown, detail))
    })
}

/// Context of a running call.
struct Task {
    traffic: Arc<Traffic>,
    call: Arc<Call>,
    claim: Claim,
}

impl Task {
    async fn run(self, spec: CallSpec) -> Result<CallAnswer, Refusal> {
        let clock = self.traffic.shared.clock;
        let (mut machine, mut effects) = OnceOnlyCall::start(clock.now(), spec);
        let mut operation: BoxFuture<'static, CallInput> = future::pending().boxed();
        loop {
            for effect in effects {
                match effect {
                    CallEffect::Answer(answer) => return Ok(answer),
                    CallEffect::Refuse(refusal) => return Err(self.record_refusal(refusal)),
                    other => operation = self.start(other),
                }
            }
            let state = machine.state();
            effects = tokio::select! {
                input = &mut operation => {
                    operation = future::pending().boxed();
                    self.record_input(state, &input);
                    machine.handle(clock.now(), input)
                }
                () = clock.sleep_until(machine.next_deadline()) => {
                    if matches!(state, CallState::Claiming | CallState::ReadingBack) {
                        self.traffic.shared.record_store_failure();
                    }
                    machine.expire(clock.now())
                }
            };
        }
    }

    /// Starts the operation of an effect; the call waits for one at a time.
    fn start(&self, effect: CallEffect) -> BoxFuture<'static, CallInput> {
        let claims = self.traffic.claims.clone();
        let id = self.call.request_id;
        let own = self.claim.clone();
        match effect {
            CallEffect::WriteClaim { claim, condition } => {
                async move { call_input(claims.write(id, &claim, condition).await) }.boxed()
            }
            CallEffect::ReadClaim => async move { call_input(claims.read(id, &own).await) }.boxed(),
            CallEffect::WatchClaim { after } => {
                async move { call_input(claims.watch(id, after, &own).await) }.boxed()
            }
            CallEffect::Send { tried, send_before } => {
                let (traffic, call) = (Arc::clone(&self.traffic), Arc::clone(&self.call));
                async move { send(&traffic, &call, &tried, send_before).await }.boxed()
            }
            CallEffect::AskPeers => {
                let (traffic, call) = (Arc::clone(&self.traffic), Arc::clone(&self.call));
                async move {
                    if peers::is_unknown_to_peers(&traffic, &call).await {
                        CallInput::UnknownToPeers
                    } else {
                        CallInput::PeersInconclusive
                    }
                }
                .boxed()
            }
            CallEffect::Settle(spec) => self.settle(spec),
            CallEffect::Answer(_) | CallEffect::Refuse(_) => future::pending().boxed(),
        }
    }

    /// Settles the claim in a task that continues if the call ends first.
    fn settle(&self, spec: SettlementSpec) -> BoxFuture<'static, CallInput> {
        if spec.claim.outcome == ClaimOutcome::Released {
            self.count(Counter::ClaimsReleased);
        }
        let claims = self.traffic.claims.clone();
        let clock = self.traffic.shared.clock;
        let in_flight = Arc::clone(&self.call.in_flight);
        let settling = settlement::run(claims, clock, self.call.request_id, spec, in_flight);
        let task = tokio::spawn(settling);
        task.map(|_| CallInput::Settled).boxed()
    }

    fn record_input(&self, state: CallState, input: &CallInput) {
        match input {
            CallInput::StoreFailed if state != CallState::Waiting => {
                self.traffic.shared.record_store_failure();
            }
            CallInput::ClaimLost(_) => {
                self.count(Counter::ClaimsLost);
                self.traffic.shared.record_store_success();
            }
            CallInput::ClaimWritten(_) => {
                self.count(Counter::ClaimsMade);
                self.traffic.shared.record_store_success();
            }
            CallInput::ClaimFound(found) => {
                if matches!(found.claim.outcome, ClaimOutcome::Answered(_)) {
                    self.count(Counter::RecordedAnswers);
                }
                self.traffic.shared.record_store_success();
            }
            _ => {}
        }
    }

    fn record_refusal(&self, refusal: Refusal) -> Refusal {
        if refusal.not_run {
            self.traffic
                .shared
                .recent_ids()
                .remove(self.call.request_id);
        }
        if refusal.kind == RefusalKind::OutcomeUnknown {
            self.count(Counter::OutcomesUnknown);
        }
        refusal
    }

    fn count(&self, counter: Counter) {
        self.traffic.shared.counters.increment(counter);
    }
}

fn call_input(reply: ClaimReply) -> CallInput {
    match reply {
        ClaimReply::Written(revision) => CallInput::ClaimWritten(revision),
        ClaimReply::Found(found) => CallInput::ClaimFound(found),
        ClaimReply::Absent => CallInput::ClaimAbsent,
        ClaimReply::Lost(written) => CallInput::ClaimLost(written),
        ClaimReply::Unclear => CallInput::ClaimUnclear,
        ClaimReply::Failed => CallInput::StoreFailed,
    }
}

/// Sends the claimed call unless `send_before` has passed, which is checked last.
async fn send(
    traffic: &Traffic,
    call: &Call,
    tried: &[EndpointId],
    send_before: MonoTime,
) -> CallInput {
    let endpoint = service::choose_endpoint(traffic, call, tried);
    let endpoint = endpoint.filter(|_| traffic.shared.clock.now() <= send_before);
    let Some(endpoint) = endpoint else {
        return CallInput::Unsent { endpoint: None };
    };
    match service::send(traffic, call, &endpoint).await {
        Ok(answer) => CallInput::Answered(answer),
        Err(error) if error.is_unsent() => CallInput::Unsent {
            endpoint: Some(endpoint.id.clone()),
        },
        Err(error) => {
            log::debug!("outcome of call {} is unknown: {error}", call.request_id);
            CallInput::Lost
        }
    }
}
