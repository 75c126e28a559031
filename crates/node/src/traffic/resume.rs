//! Resumption of generations: from the journal, from a running generation, or from
//! the tokens that the caller has received.

use std::{sync::Arc, time::Duration};

use futures::future::{Either, select};
use parsleylatch_decide::{
    admission::{self, GenerationParams},
    generation::{GenerationRequest, RecoveredState, Token},
    journal::{EventId, JournalKey, TakeOverRequest, TakenOverGeneration},
    refusal::{Refusal, RefusalKind},
    view::WorkspaceView,
};
use parsleylatch_types::{AttemptNumber, Millis, NodeId, RequestId, TokenIndex, WorkspaceId};
use parsleylatch_wire::caller::{LAST_EVENT_ID_HEADER, ResumeBody, TokenData};
use tokio::sync::oneshot;
use viz::{Request, RequestExt, Response, Result};

use super::{
    Traffic,
    admissions::AdmissionSlot,
    body,
    caller::{admission_request, overloaded, path_id, respond, traffic},
    generation::{self, Ownership},
};
use crate::{
    peering::{GrantedGeneration, OutgoingTakeOver, PeeringInput},
    shared::InFlightGuard,
    telemetry::{self, Counter},
};

/// Timeout of the take-over from the nodes named by an event id.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay after which a caller may retry.
const RETRY_DELAY_MS: Millis = Millis::new(200);

/// `GET /v1/generations/{request_id}`.
pub(crate) async fn resume_generation(request: Request) -> Result<Response> {
    let traffic = traffic(&request)?;
    let result = resume(&traffic, &request).await;
    Ok(respond(&traffic, result))
}

/// `POST /v1/generations/{request_id}`: the caller sends the tokens it has received.
pub(crate) async fn rebuild_generation(request: Request) -> Result<Response> {
    let traffic = traffic(&request)?;
    let result = rebuild(&traffic, request).await;
    Ok(respond(&traffic, result))
}

async fn resume(traffic: &Arc<Traffic>, request: &Request) -> Result<Response, Refusal> {
    let shared = &traffic.shared;
    let traceparent: Option<String> = request.header("traceparent");
    let span = telemetry::root_span("caller.resume", traceparent.as_deref());
    let workspace = admission::authenticate(&shared.snapshot.load(), body::caller_key(request))?;
    let request_id: RequestId = path_id(request, "request")?;
    let last_event_id: Option<String> = request.header(LAST_EVENT_ID_HEADER);
    let in_flight = InFlightGuard::try_acquire(shared).ok_or_else(overloaded)?;
    let slot = acquire_slot(traffic, &workspace).await?;
    let workspace_id = &workspace.template.workspace;
    let resumed = match last_event_id.filter(|text| !text.is_empty()) {
        Some(text) => {
            let event_id = text.parse().map_err(bad_request)?;
            resume_from_event(traffic, request_id, workspace_id, event_id).await?
        }
        None => resume_local(traffic, request_id, workspace_id).await?,
    };
    shared.counters.increment(Counter::GenerationsResumed);
    let accepted = generation::Accepted {
        slot,
        workspace,
        request: resumed.request,
        recovered: resumed.recovered,
        ownership: resumed.ownership,
        in_flight,
        span,
    };
    Ok(generation::start(Arc::clone(traffic), accepted))
}

/// Waits for a slot. This precedes the take-over, so that a refusal leaves the
/// previous owner running; the refused request has already run.
async fn acquire_slot(
    traffic: &Traffic,
    workspace: &WorkspaceView,
) -> Result<AdmissionSlot, Refusal> {
    let admitted = traffic.admissions.admit(admission_request(workspace)).await;
    admitted.map_err(|refusal| Refusal {
        not_run: false,
        ..refusal
    })
}

fn bad_request(error: impl std::fmt::Display) -> Refusal {
    Refusal::not_run(RefusalKind::BadRequest, error.to_string())
}

fn not_found(detail: impl Into<String>) -> Refusal {
    Refusal::may_have_run(RefusalKind::NotFound, detail).retry_after(RETRY_DELAY_MS)
}

