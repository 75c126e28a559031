//! Authentication and validation of requests.
//!
//! Refusals from this module always report "not run": nothing has been sent to a
//! backend yet.

use std::sync::Arc;

use parsleylatch_settings::{KeyDigest, Tier};
use parsleylatch_types::{AdapterName, Millis, ModelId, Priority, RequestId, Seed, TokenCount};

use crate::{
    generation::GenerationRequest,
    refusal::{Refusal, RefusalKind},
    view::{Snapshot, WorkspaceView},
};

/// Engine priority of requests of the paying tier.
pub const PAYING_PRIORITY: Priority = Priority::new(10);
/// Engine priority of requests of the free tier.
pub const FREE_PRIORITY: Priority = Priority::new(1);
/// Delay after which a refused caller may try another node.
pub const OTHER_NODE_RETRY_DELAY_MS: Millis = Millis::new(200);

/// Parameters of a generation as the caller sent them.
#[derive(Clone, Debug)]
pub struct GenerationParams {
    /// Requested model.
    pub model: ModelId,
    /// Prompt text.
    pub prompt: Arc<str>,
    /// Maximum length of the answer.
    pub max_tokens: TokenCount,
    /// Sampling seed, if the caller chose one.
    pub seed: Option<Seed>,
    /// Adapter to apply to the model.
    pub adapter: Option<AdapterName>,
}

/// Returns the workspace that a caller key belongs to.
///
/// # Errors
/// `Stopping` if the node accepts no new requests, `WrongKey` if the key is missing
/// or unknown.
pub fn authenticate(
    snapshot: &Snapshot,
    key: Option<KeyDigest>,
) -> Result<Arc<WorkspaceView>, Refusal> {
    if !snapshot.accepting {
        let detail = "this node takes no new request; try another";
        let refusal = Refusal::not_run(RefusalKind::Stopping, detail);
        return Err(refusal.retry_after(OTHER_NODE_RETRY_DELAY_MS));
    }
    let workspace = key.and_then(|key| snapshot.workspaces.get(&key));
    workspace.cloned().ok_or_else(|| {
        let detail = "no workspace has the key of the Authorization header";
        Refusal::not_run(RefusalKind::WrongKey, detail)
    })
}

/// Checks the parameters of a generation against the workspace's template.
///
/// # Errors
/// `NotAllowed` if the workspace may not use the model, `BadRequest` if
/// `max_tokens` is out of range.
pub fn admit_generation(
    workspace: &WorkspaceView,
    request_id: RequestId,
    params: GenerationParams,
) -> Result<GenerationRequest, Refusal> {
    let template = &workspace.template;
    if params.model != template.model {
        let detail = format!(
            "workspace {} may not use model {}",
            template.workspace, params.model
        );
        return Err(Refusal::not_run(RefusalKind::NotAllowed, detail));
    }
    let limit = template.max_tokens_limit;
    if !(TokenCount::new(1)..=limit).contains(&params.max_tokens) {
        let detail = format!("max_tokens {} is not in 1tok to {limit}", params.max_tokens);
        return Err(Refusal::not_run(RefusalKind::BadRequest, detail));
    }
    Ok(GenerationRequest {
        request_id,
        workspace: template.workspace.clone(),
        model: params.model,
        adapter: params.adapter,
        prompt: params.prompt,
        max_tokens: params.max_tokens,
        seed: params.seed,
        priority: priority_of(template.tier),
        endpoint_versions: template.endpoint_versions.clone(),
    })
}

fn priority_of(tier: Tier) -> Priority {
    match tier {
        Tier::Paying => PAYING_PRIORITY,
        Tier::Free => FREE_PRIORITY,
    }
}
