//! Handling of a caller's request up to the start of its exchange.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use parsleylatch_decide::relay::{
    Backend, CallerLimits, ExchangeSpec, RankClass, RefusalReason, RelayConfiguration, RelayRoute,
    RelayWorkspace, RepeatPolicy, StreamSize, retry_delay,
};
use parsleylatch_http::ReceivedBody;
use parsleylatch_types::{
    ByteCount, ExchangeId, Micros, Millis, MonoTime, ServiceName, TokenCount,
};
use tokio::{sync::oneshot, time};

use super::{
    body::RelayBody,
    connection_activity::RequestGuard,
    exchange,
    job::Job,
    placement_queue, prompts,
    responses::{self, Denial},
    state::Traffic,
};
use crate::{
    codec::RequestMetadata,
    memory::{Claim, Reservation},
    shared::{LifecyclePhase, Shared, Snapshot},
    telemetry::RelayCounter,
};

/// Limits on callers until a configuration is known.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    head_bytes: ByteCount::new(16 << 10),
    body_bytes: ByteCount::new(1 << 20),
    head_timeout_ms: Millis::new(3_000),
    idle_timeout_ms: Millis::new(15_000),
};
/// Maximum delay of a call until a starting node has its initial state; a third of the
/// timeout of 1.5 s that callers set for a call.
const STARTUP_CALL_HOLD_MS: Millis = Millis::new(500);
/// Maximum delay of a stream until a starting node has its initial state; the remainder
/// of the operators' goal of 4.5 s for the first event is enough for the prefill.
const STARTUP_STREAM_HOLD_MS: Millis = Millis::new(2_000);
/// Maximum time for a body whose route and caller allow longer.
const MAX_BODY_TIME_MS: Millis = Millis::new(30_000);
/// Shortest `Retry-After` of a request that finds the thread late.
const MIN_RETRY_AFTER_MS: Millis = Millis::new(500);
/// First buffer of a body that announces at least this length.
const FIRST_BUFFER_BYTES: usize = 64 << 10;

/// Rejection of a request.
struct Denied {
    id: Option<ExchangeId>,
    denial: Denial,
    detail: &'static str,
}

/// Limits on callers in force.
pub(crate) fn limits(snapshot: &Snapshot) -> CallerLimits {
    let configuration = snapshot.configuration.as_ref();
    let configured = configuration.and_then(|it| it.limits().copied());
    configured.unwrap_or(DEFAULT_LIMITS)
}

/// Relays a request and returns the response for its caller.
pub(crate) async fn relay(
    traffic: Rc<Traffic>,
    request: Request<ReceivedBody>,
    guard: &RequestGuard,
) -> Response<RelayBody> {
    let arrived_at = traffic.turns.arrival(traffic.now(), guard.responded_at());
    let _unanswered = traffic.shared.track_unanswered();
    let mut job = match admit(&traffic, request, guard, arrived_at).await {
        Ok(job) => job,
        Err(Denied {
            denial: denial @ Denial::Overloaded { .. },
            ..
        }) => {
            // Summed in the log by the thread that refuses.
            traffic
                .shared
                .metrics
                .increment(RelayCounter::OverloadRefusals);
            return responses::denied(denial);
        }
        Err(denied) => {
            let id = denied.id.as_ref();
            return deny(&traffic.shared, id, denied.denial, denied.detail);
        }
    };
    job.prompt_holder = prompts::find_holder(&traffic, &job).await;
    let id = job.metadata.id.clone();
    let (reply, replied) = oneshot::channel();
    let shared = Arc::clone(&traffic.shared);
    let guards = (shared.track_request(), shared.track_unanswered());
    tokio::task::spawn_local(async move {
        exchange::run(traffic, job, reply).await;
        drop(guards);
    });
    match replied.await {
        Ok(response) => response,
        // The exchange always replies unless it panics. The request may have run.
        Err(_) => {
            log::error!(id:% = id; "exchange ended without a response");
            shared.metrics.increment(RelayCounter::Refusals);
            responses::refused(RefusalReason::AnswerLost, false, None)
        }
    }
}

/// Rejects a request before an endpoint is selected, and logs the rejection.
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
    responses::denied(denial)
}

