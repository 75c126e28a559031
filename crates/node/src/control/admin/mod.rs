//! Routes and authorization of the administration API.

mod calls;
mod changes;
mod events;
mod fleet;
mod moves;
mod problem;
mod templates;

use std::sync::Arc;

pub(crate) use events::MAX_EVENT_STREAMS;

use parsleylatch_settings::{KeyDigest, Role};
use parsleylatch_store::StoreClient;
use serde::Serialize;
use viz::{IntoResponse, Request, RequestExt, Response, Result, Router, StatusCode, types::State};

use crate::shared::Shared;

/// State shared by the handlers.
pub(crate) struct AdminState {
    shared: Arc<Shared>,
    store: StoreClient,
}

/// An authorized request.
struct Authorized {
    admin: Arc<AdminState>,
    /// Name of the administration key, for the audit log.
    key_name: String,
}

impl Authorized {
    fn shared(&self) -> &Arc<Shared> {
        &self.admin.shared
    }
}

pub(crate) fn router(shared: Arc<Shared>) -> Router {
    let store = StoreClient::new(shared.settings.store_address);
    let admin = Arc::new(AdminState { shared, store });
    Router::new()
        .get("/healthz", fleet::healthz)
        .get("/readyz", fleet::readyz)
        .get("/admin/v1/nodes", fleet::nodes)
        .get("/admin/v1/endpoints", fleet::endpoints)
        .get("/admin/v1/counters", fleet::counters)
        .get("/admin/v1/revisions", templates::revisions)
        .post("/admin/v1/drain", fleet::drain)
        .get("/admin/v1/templates", templates::list)
        .get("/admin/v1/templates/:workspace", templates::show)
        .put("/admin/v1/templates/:workspace", templates::draft)
        .post("/admin/v1/templates/:workspace/accept", templates::accept)
        .get("/admin/v1/moves", moves::list)
        .get("/admin/v1/moves/:move", moves::show)
        .get("/admin/v1/calls/:id", calls::show)
        .get("/admin/v1/events", events::stream)
        .with(State::new(admin))
}

fn admin_state(request: &Request) -> Result<Arc<AdminState>> {
    request
        .state::<Arc<AdminState>>()
        .ok_or_else(|| StatusCode::INTERNAL_SERVER_ERROR.into_error())
}

/// Checks that the administration key of a request has the role.
fn authorize(request: &Request, role: Role) -> Result<Authorized> {
    let admin = admin_state(request)?;
    let header: Option<String> = request.header("authorization");
    let key = header
        .as_deref()
        .and_then(|header| header.strip_prefix("Bearer "));
    let digest = key.map(KeyDigest::of_key);
    let mut keys = admin.shared.settings.admin_keys.iter();
    let key = keys.find(|key| Some(key.key_sha256) == digest);
    match key {
        None => Err((StatusCode::UNAUTHORIZED, "unknown administration key").into_error()),
        Some(key) if !key.roles.contains(&role) => {
            let reason = format!("key `{}` lacks the role `{role}`", key.name);
            Err((StatusCode::FORBIDDEN, reason).into_error())
        }
        Some(key) => Ok(Authorized {
            key_name: key.name.clone(),
            admin: Arc::clone(&admin),
        }),
    }
}

/// Builds a response with a JSON body; the headers may override the content type.
fn json_response<Message>(
    status: StatusCode,
    headers: &[(&str, &str)],
    message: &Message,
) -> Result<Response>
where
    Message: Serialize,
{
    let body = serde_json::to_vec(message)
        .map_err(|error| (StatusCode::INTERNAL_SERVER_ERROR, error.to_string()).into_error())?;
    let mut response = http::Response::builder().status(status);
    if !headers.iter().any(|(name, _)| *name == "content-type") {
        response = response.header("content-type", "application/json");
    }
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    Ok(response
        .body(http_body_util::Full::from(body).into())
        .unwrap_or_default())
}

/// Builds a 200 response with a JSON body.
fn json<Message>(message: &Message) -> Result<Response>
where
    Message: Serialize,
{
    json_response(StatusCode::OK, &[], message)
}
