//! A caller's request, from its head to the start of its exchange.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, header};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use parsleylatch_decide::relay::{
    Backend, CallerLimits, ExchangeSpec, PREFILL_TOKENS_PER_MS, RelayConfiguration, RelayRoute,
    RelayWorkspace, RepeatPolicy,
};
use parsleylatch_http::HeadWatch;
use parsleylatch_types::{
    ByteCount, ExchangeId, Micros, Millis, MonoTime, ServiceName, TokenCount,
};
use tokio::{sync::oneshot, time};

use super::{
    answer::{self, Denial},
    exchange,
    job::Job,
    output::RelayBody,
    prompts,
    state::Traffic,
};
use crate::{
    codec::CallerHead,
    shared::{Shared, StopPhase},
    telemetry::RelayCounter,
};

/// Limits of callers until a configuration is known.
pub(super) const UNINFORMED_LIMITS: CallerLimits = CallerLimits {
    head_bytes: ByteCount::new(16 << 10),
    body_bytes: ByteCount::new(1 << 20),
    head_timeout_ms: Millis::new(3_000),
    idle_timeout_ms: Millis::new(15_000),
};
/// Longest hold of a call until a node that starts knows configuration and endpoints;
/// a third of the time that callers give a call of 1.5 s.
const UNINFORMED_CALL_HOLD_MS: Millis = Millis::new(500);
/// The same for a stream; what is left of the operators' goal of 4.5 s for a first
/// event does for reading the prompt.
const UNINFORMED_STREAM_HOLD_MS: Millis = Millis::new(2_000);
/// Time that an engine with little to do needs for a token of an answer: a step of
/// 3.4 to 3.6 ms, and some more for those beside it.
const TOKEN_PACE_US: Micros = Micros::new(3_900);

/// Why a request is not relayed.
struct Denied {
    id: Option<ExchangeId>,
    denial: Denial,
    detail: &'static str,
}

/// Answers a request.
pub(crate) async fn relay(
    traffic: Rc<Traffic>,
    request: Request<Incoming>,
    watch: &HeadWatch,
) -> Response<RelayBody> {
    let arrived_at = traffic.now();
    let mut job = match admit(&traffic, request, watch, arrived_at).await {
        Ok(job) => job,
        Err(denied) => {
            let id = denied.id.as_ref();
            return deny(&traffic.shared, id, denied.denial, denied.detail);
        }
    };
    job.prompt_holder = prompts::find_holder(&traffic, &job).await;
    let (reply, replied) = oneshot::channel();
    let shared = Arc::clone(&traffic.shared);
    let in_flight = shared.enter_request();
    tokio::task::spawn_local(async move {
        exchange::run(traffic, job, reply).await;
        drop(in_flight);
    });
    match replied.await {
        Ok(response) => response,
        // The exchange always replies; it ended with a panic.
        Err(_) => deny(&shared, None, Denial::Uninformed, "the exchange ended"),
    }
}

/// Refuses a request that is not placed, and says so in the log.
pub(crate) fn deny(
    shared: &Shared,
    id: Option<&ExchangeId>,
    denial: Denial,
    detail: &str,
) -> Response<RelayBody> {
    let snapshot = shared.snapshot.load();
    let revision = snapshot.configuration.as_ref().map(|it| it.revision());
    shared.metrics.increment(RelayCounter::RequestsDenied);
    log::info!(
        id:% = id.map_or("-", ExchangeId::as_str),
        denial:% = denial,
        detail = detail,
        configuration_revision = revision.unwrap_or_default().get(),
        configuration_age_ms = shared.confirmed_age().millis().get();
        "request denied"
    );
    answer::denied(denial)
}

async fn admit(
    traffic: &Rc<Traffic>,
    request: Request<Incoming>,
    watch: &HeadWatch,
    arrived_at: MonoTime,
) -> Result<Job, Denied> {
    let shared = &traffic.shared;
    shared.metrics.increment(RelayCounter::Requests);
    let snapshot = traffic.snapshot();
    let (parts, body) = request.into_parts();
    let head = (shared.codec.requests.read)(&parts.headers).map_err(|reason| {
        log::debug!(reason = reason.as_str(); "unreadable head");
        denied(None, Denial::BadRequest, "unreadable head")
    })?;
    let id = Some(&head.id);
    let host =
        only_host(&parts.headers).ok_or_else(|| denied(id, Denial::BadRequest, "not one host"))?;
    let path = parts.uri.path_and_query().cloned();
    let path = path.ok_or_else(|| denied(id, Denial::BadRequest, "no path"))?;
    let limits = snapshot
        .configuration
        .as_ref()
        .and_then(|it| it.limits().copied())
        .unwrap_or(UNINFORMED_LIMITS);
    let body = read_body(body, &limits).await;
    watch.expect_head();
    let body = body.map_err(|denial| denied(id, denial, "body"))?;
    if snapshot.configuration.is_none() {
        // A node that starts knows enough within a moment; a refusal would cost the
        // caller its next try.
        let informed = shared.reached(StopPhase::Serving);
        let is_stream = head.prompt > TokenCount::ZERO;
        let limit = match is_stream {
            true => UNINFORMED_STREAM_HOLD_MS,
            false => UNINFORMED_CALL_HOLD_MS,
        };
        // Whether it came in time shows below.
        let _ = time::timeout(limit.duration(), informed).await;
    }
    // The newest one after the body was read decides.
    let snapshot = traffic.snapshot();
    let configuration = snapshot.configuration.as_ref();
    let configuration =
        configuration.ok_or_else(|| denied(id, Denial::Uninformed, "no configuration"))?;
    let route = configuration
        .route(&host, path.path())
        .ok_or_else(|| denied(id, doubtful(shared, Denial::NoRoute), "no route"))?;
    let workspace = find_workspace(shared, configuration, route, &head)?;
    let service = choose_service(route);
    traffic.note_request(&service);
    let rules = configuration.service(&service);
    let has_backups = rules.is_some_and(|it| it.has_backups);
    let connection_share = rules.map_or(1, |it| traffic.connection_share(it));
    let timeout_ms = head
        .patience_ms
        .map_or(route.timeout_ms, |it| it.min(route.timeout_ms));
    if outlasts_process(shared, route.repeat, &head, arrived_at + timeout_ms) {
        return Err(denied(id, Denial::Stopping, "the answer may come too late"));
    }
    let order = ExchangeSpec {
        repeat: route.repeat,
        service,
        attempts: route.attempts,
        deadline: arrived_at + timeout_ms,
        goal_ms: route.goal_ms,
        gap_goal_ms: route.gap_goal_ms,
        prompt: head.prompt,
    };
    Ok(Job {
        head,
        method: parts.method,
        path,
        headers: parts.headers,
        body,
        route: Arc::clone(route),
        workspace,
        has_backups,
        connection_share,
        order,
        prompt_holder: None,
        configuration_revision: configuration.revision(),
    })
}

