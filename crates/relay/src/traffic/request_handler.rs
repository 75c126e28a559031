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
    body::RelayBody,
    exchange,
    job::Job,
    prompt_lookup,
    responses::{self, Denial},
    state::Traffic,
};
use crate::{
    codec::RequestMetadata,
    shared::{LifecyclePhase, Shared},
    telemetry::RelayCounter,
};

/// Limits of callers until a configuration is known.
pub(super) const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    head_bytes: ByteCount::new(16 << 10),
    body_bytes: ByteCount::new(1 << 20),
    head_timeout_ms: Millis::new(3_000),
    idle_timeout_ms: Millis::new(15_000),
};
/// Longest hold of a call until a node that starts knows configuration and endpoints;
/// a third of the time that callers give a call of 1.5 s.
const STARTUP_CALL_HOLD_MS: Millis = Millis::new(500);
/// The same for a stream; what is left of the operators' goal of 4.5 s for a first
/// event does for reading the prompt.
const STARTUP_STREAM_HOLD_MS: Millis = Millis::new(2_000);
/// Time that an engine with little to do needs for a token of an answer: a step of
/// 3.4 to 3.6 ms, and some more for those beside it.
const TOKEN_INTERVAL_US: Micros = Micros::new(3_900);

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
    job.prompt_holder = prompt_lookup::find_holder(&traffic, &job).await;
    let (reply, replied) = oneshot::channel();
    let shared = Arc::clone(&traffic.shared);
    let in_flight = shared.track_request();
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
    responses::denied(denial)
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
    let metadata = (shared.codec.requests.read)(&parts.headers).map_err(|reason| {
        log::debug!(reason = reason.as_str(); "unreadable head");
        denied(None, Denial::BadRequest, "unreadable head")
    })?;
    let id = Some(&metadata.id);
    let host = single_host(&parts.headers)
        .ok_or_else(|| denied(id, Denial::BadRequest, "not one host"))?;
    let path = parts.uri.path_and_query().cloned();
    let path = path.ok_or_else(|| denied(id, Denial::BadRequest, "no path"))?;
    let limits = snapshot
        .configuration
        .as_ref()
        .and_then(|it| it.limits().copied())
        .unwrap_or(DEFAULT_LIMITS);
    let body = read_body(body, &limits).await;
    watch.expect_head();
    let body = body.map_err(|denial| denied(id, denial, "body"))?;
    if snapshot.configuration.is_none() {
        // A node that starts knows enough within a moment; a refusal would cost the
        // caller its next try.
        let initialized = shared.wait_for_phase(LifecyclePhase::Serving);
        let is_stream = metadata.prompt_tokens > TokenCount::ZERO;
        let limit = match is_stream {
            true => STARTUP_STREAM_HOLD_MS,
            false => STARTUP_CALL_HOLD_MS,
        };
        // Whether it came in time shows below.
        let _ = time::timeout(limit.duration(), initialized).await;
    }
    // The newest one after the body was read decides.
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
    let timeout_ms = metadata
        .timeout_ms
        .map_or(route.timeout_ms, |it| it.min(route.timeout_ms));
    if may_outlast_process(shared, route.repeat, &metadata, arrived_at + timeout_ms) {
        return Err(denied(id, Denial::Stopping, "the answer may come too late"));
    }
    let spec = ExchangeSpec {
        repeat: route.repeat,
        service,
        attempts: route.attempts,
        deadline: arrived_at + timeout_ms,
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
        route: Arc::clone(route),
        workspace,
        has_backups,
        idle_connection_limit,
        spec,
        prompt_holder: None,
        configuration_revision: configuration.revision(),
    })
}

/// Whether an answer may come after the end of a planned stop: one that is due at
/// `deadline`, or a stream that by its size would take longer.
fn may_outlast_process(
    shared: &Shared,
    repeat: RepeatPolicy,
    metadata: &RequestMetadata,
    deadline: MonoTime,
) -> bool {
    match repeat {
        RepeatPolicy::Stream { .. } => {
            let expected = shared.now() + estimate_stream_duration(metadata);
            shared.phase() >= LifecyclePhase::Draining || expected > shared.stop_deadline()
        }
        RepeatPolicy::Idempotent | RepeatPolicy::OnceOnly => deadline > shared.stop_deadline(),
    }
}

/// Time that an engine with little to do needs for a stream.
fn estimate_stream_duration(metadata: &RequestMetadata) -> Millis {
    let prefill = u64::from(metadata.prompt_tokens.get()) / PREFILL_TOKENS_PER_MS;
    let decode = u64::from(metadata.max_output_tokens.get()) * TOKEN_INTERVAL_US.get() / 1_000;
    Millis::new(prefill + decode)
}

fn denied(id: Option<&ExchangeId>, denial: Denial, detail: &'static str) -> Denied {
    Denied {
        id: id.cloned(),
        denial,
        detail,
    }
}

/// A refusal that rests on what the node knows; if that is old, it says so instead.
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

/// Chooses among a route's services by weight.
fn choose_service(route: &RelayRoute) -> ServiceName {
    let total: u32 = route.backends.iter().map(|it| it.weight.get()).sum();
    let first = &route.backends[0].service;
    if total == 0 || route.backends.len() == 1 {
        return first.clone();
    }
    let mut draw = rand::random_range(0..total);
    let covers_draw = |it: &&Backend| {
        let is_chosen = draw < it.weight.get();
        draw = draw.saturating_sub(it.weight.get());
        is_chosen
    };
    let chosen = route.backends.iter().find(covers_draw);
    chosen.map_or_else(|| first.clone(), |it| it.service.clone())
}

/// The one host that the head names, without a port.
fn single_host(headers: &HeaderMap) -> Option<String> {
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
    let frame_timeout: Duration = limits.head_timeout_ms.duration();
    let mut received = BytesMut::new();
    loop {
        let frame = match time::timeout(frame_timeout, body.frame()).await {
            Err(_) => return Err(Denial::SlowBody),
            Ok(None) => return Ok(received.freeze()),
            Ok(Some(Err(_))) => return Err(Denial::BadRequest),
            Ok(Some(Ok(frame))) => frame,
        };
        // Trailers are not passed on.
        if let Ok(chunk) = frame.into_data() {
            if received.len() as u64 + chunk.len() as u64 > limit {
                return Err(Denial::BodyTooLarge);
            }
            received.extend_from_slice(&chunk);
        }
    }
}
