//! Handlers for templates: the accepted ones, drafts and acceptance.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use parsleylatch_decide::{
    moves::MoveState,
    view::{Snapshot, WorkspaceView},
};
use parsleylatch_settings::{Role, Template};
use parsleylatch_types::{ByteCount, Revision, WorkspaceId};
use serde_json::json;
use tokio::time;
use viz::{Request, RequestExt, Response, Result, StatusCode};

use super::{
    Authorized, authorize, changes, json as json_body, json_response, problem::AdminRefusal,
};
use crate::telemetry::Counter;

/// Size limit of a template's text. The store limits a value to a megabyte, and
/// escaping the text as JSON makes it longer.
const MAX_TEMPLATE_BYTES: ByteCount = ByteCount::new(400 << 10);
/// Time within which an operator has to send a whole template.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// `GET /admin/v1/templates`.
pub(super) async fn list(request: Request) -> Result<Response> {
    let authorized = authorize(&request, Role::Read)?;
    let snapshot = authorized.shared().snapshot.load();
    let templates: Vec<_> = views_by_workspace(&snapshot)
        .values()
        .map(|view| {
            let template = &view.template;
            json!({
                "workspace": template.workspace, "revision": view.revision,
                "tier": template.tier, "model": template.model,
                "endpoint_versions": template.endpoint_versions,
                "move_to": template.version_move.as_ref().map(|requested| &requested.to),
            })
        })
        .collect();
    json_body(&templates)
}

fn views_by_workspace(snapshot: &Snapshot) -> BTreeMap<WorkspaceId, Arc<WorkspaceView>> {
    let views = snapshot.workspaces.values();
    views
        .map(|view| (view.template.workspace.clone(), Arc::clone(view)))
        .collect()
}

/// `GET /admin/v1/revisions`: revision in force of each workspace.
pub(super) async fn revisions(request: Request) -> Result<Response> {
    let authorized = authorize(&request, Role::Read)?;
    let views = views_by_workspace(&authorized.shared().snapshot.load());
    let revisions: BTreeMap<_, _> = views
        .iter()
        .map(|(workspace, view)| (workspace, view.revision))
        .collect();
    json_body(&revisions)
}

/// `GET /admin/v1/templates/{workspace}`.
pub(super) async fn show(request: Request) -> Result<Response> {
    let authorized = authorize(&request, Role::Read)?;
    let shown = workspace_param(&request).and_then(|workspace| {
        let snapshot = authorized.shared().snapshot.load();
        let view = views_by_workspace(&snapshot).remove(&workspace);
        view.ok_or_else(|| AdminRefusal::NotFound(format!("no workspace {workspace}")))
    });
    match shown {
        Ok(view) => {
            let tag = etag(view.revision);
            json_response(StatusCode::OK, &[("etag", tag.as_str())], &view.template)
        }
        Err(refusal) => refusal.response(),
    }
}

/// `PUT /admin/v1/templates/{workspace}`.
pub(super) async fn draft(request: Request) -> Result<Response> {
    let authorized = authorize(&request, Role::Edit)?;
    match write_draft(&authorized, request).await {
        Ok((workspace, revision)) => {
            log::info!(
                "draft {revision} of {workspace} written by key `{}`",
                authorized.key_name
            );
            let tag = etag(revision);
            let body = json!({ "workspace": workspace, "draft_revision": revision });
            json_response(StatusCode::OK, &[("etag", tag.as_str())], &body)
        }
        Err(refusal) => refusal.response(),
    }
}

async fn write_draft(
    authorized: &Authorized,
    request: Request,
) -> Result<(WorkspaceId, Revision), AdminRefusal> {
    let workspace = workspace_param(&request)?;
    let expected_base = if_match(&request)?;
    let text = read_text(request).await?;
    let template = changes::check(&workspace, &text)?;
    refuse_completed_move(&authorized.shared().snapshot.load(), &template, &text)?;
    count_store_call(authorized);
    let revision = changes::draft(&authorized.admin.store, &workspace, text, expected_base).await?;
    Ok((workspace, revision))
}