/// Whether an answer may come after the end of a planned stop: one that is due at
/// `deadline`, or a stream that by its size would take longer.
fn outlasts_process(
    shared: &Shared,
    repeat: RepeatPolicy,
    head: &CallerHead,
    deadline: MonoTime,
) -> bool {
    match repeat {
        RepeatPolicy::Stream { .. } => {
            let expected = shared.now() + stream_length(head);
            shared.phase() >= StopPhase::Finishing || expected > shared.ends_at()
        }
        RepeatPolicy::Idempotent | RepeatPolicy::OnceOnly => deadline > shared.ends_at(),
    }
}

/// Time that an engine with little to do needs for a stream.
fn stream_length(head: &CallerHead) -> Millis {
    let reading = u64::from(head.prompt.get()) / PREFILL_TOKENS_PER_MS;
    let writing = u64::from(head.output.get()) * TOKEN_PACE_US.get() / 1_000;
    Millis::new(reading + writing)
}

fn denied(id: Option<&ExchangeId>, denial: Denial, detail: &'static str) -> Denied {
    Denied {
        id: id.cloned(),
        denial,
        detail,
    }
}

/// A refusal that rests on what the node knows; if that is old, it says so instead.
fn doubtful(shared: &Shared, denial: Denial) -> Denial {
    if shared.is_certain() {
        denial
    } else {
        Denial::Uninformed
    }
}

fn find_workspace(
    shared: &Shared,
    configuration: &RelayConfiguration,
    route: &RelayRoute,
    head: &CallerHead,
) -> Result<Option<Arc<RelayWorkspace>>, Denied> {
    if !configuration.has_workspaces() {
        return Ok(None);
    }
    let found = head
        .key
        .as_deref()
        .and_then(|key| configuration.workspace(key));
    match found {
        Some(workspace) => Ok(Some(Arc::clone(workspace))),
        None if route.is_public => Ok(None),
        None => {
            let denial = doubtful(shared, Denial::UnknownKey);
            Err(denied(Some(&head.id), denial, "unknown key"))
        }
    }
}

/// Chooses among a route's services by weight.
fn choose_service(route: &RelayRoute) -> ServiceName {
    let total: u32 = route.backends.iter().map(|it| it.weight.get()).sum();
    let first = &route.backends[0].service;
    if total == 0 || route.backends.len() == 1 {
        return first.clone();
    }
    let mut drawn = rand::random_range(0..total);
    let takes = |it: &&Backend| {
        let is_drawn = drawn < it.weight.get();
        drawn = drawn.saturating_sub(it.weight.get());
        is_drawn
    };
    let chosen = route.backends.iter().find(takes);
    chosen.map_or_else(|| first.clone(), |it| it.service.clone())
}

/// The one host that the head names, without a port.
fn only_host(headers: &HeaderMap) -> Option<String> {
    let mut values = headers.get_all(header::HOST).iter();
    let host = values.next()?.to_str().ok()?;
    if values.next().is_some() {
        return None;
    }
    let name = host.split(':').next().unwrap_or(host);
    Some(name.to_ascii_lowercase())
}

async fn read_body(mut body: Incoming, limits: &CallerLimits) -> Result<Bytes, Denial> {
    let limit = limits.body_bytes.get();
    if body.size_hint().lower() > limit {
        return Err(Denial::BodyTooLarge);
    }
    let pause: Duration = limits.head_timeout_ms.duration();
    let mut whole = BytesMut::new();
    loop {
        let frame = match time::timeout(pause, body.frame()).await {
            Err(_) => return Err(Denial::SlowBody),
            Ok(None) => return Ok(whole.freeze()),
            Ok(Some(Err(_))) => return Err(Denial::BadRequest),
            Ok(Some(Ok(frame))) => frame,
        };
        // Trailers are not passed on.
        if let Ok(piece) = frame.into_data() {
            if whole.len() as u64 + piece.len() as u64 > limit {
                return Err(Denial::BodyTooLarge);
            }
            whole.extend_from_slice(&piece);
        }
    }
}