/// A generation to continue on this node.
pub(crate) struct ResumedGeneration {
    request: GenerationRequest,
    pub(crate) recovered: RecoveredState,
    pub(crate) ownership: Ownership,
}

fn resume_granted(
    key: JournalKey,
    granted: GrantedGeneration,
    released: TokenIndex,
) -> ResumedGeneration {
    let GrantedGeneration { generation, holder } = granted;
    let TakenOverGeneration {
        request,
        epoch,
        tokens,
        attempts_started,
        endpoint_version,
        finished,
    } = generation;
    ResumedGeneration {
        request,
        recovered: RecoveredState {
            tokens,
            released,
            attempts_started,
            endpoint_version,
            held: holder.is_some(),
            finished,
        },
        ownership: Ownership {
            origin: key.origin,
            epoch,
            previous_holder: holder,
        },
    }
}

/// Takes over a generation from the nodes named by the id of the last event.
async fn resume_from_event(
    traffic: &Arc<Traffic>,
    request_id: RequestId,
    workspace: &WorkspaceId,
    event_id: EventId,
) -> Result<ResumedGeneration, Refusal> {
    let key = JournalKey {
        request_id,
        origin: event_id.origin,
    };
    let request = TakeOverRequest {
        key,
        workspace: workspace.clone(),
        received: event_id.index.next(),
    };
    let granted = take_over_from_any(traffic, &request, &event_id).await;
    let granted = granted.ok_or_else(|| {
        not_found("neither the node nor the journal of the last event answers; send the tokens")
    })?;
    let released = request.received;
    if granted.generation.tokens.len() < released.as_usize() {
        return Err(not_found(
            "the journal lacks tokens of the caller; send the tokens",
        ));
    }
    Ok(resume_granted(key, granted, released))
}

/// Requests the generation from the journal peer and the owner concurrently, and
/// uses the first that is found.
async fn take_over_from_any(
    traffic: &Arc<Traffic>,
    request: &TakeOverRequest,
    event_id: &EventId,
) -> Option<GrantedGeneration> {
    let from_owner = Box::pin(take_over_from_owner(traffic, request, &event_id.owner));
    let Some(holder) = &event_id.journal_peer else {
        return tokio::time::timeout(TAKE_OVER_TIMEOUT, from_owner)
            .await
            .ok()?;
    };
    let from_holder = Box::pin(take_over_from_node(traffic, request, holder));
    let first_found = async {
        match select(from_holder, from_owner).await {
            Either::Left((Some(granted), _)) | Either::Right((Some(granted), _)) => Some(granted),
            Either::Left((None, from_owner)) => from_owner.await,
            Either::Right((None, from_holder)) => from_holder.await,
        }
    };
    tokio::time::timeout(TAKE_OVER_TIMEOUT, first_found)
        .await
        .ok()?
}

async fn take_over_from_owner(
    traffic: &Arc<Traffic>,
    request: &TakeOverRequest,
    owner: &NodeId,
) -> Option<GrantedGeneration> {
    let shared = &traffic.shared;
    if *owner != shared.settings.node_id {
        return take_over_from_node(traffic, request, owner).await;
    }
    let running = shared
        .running
        .find_by_key(request.key, &request.workspace)?;
    let generation = running.take_over().await?;
    Some(GrantedGeneration {
        generation,
        holder: None,
    })
}

/// Sends a request through the peer thread; `None` if the node is unavailable or
/// does not have the generation.
async fn take_over_from_node(
    traffic: &Arc<Traffic>,
    request: &TakeOverRequest,
    target: &NodeId,
) -> Option<GrantedGeneration> {
    let (reply, granted) = oneshot::channel();
    let take_over = OutgoingTakeOver {
        target: target.clone(),
        request: request.clone(),
        reply,
    };
    let peering = &traffic.shared.peering;
    peering.send(PeeringInput::TakeOver(take_over)).await.ok()?;
    granted.await.ok()
}