/// `POST /admin/v1/templates/{workspace}/accept`.
pub(super) async fn accept(request: Request) -> Result<Response> {
    let authorized = authorize(&request, Role::Accept)?;
    match accept_draft(&authorized, &request).await {
        Ok((workspace, draft, revision)) => {
            log::info!(
                "audit: key `{}` accepted draft {draft} of {workspace} as revision {revision}",
                authorized.key_name
            );
            let tag = etag(revision);
            let body = json!({ "workspace": workspace, "revision": revision });
            json_response(StatusCode::OK, &[("etag", tag.as_str())], &body)
        }
        Err(refusal) => refusal.response(),
    }
}

async fn accept_draft(
    authorized: &Authorized,
    request: &Request,
) -> Result<(WorkspaceId, Revision, Revision), AdminRefusal> {
    let workspace = workspace_param(request)?;
    let draft = if_match(request)?.ok_or(AdminRefusal::RevisionMissing)?;
    count_store_call(authorized);
    let revision = changes::accept(&authorized.admin.store, &workspace, draft).await?;
    Ok((workspace, draft, revision))
}

/// Refuses a template that requests a completed move, which would start over from
/// the old versions.
fn refuse_completed_move(
    snapshot: &Snapshot,
    template: &Template,
    text: &str,
) -> Result<(), AdminRefusal> {
    let Some(requested) = &template.version_move else {
        return Ok(());
    };
    let mut moves = snapshot.moves.iter();
    let done = moves.find(|view| {
        view.state == MoveState::Done
            && view.plan.workspace == template.workspace
            && view.plan.to == requested.to
            && view.plan.from.named() == template.endpoint_versions
    });
    let Some(view) = done else {
        return Ok(());
    };
    let (id, version) = (&view.plan.id, &requested.to);
    let reason =
        format!("move {id} is done; name {version} in endpoint_versions and leave `move` out");
    let document = changes::document(&template.workspace, text);
    Err(AdminRefusal::Invalid(
        document.value_error("move.to", reason),
    ))
}

fn count_store_call(authorized: &Authorized) {
    let counters = &authorized.shared().counters;
    counters.increment(Counter::StoreCalls);
}

fn workspace_param(request: &Request) -> Result<WorkspaceId, AdminRefusal> {
    let text: String = request
        .param("workspace")
        .map_err(|error| AdminRefusal::BadRequest(error.to_string()))?;
    text.parse()
        .map_err(|error| AdminRefusal::BadRequest(format!("{error}")))
}

fn etag(revision: Revision) -> String {
    format!("\"{revision}\"")
}

/// Parses the revision of the `If-Match` header.
fn if_match(request: &Request) -> Result<Option<Revision>, AdminRefusal> {
    let Some(header) = request.header::<_, String>("if-match") else {
        return Ok(None);
    };
    let text = header.trim().trim_matches('"');
    match text.parse() {
        Ok(revision) => Ok(Some(revision)),
        Err(_) => {
            let detail = format!("If-Match `{header}` is not an ETag of this API");
            Err(AdminRefusal::BadRequest(detail))
        }
    }
}

async fn read_text(request: Request) -> Result<String, AdminRefusal> {
    let body = Limited::new(request.into_body(), MAX_TEMPLATE_BYTES.get() as usize);
    let collected = time::timeout(BODY_TIMEOUT, body.collect()).await;
    let collected = collected.map_err(|_| {
        let detail = format!("the body was not complete after {BODY_TIMEOUT:?}");
        AdminRefusal::BadRequest(detail)
    })?;
    let bytes: Bytes = match collected {
        Ok(collected) => collected.to_bytes(),
        Err(error) => {
            let detail = format!("a template has at most {MAX_TEMPLATE_BYTES}: {error}");
            return Err(AdminRefusal::TooLarge(detail));
        }
    };
    String::from_utf8(bytes.into())
        .map_err(|error| AdminRefusal::BadRequest(format!("the body is not UTF-8: {error}")))
}
