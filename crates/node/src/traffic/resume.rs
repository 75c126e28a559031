//! Callers that come back: to their journal, to a running generation, or with
//! the tokens that they have.

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
    admissions::Place,
    body,
    caller::{ask_of, overloaded, path_id, respond, traffic},
    generation::{self, Ownership},
};
use crate::{
    peering::{Granted, PeeringInput, TakeOverOrder},
    shared::InFlightGuard,
    telemetry::{self, Counter},
};

/// Longest wait for the nodes that an event id names.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time after which a caller may try again.
const RETRY_DELAY_MS: Millis = Millis::new(200);

/// `GET /v1/generations/{request_id}`.
pub(crate) async fn resume_generation(request: Request) -> Result<Response> {
    let traffic = traffic(&request)?;
    let answered = resume(&traffic, &request).await;
    Ok(respond(&traffic, answered))
}

/// `POST /v1/generations/{request_id}`: the caller brings the tokens it has.
pub(crate) async fn rebuild_generation(request: Request) -> Result<Response> {
    let traffic = traffic(&request)?;
    let answered = rebuild(&traffic, request).await;
    Ok(respond(&traffic, answered))
}

async fn resume(traffic: &Arc<Traffic>, request: &Request) -> Result<Response, Refusal> {
    let shared = &traffic.shared;
    let traceparent: Option<String> = request.header("traceparent");
    let span = telemetry::root_span("caller.resume", traceparent.as_deref());
    let workspace = admission::authenticate(&shared.snapshot.load(), body::caller_key(request))?;
    let request_id: RequestId = path_id(request, "request")?;
    let last_event_id: Option<String> = request.header(LAST_EVENT_ID_HEADER);
    let in_flight = InFlightGuard::try_acquire(shared).ok_or_else(overloaded)?;
    let place = take_place(traffic, &workspace).await?;
    let workspace_id = &workspace.template.workspace;
    let resumed = match last_event_id.filter(|text| !text.is_empty()) {
        Some(text) => {
            let event_id = text.parse().map_err(bad_request)?;
            resume_after(traffic, request_id, workspace_id, event_id).await?
        }
        None => resume_here(traffic, request_id, workspace_id).await?,
    };
    shared.counters.increment(Counter::GenerationsResumed);
    let accepted = generation::Accepted {
        place,
        workspace,
        request: resumed.request,
        earlier: resumed.earlier,
        ownership: resumed.ownership,
        in_flight,
        span,
    };
    Ok(generation::answer(Arc::clone(traffic), accepted))
}