async fn admit(
    traffic: &Rc<Traffic>,
    request: Request<ReceivedBody>,
    guard: &RequestGuard,
    arrived_at: MonoTime,
) -> Result<Job, Denied> {
    let shared = &traffic.shared;
    shared.metrics.increment(RelayCounter::Requests);
    let snapshot = traffic.snapshot();
    let (parts, mut body) = request.into_parts();
    let metadata = (shared.codec.requests.read)(&parts.headers).map_err(|reason| {
        log::debug!(reason = reason.as_str(); "malformed request headers");
        denied(None, Denial::BadRequest, "malformed request headers")
    })?;
    guard.identify(&metadata.id);
    let id = Some(&metadata.id);
    let has_begun = metadata.last_event.is_some_and(|it| it.get() > 0);
    let latest = arrived_at + metadata.timeout_ms.unwrap_or(MAX_BODY_TIME_MS);
    let turns = &traffic.turns;
    let is_hopeless = turns.is_hopeless(traffic.now(), latest, has_begun);
    if is_hopeless || !turns.admits(has_begun, rand::random()) {
        let is_body_unread = !body.is_end_stream();
        return Err(overloaded(id, latest, traffic.now(), is_body_unread));
    }
    let host = single_host(&parts.headers)
        .ok_or_else(|| denied(id, Denial::BadRequest, "missing or repeated host"))?;
    let path = parts.uri.path_and_query().cloned();
    let path = path.ok_or_else(|| denied(id, Denial::BadRequest, "missing path"))?;
    let limits = limits(&snapshot);
    let route = snapshot.configuration.as_ref();
    let route = route.and_then(|it| it.route(&host, path.path()));
    let body_timeout = body_timeout(route.map(Arc::as_ref), &metadata);
    let mut body_memory = Reservation::empty(&shared.body_memory);
    let received = tokio::select! {
        biased;
        received = read_body(&mut body, &limits, &mut body_memory) => received,
        () = shared.wait_for_response_deadline() => Err(Denial::Stopping),
        () = time::sleep(body_timeout.duration()) => Err(Denial::SlowBody),
    };
    let body = received.map_err(|denial| {
        if denial == Denial::MemoryUsedUp {
            shared.metrics.increment(RelayCounter::MemoryRefusals);
        }
        denied(id, denial, "body rejected")
    })?;
    if snapshot.configuration.is_none() {
        // A starting node gets its initial state shortly, and a rejection would cost the
        // caller one of its retries.
        let initialized = shared.wait_for_phase(LifecyclePhase::Serving);
        let is_stream = metadata.prompt_tokens > TokenCount::ZERO;
        let limit = match is_stream {
            true => STARTUP_STREAM_HOLD_MS,
            false => STARTUP_CALL_HOLD_MS,
        };
        // A timeout is detected below by the missing configuration.
        let _ = time::timeout(limit.duration(), initialized).await;
    }
    // Routes by the latest snapshot, as reading the body may have taken a while.
    let snapshot = traffic.snapshot();
    let configuration = snapshot.configuration.as_ref();
    let configuration =
        configuration.ok_or_else(|| denied(id, Denial::Uninformed, "no configuration"))?;
    let route = configuration
        .route(&host, path.path())
        .ok_or_else(|| denied(id, denial_if_fresh(shared, Denial::NoRoute), "no route"))?;
    let workspace = find_workspace(shared, configuration, route, &metadata)?;
    let service = choose_service(route);
    traffic.record_request(&service);
    let rules = configuration.service(&service);
    let has_backups = rules.is_some_and(|it| it.has_backups);
    let idle_connection_limit = rules.map_or(1, |it| traffic.idle_connection_limit(it));
    let rank = workspace.as_ref().and_then(|it| it.rank);
    let rank = rank.unwrap_or(route.rank);
    let rank_class = match shared.settings.load().overload.rank_reserve {
        true => configuration.rank_class(&service, rank),
        false => RankClass::Only,
    };
    let timeout_ms = metadata
        .timeout_ms
        .map_or(route.timeout_ms, |it| it.min(route.timeout_ms));
    let deadline = arrived_at + timeout_ms;
    if turns.is_hopeless(traffic.now(), deadline, has_begun) {
        return Err(overloaded(id, deadline, traffic.now(), false));
    }
    if may_outlast_process(traffic, route.repeat, &service, &metadata, deadline) {
        return Err(denied(
            id,
            Denial::Stopping,
            "response may not finish before the process stops",
        ));
    }
    let spec = ExchangeSpec {
        repeat: route.repeat,
        service,
        attempts: route.attempts,
        deadline,
        goal_ms: route.goal_ms,
        gap_goal_ms: route.gap_goal_ms,
        prompt: metadata.prompt_tokens,
    };
    Ok(Job {
        metadata,
        method: parts.method,
        path,
        headers: parts.headers,
        body,
        caller: guard.presence(),
        is_first: guard.responded_at().is_none(),
        _body_memory: body_memory,
        route: Arc::clone(route),
        workspace,
        rank_class,
        has_backups,
        idle_connection_limit,
        spec,
        prompt_holder: None,
        configuration_revision: configuration.revision(),
    })
}

/// Whether a response may outlast a graceful stop: a call by its `deadline`, a stream by
/// its expected duration.
fn may_outlast_process(
    traffic: &Traffic,
    repeat: RepeatPolicy,
    service: &ServiceName,
    metadata: &RequestMetadata,
    deadline: MonoTime,
) -> bool {
    let shared = &traffic.shared;
    match repeat {
        RepeatPolicy::Stream { .. } => {
            let size = StreamSize {
                prompt: metadata.prompt_tokens,
                output: metadata.max_output_tokens,
            };
            shared.phase() >= LifecyclePhase::Draining
                || !placement_queue::accepts(traffic, service, size)
        }
        RepeatPolicy::Idempotent | RepeatPolicy::OnceOnly => deadline > shared.response_deadline(),
    }
}

