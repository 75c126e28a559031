//! Health checks, nodes, endpoints, counters and planned stop.

use std::sync::atomic::Ordering;

use parsleylatch_decide::view::{EndpointKind, Snapshot};
use parsleylatch_settings::Role;
use serde_json::{Value, json};
use viz::{IntoResponse, Request, Response, Result, StatusCode};

use super::{admin_state, authorize, json as json_body};
use crate::control::ControlInput;

/// `GET /healthz`.
pub(super) async fn healthz(_: Request) -> Result<Response> {
    Ok(StatusCode::OK.into_response())
}

/// `GET /readyz`.
pub(super) async fn readyz(request: Request) -> Result<Response> {
    let ready = admin_state(&request)?.shared.ready.load(Ordering::Acquire);
    Ok(if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
    .into_response())
}

/// `GET /admin/v1/nodes`.
pub(super) async fn nodes(request: Request) -> Result<Response> {
    let authorized = authorize(&request, Role::Read)?;
    let snapshot = authorized.shared().snapshot.load();
    let settings = &authorized.shared().settings;
    let this = json!({
        "id": settings.node_id, "failure_domain": settings.failure_domain,
        "region": settings.region, "live": snapshot.accepting, "this": true,
    });
    let peers = snapshot.peers.iter().map(|peer| {
        json!({
            "id": peer.id, "failure_domain": peer.failure_domain, "region": peer.region,
            "live": peer.live, "peer": peer.peer_address, "caller": peer.caller_address,
        })
    });
    json_body(&std::iter::once(this).chain(peers).collect::<Vec<_>>())
}

/// `GET /admin/v1/endpoints`.
pub(super) async fn endpoints(request: Request) -> Result<Response> {
    let authorized = authorize(&request, Role::Read)?;
    json_body(&describe_endpoints(&authorized.shared().snapshot.load()))
}

fn describe_endpoints(snapshot: &Snapshot) -> Vec<Value> {
    let described = snapshot.endpoints.iter().map(|endpoint| {
        let (serves, version) = match &endpoint.kind {
            EndpointKind::Engine { model, version } => (model.as_str(), Some(version)),
            EndpointKind::Service { service } => (service.as_str(), None),
        };
        json!({
            "id": endpoint.id, "address": endpoint.address, "serves": serves,
            "endpoint_version": version, "failure_domain": endpoint.failure_domain,
            "region": endpoint.region, "condition": endpoint.condition.to_string(),
            "running": endpoint.reported_running, "waiting": endpoint.reported_waiting,
        })
    });
    described.collect()
}

/// `GET /admin/v1/counters`.
pub(super) async fn counters(request: Request) -> Result<Response> {
    let authorized = authorize(&request, Role::Read)?;
    json_body(&authorized.shared().counters.snapshot())
}

/// `POST /admin/v1/drain`.
pub(super) async fn drain(request: Request) -> Result<Response> {
    let authorized = authorize(&request, Role::Accept)?;
    let control = &authorized.shared().control;
    let sent = control.send(ControlInput::StopRequested).await;
    Ok(if sent.is_ok() {
        StatusCode::ACCEPTED
    } else {
        StatusCode::GONE
    }
    .into_response())
}