/// Waits for a place before the earlier owner is disturbed; a refusal here is of
/// a request that has run.
async fn take_place(traffic: &Traffic, workspace: &WorkspaceView) -> Result<Place, Refusal> {
    let admitted = traffic.admissions.admit(ask_of(workspace)).await;
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

/// A generation that goes on here.
pub(crate) struct Resumed {
    request: GenerationRequest,
    pub(crate) earlier: RecoveredState,
    pub(crate) ownership: Ownership,
}

fn resumed(key: JournalKey, granted: Granted, released: TokenIndex) -> Resumed {
    let Granted { taken, holder } = granted;
    let TakenOverGeneration {
        request,
        epoch,
        tokens,
        attempts_started,
        endpoint_version,
        finished,
    } = taken;
    Resumed {
        request,
        earlier: RecoveredState {
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

/// Takes over from the nodes that the last event's id names.
async fn resume_after(
    traffic: &Arc<Traffic>,
    request_id: RequestId,
    workspace: &WorkspaceId,
    event_id: EventId,
) -> Result<Resumed, Refusal> {
    let key = JournalKey {
        request_id,
        origin: event_id.origin,
    };
    let ask = TakeOverRequest {
        key,
        workspace: workspace.clone(),
        received: event_id.index.next(),
    };
    let granted = ask_nodes(traffic, &ask, &event_id).await;
    let granted = granted.ok_or_else(|| {
        not_found("neither the node nor the journal of the last event answers; send the tokens")
    })?;
    let released = ask.received;
    if granted.taken.tokens.len() < released.as_usize() {
        return Err(not_found(
            "the journal lacks tokens of the caller; send the tokens",
        ));
    }
    Ok(resumed(key, granted, released))
}

/// Asks the journal peer and the owner at once; the first that knows it counts.
async fn ask_nodes(
    traffic: &Arc<Traffic>,
    ask: &TakeOverRequest,
    event_id: &EventId,
) -> Option<Granted> {
    let from_owner = Box::pin(ask_owner(traffic, ask, &event_id.owner));
    let Some(holder) = &event_id.journal_peer else {
        return tokio::time::timeout(TAKE_OVER_TIMEOUT, from_owner)
            .await
            .ok()?;
    };
    let from_holder = Box::pin(ask_holder(traffic, ask, holder));
    let first_known = async {
        match select(from_holder, from_owner).await {
            Either::Left((Some(granted), _)) | Either::Right((Some(granted), _)) => Some(granted),
            Either::Left((None, from_owner)) => from_owner.await,
            Either::Right((None, from_holder)) => from_holder.await,
        }
    };
    tokio::time::timeout(TAKE_OVER_TIMEOUT, first_known)
        .await
        .ok()?
}

async fn ask_owner(
    traffic: &Arc<Traffic>,
    ask: &TakeOverRequest,
    owner: &NodeId,
) -> Option<Granted> {
    let shared = &traffic.shared;
    if *owner != shared.settings.node_id {
        return ask_holder(traffic, ask, owner).await;
    }
    let running = shared.running.find_by_key(ask.key, &ask.workspace)?;
    let taken = running.take_over().await?;
    Some(Granted {
        taken,
        holder: None,
    })
}

/// Asks through the peer thread; `None` if the node is gone or knows nothing.
async fn ask_holder(
    traffic: &Arc<Traffic>,
    ask: &TakeOverRequest,
    target: &NodeId,
) -> Option<Granted> {
    let (reply, granted) = oneshot::channel();
    let order = TakeOverOrder {
        target: target.clone(),
        ask: ask.clone(),
        reply,
    };
    let peering = &traffic.shared.peering;
    peering.send(PeeringInput::TakeOver(order)).await.ok()?;
    granted.await.ok()
}

/// Without an event id, only a generation that runs here can be found.
async fn resume_here(
    traffic: &Arc<Traffic>,
    request_id: RequestId,
    workspace: &WorkspaceId,
) -> Result<Resumed, Refusal> {
    let running = traffic.shared.running.find(request_id, workspace);
    let unknown = || not_found("the request does not run on this node; send Last-Event-ID");
    let running = running.ok_or_else(unknown)?;
    let taken = running.take_over().await.ok_or_else(unknown)?;
    let granted = Granted {
        taken,
        holder: None,
    };
    Ok(resumed(running.key, granted, TokenIndex::ZERO))
}

/// Looks for a running generation under the id of a new request. The same
/// request again takes it over from the first token; another one is refused.
pub(crate) async fn repeat_of_running(
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
    let Some(taken) = running.take_over().await else {
        return Ok(None);
    };
    let granted = Granted {
        taken,
        holder: None,
    };
    let resumed = resumed(running.key, granted, TokenIndex::ZERO);
    Ok(Some((resumed.earlier, resumed.ownership)))
}

async fn rebuild(traffic: &Arc<Traffic>, request: Request) -> Result<Response, Refusal> {
    let shared = &traffic.shared;
    let traceparent: Option<String> = request.header("traceparent");
    let span = telemetry::root_span("caller.rebuild", traceparent.as_deref());
    let workspace = admission::authenticate(&shared.snapshot.load(), body::caller_key(&request))?;
    let request_id: RequestId = path_id(&request, "request")?;
    let bytes = body::read_body(request, shared.settings.limits.body_bytes).await?;
    let ask: ResumeBody = body::parse_body(&bytes)?;
    let (request, earlier) = rebuilt(&workspace, request_id, ask)?;
    let in_flight = InFlightGuard::try_acquire(shared).ok_or_else(overloaded)?;
    let place = take_place(traffic, &workspace).await?;
    shared.counters.increment(Counter::GenerationsResumed);
    let accepted = generation::Accepted {
        place,
        workspace,
        request,
        earlier,
        ownership: Ownership::first(),
        in_flight,
        span,
    };
    Ok(generation::answer(Arc::clone(traffic), accepted))
}

/// Request and earlier tokens as a caller brings them.
fn rebuilt(
    workspace: &WorkspaceView,
    request_id: RequestId,
    ask: ResumeBody,
) -> Result<(GenerationRequest, RecoveredState), Refusal> {
    let tokens = tokens_in_order(ask.tokens)?;
    if tokens.len() > ask.max_tokens.get() as usize {
        return Err(bad_request("there are more tokens than max_tokens"));
    }
    let generation_ask = GenerationParams {
        model: ask.model,
        prompt: ask.prompt.into(),
        max_tokens: ask.max_tokens,
        seed: ask.seed,
        adapter: ask.adapter,
    };
    let request = admission::admit_generation(workspace, request_id, generation_ask)?;
    let earlier = RecoveredState {
        released: TokenIndex::after(tokens.len()),
        endpoint_version: (!tokens.is_empty()).then_some(ask.endpoint_version),
        tokens,
        attempts_started: AttemptNumber::ZERO,
        held: false,
        finished: false,
    };
    Ok((request, earlier))
}

fn tokens_in_order(tokens: Vec<TokenData>) -> Result<Vec<Token>, Refusal> {
    let mut ordered = Vec::with_capacity(tokens.len());
    for token in tokens {
        let due = TokenIndex::after(ordered.len());
        if token.index != due {
            let detail = format!("tokens: index {} where {due} is due", token.index);
            return Err(bad_request(detail));
        }
        ordered.push(Token {
            id: token.token,
            text: token.text.into(),
        });
    }
    Ok(ordered)
}
