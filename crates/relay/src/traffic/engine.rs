//! Auxiliary calls to engines: state probes, prompt queries, and copies of a run's KV
//! cache to another engine.

use std::{rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use parsleylatch_decide::relay::{CopySource, EndpointEntry, EngineReport, MemoryCopy};
use parsleylatch_endpoint::{ConnectionKey, ConnectionSettings};
use parsleylatch_http::ReceivedBody;
use parsleylatch_types::{ExchangeId, Millis, PromptPartId};
use tokio::{sync::oneshot, task::spawn_local, time};

use super::{
    attempt::CONNECT_TIMEOUT_MS,
    response_reader::next_chunk,
    state::{Traffic, endpoint_key},
};
use crate::{
    memory::{Claim, Reservation},
    telemetry::RelayCounter,
};

/// Timeout of a state probe, including the connection: two round trips between regions
/// and the engine's processing time.
pub(super) const PROBE_TIMEOUT_MS: Millis = Millis::new(150);
/// Timeout of a copy; one takes about 10 ms on an idle link, but may queue behind
/// others.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Maximum size of a response to such a call.
const RESPONSE_LIMIT_BYTES: usize = 256 << 10;

/// Result of a state probe: `None` if the engine did not respond in time, and an error if
/// its report is invalid.
pub(crate) type ProbeResult = Option<Result<EngineReport, String>>;

/// Starts a state probe.
pub(crate) fn start_probe(
    traffic: Rc<Traffic>,
    key: ConnectionKey,
) -> oneshot::Receiver<ProbeResult> {
    let (sender, receiver) = oneshot::channel();
    spawn_local(async move {
        // Fails if the exchange no longer waits for the result.
        let _ = sender.send(fetch_report(&traffic, &key).await);
    });
    receiver
}

/// Fetches an engine's state.
pub(crate) async fn fetch_report(traffic: &Traffic, key: &ConnectionKey) -> ProbeResult {
    let codec = &traffic.shared.codec.responses;
    let pending = call(traffic, key, Method::GET, codec.probe_path, Bytes::new());
    let response = time::timeout(PROBE_TIMEOUT_MS.duration(), pending)
        .await
        .ok()
        .flatten();
    let (_, body) = response.filter(|(status, _)| status.is_success())?;
    let read = (codec.read_report)(&body);
    Some(read.inspect_err(|reason| {
        log::warn!(endpoint:% = key.id, reason = reason.as_str(); "engine state can't be parsed");
    }))
}

/// Lists the prompt parts in an engine's KV cache; empty if the engine does not respond.
pub(crate) async fn list_prompt_parts(traffic: &Traffic, key: &ConnectionKey) -> Vec<PromptPartId> {
    let codec = &traffic.shared.codec.responses;
    let response = call(
        traffic,
        key,
        Method::GET,
        codec.prompt_parts_path,
        Bytes::new(),
    )
    .await;
    let listed = response.filter(|(status, _)| status.is_success());
    let parts = listed.map(|(_, body)| (codec.read_prompt_parts)(&body));
    parts.unwrap_or(Ok(Vec::new())).unwrap_or_else(|reason| {
        log::warn!(endpoint:% = key.id, reason = reason.as_str(); "prompt parts can't be parsed");
        Vec::new()
    })
}

/// Requests a copy of a run's KV cache; the result is `None` if it was not made.
pub(crate) fn request_copy(
    traffic: Rc<Traffic>,
    key: ConnectionKey,
    id: ExchangeId,
    target: std::sync::Arc<EndpointEntry>,
) -> oneshot::Receiver<Option<MemoryCopy>> {
    let (sender, receiver) = oneshot::channel();
    spawn_local(async move {
        let codec = traffic.shared.codec.copies;
        let body = Bytes::from((codec.build_request)(&id, target.address));
        let pending = call(&traffic, &key, Method::POST, codec.path, body);
        let response = time::timeout(COPY_TIMEOUT, pending).await.ok().flatten();
        let status = response.as_ref().map_or(0, |(status, _)| status.as_u16());
        let handle = response
            .filter(|(status, _)| *status == StatusCode::OK)
            .and_then(|(_, body)| (codec.read_handle)(&body).ok());
        log::info!(
            id:% = id,
            endpoint:% = key.id,
            target:% = target.key.id,
            status = status,
            is_made = handle.is_some();
            "copy ordered"
        );
        let copy = handle.map(|handle| MemoryCopy {
            holder: target.key.clone(),
            source: CopySource::Ordered {
                source: key.address,
                handle,
            },
        });
        // Fails if the exchange no longer waits for the result.
        let _ = sender.send(copy);
    });
    receiver
}

async fn call(
    traffic: &Traffic,
    key: &ConnectionKey,
    method: Method,
    path: &'static str,
    body: Bytes,
) -> Option<(StatusCode, Bytes)> {
    let has_body = !body.is_empty();
    let mut request = Request::new(Full::new(body));
    *request.method_mut() = method;
    *request.uri_mut() = http::Uri::from_static(path);
    let headers = request.headers_mut();
    if let Ok(host) = HeaderValue::try_from(key.address.to_string()) {
        headers.insert(header::HOST, host);
    }
    if has_body {
        let json = HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
    }
    let rules = ConnectionSettings {
        connect_timeout_ms: CONNECT_TIMEOUT_MS,
        max_idle_ms: Millis::ZERO,
    };
    let opened = traffic
        .connections
        .send(key, rules, None, request)
        .await
        .ok()?;
    let (response, _connection) = opened.into_parts();
    let (parts, body) = response.into_parts();
    let metadata = (traffic.shared.codec.responses.read)(parts.status, &parts.headers);
    traffic.record_notices(&endpoint_key(key), &metadata);
    traffic.record_pace(&endpoint_key(key), &metadata);
    let body = read_body(traffic, key, path, body).await?;
    Some((parts.status, body))
}

/// Reads the body of a response; `None` if it is too large, is lost or finds no memory.
async fn read_body(
    traffic: &Traffic,
    key: &ConnectionKey,
    path: &'static str,
    mut body: ReceivedBody,
) -> Option<Bytes> {
    let mut memory = Reservation::empty(&traffic.shared.body_memory);
    let mut received = BytesMut::new();
    let reason = loop {
        let chunk = match next_chunk(&mut body).await {
            Ok(Some(chunk)) => chunk,
            Ok(None) => return Some(memory.attach(received.freeze())),
            Err(reason) => break reason,
        };
        if received.len() + chunk.len() > RESPONSE_LIMIT_BYTES {
            break "response body too large".to_owned();
        }
        // The buffer grows by doubling.
        if !memory.try_grow_as(Claim::Large, 2 * chunk.len()) {
            let metrics = &traffic.shared.metrics;
            metrics.increment(RelayCounter::ResponsesOutOfMemory);
            break "memory for responses is used up".to_owned();
        }
        received.extend_from_slice(&chunk);
    };
    log::info!(
        endpoint:% = key.id,
        path = path,
        reason = reason.as_str();
        "engine response can't be read"
    );
    None
}
