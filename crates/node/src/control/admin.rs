//! Routes of the administration address.

use std::{
    collections::BTreeMap,
    sync::{Arc, atomic::Ordering},
};

use parsleylatch_decide::view::{EndpointKind, Snapshot};
use parsleylatch_settings::{KeyDigest, Role};
use serde::Serialize;
use serde_json::{Value, json};
use viz::{IntoResponse, Request, RequestExt, Response, Result, Router, StatusCode, types::State};

use super::ControlInput;
use crate::shared::Shared;

pub(crate) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .get("/healthz", healthz)
        .get("/readyz", readyz)
        .get("/admin/v1/nodes", nodes)
        .get("/admin/v1/endpoints", endpoints)
        .get("/admin/v1/counters", counters)
        .get("/admin/v1/revisions", revisions)
        .post("/admin/v1/drain", drain)
        .with(State::new(shared))
}

fn shared(request: &Request) -> Result<Arc<Shared>> {
    request
        .state::<Arc<Shared>>()
        .ok_or_else(|| StatusCode::INTERNAL_SERVER_ERROR.into_error())
}

/// Finds the node's state if the request's key has a role.
fn authorize(request: &Request, role: Role) -> Result<Arc<Shared>> {
    let shared = shared(request)?;
    let header: Option<String> = request.header("authorization");
    let key = header
        .as_deref()
        .and_then(|header| header.strip_prefix("Bearer "));
    let digest = key.map(KeyDigest::of_key);
    let known = shared
        .settings
        .admin_keys
        .iter()
        .find(|known| Some(known.key_sha256) == digest);
    match known {
        None => Err((StatusCode::UNAUTHORIZED, "unknown administration key").into_error()),
        Some(key) if !key.roles.contains(&role) => {
            let reason = format!("key `{}` lacks the role `{role}`", key.name);
            Err((StatusCode::FORBIDDEN, reason).into_error())
        }
        Some(_) => Ok(shared),
    }
}

pub(crate) fn json_response<Message>(message: &Message) -> Result<Response>
where
    Message: Serialize,
{
    let body = serde_json::to_vec(message)
        .map_err(|error| (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_error())?;
    let response = http::Response::builder().header("content-type", "application/json");
    Ok(response
        .body(http_body_util::Full::from(body).into())
        .unwrap_or_default())
}

async fn healthz(_: Request) -> Result<Response> {
    Ok(StatusCode::OK.into_response())
}

async fn readyz(request: Request) -> Result<Response> {
    let ready = shared(&request)?.ready.load(Ordering::Acquire);
    Ok(if ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
    .into_response())
}

async fn nodes(request: Request) -> Result<Response> {
    let shared = authorize(&request, Role::Read)?;
    let snapshot = shared.snapshot.load();
    let settings = &shared.settings;
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
    json_response(&std::iter::once(this).chain(peers).collect::<Vec<_>>())
}

async fn endpoints(request: Request) -> Result<Response> {
    let shared = authorize(&request, Role::Read)?;
    json_response(&describe_endpoints(&shared.snapshot.load()))
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

async fn counters(request: Request) -> Result<Response> {
    let shared = authorize(&request, Role::Read)?;
    json_response(&shared.counters.snapshot())
}

/// Revision in force of each workspace's template.
async fn revisions(request: Request) -> Result<Response> {
    let shared = authorize(&request, Role::Read)?;
    let snapshot = shared.snapshot.load();
    let views = snapshot.workspaces.values();
    let revisions: BTreeMap<_, _> = views
        .map(|view| (&view.template.workspace, view.revision))
        .collect();
    json_response(&revisions)
}

async fn drain(request: Request) -> Result<Response> {
    let shared = authorize(&request, Role::Accept)?;
    let sent = shared.control.send(ControlInput::StopRequested).await;
    Ok(if sent.is_ok() {
        StatusCode::ACCEPTED
    } else {
        StatusCode::GONE
    }
    .into_response())
}
