//! Drafting and accepting templates, by compare-and-swap in the store.
//!
//! A draft records the accepted revision that it is based on. Accepting replaces
//! exactly that revision, so that only one of two concurrent operators succeeds; the
//! other gets a conflict with both revisions. A write whose reply was lost is
//! resolved by reading the key back.

use parsleylatch_settings::{Document, Template};
use parsleylatch_store::{Condition, Dated, StoreClient, StoreError};
use parsleylatch_types::{Millis, Revision, WorkspaceId};
use parsleylatch_wire::platform::KeyValue;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use super::problem::AdminRefusal;

/// Time limit for resolving the outcome of a write.
const RESOLVE_TIMEOUT_MS: Millis = Millis::new(6_000);
/// Delay before the read that resolves a write whose reply was lost.
const RESOLVE_DELAY_MS: Millis = Millis::new(50);

/// Stored form of a draft.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredDraft {
    /// Accepted revision that the draft replaces; 0 if there is none.
    base_revision: Revision,
    text: String,
}

fn template_key(workspace: &WorkspaceId) -> String {
    format!("templates/{workspace}")
}

fn draft_key(workspace: &WorkspaceId) -> String {
    format!("drafts/{workspace}")
}

fn revision_of(entry: Option<&KeyValue>) -> Revision {
    entry.map_or(Revision::ZERO, |entry| entry.revision)
}

fn write_condition(revision: Revision) -> Condition {
    match revision {
        Revision::ZERO => Condition::Absent,
        revision => Condition::At(revision),
    }
}

/// Makes a document of a template's text, named by its store key in errors.
pub(super) fn document(workspace: &WorkspaceId, text: &str) -> Document {
    Document::new(&template_key(workspace), text)
}

/// Parses a template and checks that it belongs to the workspace.
pub(super) fn check(workspace: &WorkspaceId, text: &str) -> Result<Template, AdminRefusal> {
    let document = document(workspace, text);
    let template = Template::read(&document).map_err(AdminRefusal::Invalid)?;
    if template.workspace == *workspace {
        return Ok(template);
    }
    let reason = format!("the template is of another workspace than {workspace}");
    let error = document.value_error("workspace", reason);
    Err(AdminRefusal::Invalid(error))
}

/// Writes a draft and returns its revision.
pub(super) async fn draft(
    store: &StoreClient,
    workspace: &WorkspaceId,
    text: String,
    expected_base: Option<Revision>,
) -> Result<Revision, AdminRefusal> {
    check(workspace, &text)?;
    let accepted = read(store, &template_key(workspace)).await?;
    let current = revision_of(accepted.as_ref());
    if let Some(given) = expected_base.filter(|given| *given != current) {
        let detail = format!("accepted is revision {current}, not {given}");
        return Err(AdminRefusal::Conflict {
            given,
            current,
            detail,
        });
    }
    let draft = StoredDraft {
        base_revision: current,
        text,
    };
    let value = serde_json::to_string(&draft)
        .map_err(|error| AdminRefusal::BadRequest(error.to_string()))?;
    let key = draft_key(workspace);
    let newest = revision_of(read(store, &key).await?.as_ref());
    write(store, &key, &value, newest).await
}

/// Accepts a draft and returns the new revision of the template.
pub(super) async fn accept(
    store: &StoreClient,
    workspace: &WorkspaceId,
    given: Revision,
) -> Result<Revision, AdminRefusal> {
    let Some(entry) = read(store, &draft_key(workspace)).await? else {
        let detail = format!("workspace {workspace} has no draft");
        return Err(AdminRefusal::NotFound(detail));
    };
    if entry.revision != given {
        let current = entry.revision;
        let detail = format!("the newest draft is revision {current}, not {given}");
        return Err(AdminRefusal::Conflict {
            given,
            current,
            detail,
        });
    }
    let draft: StoredDraft = serde_json::from_str(&entry.value)
        .map_err(|error| AdminRefusal::BadRequest(format!("unreadable draft: {error}")))?;
    check(workspace, &draft.text)?;
    let key = template_key(workspace);
    write(store, &key, &draft.text, draft.base_revision).await
}

async fn read(store: &StoreClient, key: &str) -> Result<Option<KeyValue>, AdminRefusal> {
    let entry = store.read(key).await.map(|dated| dated.reply);
    entry.map_err(AdminRefusal::StoreUnavailable)
}

/// Replaces a revision of a key; if the reply is lost, resolves the outcome.
async fn write(
    store: &StoreClient,
    key: &str,
    value: &str,
    base: Revision,
) -> Result<Revision, AdminRefusal> {
    let deadline = Instant::now() + RESOLVE_TIMEOUT_MS.duration();
    let mut unknown_outcome: Option<StoreError> = None;
    loop {
        let written = store
            .write(key, value.to_owned(), write_condition(base), None)
            .await
            .map(|dated| dated.reply);
        match written {
            Ok(reply) if reply.written => return Ok(revision_of(reply.entry.as_ref())),
            Ok(reply) => {
                let may_be_own_write = unknown_outcome.is_some();
                return resolve_outcome(key, value, base, reply.entry.as_ref(), may_be_own_write);
            }
            Err(error) if !error.is_outcome_unknown() && unknown_outcome.is_none() => {
                return Err(AdminRefusal::StoreUnavailable(error));
            }
            Err(error) => unknown_outcome = Some(error),
        }
        sleep(RESOLVE_DELAY_MS.duration()).await;
        if let Ok(Dated { reply: entry, .. }) = store.read(key).await
            && revision_of(entry.as_ref()) != base
        {
            return resolve_outcome(key, value, base, entry.as_ref(), true);
        }
        if let Some(error) = unknown_outcome.take_if(|_| Instant::now() >= deadline) {
            return Err(AdminRefusal::OutcomeUnknown(error));
        }
    }
}

/// Determines from the current entry whether the write took effect.
fn resolve_outcome(
    key: &str,
    value: &str,
    given: Revision,
    entry: Option<&KeyValue>,
    may_be_own_write: bool,
) -> Result<Revision, AdminRefusal> {
    let current = revision_of(entry);
    if may_be_own_write && entry.is_some_and(|entry| entry.value == value) {
        return Ok(current);
    }
    let detail = format!("{key} is at revision {current}; the change was based on {given}");
    Err(AdminRefusal::Conflict {
        given,
        current,
        detail,
    })
}
