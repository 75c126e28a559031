//! Stored claims of once-only calls.

use parsleylatch_settings::Role;
use parsleylatch_types::RequestId;
use serde_json::{Value, json};
use viz::{IntoResponse, Request, RequestExt, Response, Result, StatusCode};

use super::{authorize, json as json_body};
use crate::claims::ClaimStore;

/// `GET /admin/v1/calls/{id}`.
pub(super) async fn show(request: Request) -> Result<Response> {
    let authorized = authorize(&request, Role::Read)?;
    let id: String = request.param("id")?;
    let id: RequestId = match id.parse() {
        Ok(id) => id,
        Err(error) => return Err((StatusCode::BAD_REQUEST, format!("{error}")).into_error()),
    };
    match ClaimStore::new(authorized.shared()).read_raw(id).await {
        Ok(Some(entry)) => {
            let claim: Value = serde_json::from_str(&entry.value).unwrap_or_default();
            let shown = json!({ "request_id": id, "revision": entry.revision, "claim": claim });
            json_body(&shown)
        }
        Ok(None) => {
            let reason = format!("no claim of request {id}; it was not sent, or it has expired");
            Err((StatusCode::NOT_FOUND, reason).into_error())
        }
        Err(error) => Err((StatusCode::SERVICE_UNAVAILABLE, error.to_string()).into_error()),
    }
}