fn denied(id: Option<&ExchangeId>, denial: Denial, detail: &'static str) -> Denied {
    Denied {
        id: id.cloned(),
        denial,
        detail,
    }
}

/// Refusal by a thread that sheds load, whose caller may come back before `deadline`.
fn overloaded(
    id: Option<&ExchangeId>,
    deadline: MonoTime,
    now: MonoTime,
    is_body_unread: bool,
) -> Denied {
    let remaining = deadline.since(now);
    let delay = retry_delay(remaining, remaining, MIN_RETRY_AFTER_MS, rand::random());
    let retry_after_ms = (remaining > Micros::ZERO).then_some(delay);
    let denial = Denial::Overloaded {
        retry_after_ms,
        is_body_unread,
    };
    denied(id, denial, "overloaded")
}

/// Returns `denial` if the configuration it is based on is fresh, and otherwise
/// [`Denial::Uninformed`].
fn denial_if_fresh(shared: &Shared, denial: Denial) -> Denial {
    if shared.is_configuration_fresh() {
        denial
    } else {
        Denial::Uninformed
    }
}

fn find_workspace(
    shared: &Shared,
    configuration: &RelayConfiguration,
    route: &RelayRoute,
    metadata: &RequestMetadata,
) -> Result<Option<Arc<RelayWorkspace>>, Denied> {
    if !configuration.has_workspaces() {
        return Ok(None);
    }
    let found = metadata
        .key
        .as_deref()
        .and_then(|key| configuration.workspace(key));
    match found {
        Some(workspace) => Ok(Some(Arc::clone(workspace))),
        None if route.is_public => Ok(None),
        None => {
            let denial = denial_if_fresh(shared, Denial::UnknownKey);
            Err(denied(Some(&metadata.id), denial, "unknown key"))
        }
    }
}

/// Picks one of a route's services at random by weight.
fn choose_service(route: &RelayRoute) -> ServiceName {
    let weight = |it: &Backend| u64::from(it.weight.get());
    let total: u64 = route.backends.iter().map(weight).sum();
    let first = &route.backends[0].service;
    if total == 0 || route.backends.len() == 1 {
        return first.clone();
    }
    let mut draw = rand::random_range(0..total);
    let covers_draw = |it: &&Backend| {
        let is_chosen = draw < weight(it);
        draw = draw.saturating_sub(weight(it));
        is_chosen
    };
    let chosen = route.backends.iter().find(covers_draw);
    chosen.map_or_else(|| first.clone(), |it| it.service.clone())
}

/// The request's host without its port; `None` unless there is exactly one.
fn single_host(headers: &HeaderMap) -> Option<String> {
    let mut values = headers.get_all(header::HOST).iter();
    let host = values.next()?.to_str().ok()?;
    if values.next().is_some() {
        return None;
    }
    let name = host.split(':').next().unwrap_or(host);
    Some(name.to_ascii_lowercase())
}

/// Time within which a body has to be complete: that for which its caller waits.
fn body_timeout(route: Option<&RelayRoute>, metadata: &RequestMetadata) -> Millis {
    let route_timeout = route.map_or(MAX_BODY_TIME_MS, |it| it.timeout_ms);
    let caller_timeout = metadata.timeout_ms.unwrap_or(MAX_BODY_TIME_MS);
    route_timeout.min(caller_timeout).min(MAX_BODY_TIME_MS)
}

/// Reads a body into a buffer whose size is taken from the budget.
async fn read_body(
    body: &mut ReceivedBody,
    limits: &CallerLimits,
    memory: &mut Reservation,
) -> Result<Bytes, Denial> {
    let limit = limits.body_bytes.get();
    let expected = body.size_hint().lower();
    if expected > limit {
        return Err(Denial::BodyTooLarge);
    }
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let expected = usize::try_from(expected).unwrap_or(usize::MAX);
    if !memory.has_room(Claim::of_body(expected), expected) {
        return Err(Denial::MemoryUsedUp);
    }
    let frame_timeout: Duration = limits.head_timeout_ms.duration();
    let mut received = Vec::new();
    loop {
        let frame = match time::timeout(frame_timeout, body.frame()).await {
            Err(_) => return Err(Denial::SlowBody),
            Ok(None) => return Ok(Bytes::from(received)),
            Ok(Some(Err(_))) => return Err(Denial::BadRequest),
            Ok(Some(Ok(frame))) => frame,
        };
        // Trailers are not forwarded.
        if let Ok(chunk) = frame.into_data() {
            let length = received.len() + chunk.len();
            if length > limit {
                return Err(Denial::BodyTooLarge);
            }
            if length > received.capacity() {
                let doubled = (2 * received.capacity()).max(expected.min(FIRST_BUFFER_BYTES));
                let capacity = doubled.min(limit).max(length);
                if !memory.try_grow_as(Claim::of_body(capacity), capacity - received.capacity()) {
                    return Err(Denial::MemoryUsedUp);
                }
                received.reserve_exact(capacity - received.len());
            }
            received.extend_from_slice(&chunk);
        }
    }
}