/// Resumes a generation that runs on this node. Without an event id, no other node
/// is known to have it.
async fn resume_local(
    traffic: &Arc<Traffic>,
    request_id: RequestId,
    workspace: &WorkspaceId,
) -> Result<ResumedGeneration, Refusal> {
    let running = traffic.shared.running.find(request_id, workspace);
    let unknown = || not_found("the request does not run on this node; send Last-Event-ID");
    let running = running.ok_or_else(unknown)?;
    let generation = running.take_over().await.ok_or_else(unknown)?;
    let granted = GrantedGeneration {
        generation,
        holder: None,
    };
    Ok(resume_granted(running.key, granted, TokenIndex::ZERO))
}

/// Looks for a running generation with the id of a new request. A duplicate of its
/// request takes it over from the first token; a different request is refused.
pub(crate) async fn take_over_duplicate(
    traffic: &Arc<Traffic>,
    request: &GenerationRequest,
) -> Result<Option<(RecoveredState, Ownership)>, Refusal> {
    let running = &traffic.shared.running;
    let Some(running) = running.find(request.request_id, &request.workspace) else {
        return Ok(None);
    };
    if !running.has_same_parameters(request) {
        let detail = format!("request {} runs with another body", request.request_id);
        return Err(Refusal::not_run(RefusalKind::RequestIdReused, detail));
    }
    let Some(generation) = running.take_over().await else {
        return Ok(None);
    };
    let granted = GrantedGeneration {
        generation,
        holder: None,
    };
    let resumed = resume_granted(running.key, granted, TokenIndex::ZERO);
    Ok(Some((resumed.recovered, resumed.ownership)))
}

async fn rebuild(traffic: &Arc<Traffic>, request: Request) -> Result<Response, Refusal> {
    let shared = &traffic.shared;
    let traceparent: Option<String> = request.header("traceparent");
    let span = telemetry::root_span("caller.rebuild", traceparent.as_deref());
    let workspace = admission::authenticate(&shared.snapshot.load(), body::caller_key(&request))?;
    let request_id: RequestId = path_id(&request, "request")?;
    let bytes = body::read_body(request, shared.settings.limits.body_bytes).await?;
    let resume_body: ResumeBody = body::parse_body(&bytes)?;
    let (request, recovered) = parse_resume_body(&workspace, request_id, resume_body)?;
    let in_flight = InFlightGuard::try_acquire(shared).ok_or_else(overloaded)?;
    let slot = acquire_slot(traffic, &workspace).await?;
    shared.counters.increment(Counter::GenerationsResumed);
    let accepted = generation::Accepted {
        slot,
        workspace,
        request,
        recovered,
        ownership: Ownership::first(),
        in_flight,
        span,
    };
    Ok(generation::start(Arc::clone(traffic), accepted))
}

/// Converts the body sent by a caller to a request and its recovered tokens.
fn parse_resume_body(
    workspace: &WorkspaceView,
    request_id: RequestId,
    resume_body: ResumeBody,
) -> Result<(GenerationRequest, RecoveredState), Refusal> {
    let tokens = tokens_in_order(resume_body.tokens)?;
    if tokens.len() > resume_body.max_tokens.get() as usize {
        return Err(bad_request("there are more tokens than max_tokens"));
    }
    let params = GenerationParams {
        model: resume_body.model,
        prompt: resume_body.prompt.into(),
        max_tokens: resume_body.max_tokens,
        seed: resume_body.seed,
        adapter: resume_body.adapter,
    };
    let request = admission::admit_generation(workspace, request_id, params)?;
    let recovered = RecoveredState {
        released: TokenIndex::after(tokens.len()),
        endpoint_version: (!tokens.is_empty()).then_some(resume_body.endpoint_version),
        tokens,
        attempts_started: AttemptNumber::ZERO,
        held: false,
        finished: false,
    };
    Ok((request, recovered))
}

fn tokens_in_order(tokens: Vec<TokenData>) -> Result<Vec<Token>, Refusal> {
    let mut ordered = Vec::with_capacity(tokens.len());
    for token in tokens {
        let expected = TokenIndex::after(ordered.len());
        if token.index != expected {
            let detail = format!("tokens: index {} where {expected} is due", token.index);
            return Err(bad_request(detail));
        }
        ordered.push(Token {
            id: token.token,
            text: token.text.into(),
        });
    }
    Ok(ordered)
}
