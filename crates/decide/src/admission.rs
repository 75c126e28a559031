//! Which requests a node accepts.
//!
//! A refusal here is always true when it says "not run": nothing was sent yet.

use std::sync::Arc;

use parsleylatch_settings::{KeyDigest, Tier};
use parsleylatch_types::{AdapterName, Millis, ModelId, Priority, RequestId, Seed, TokenCount};

use crate::{
    generation::GenerationRequest,
    refusal::{Refusal, RefusalKind},
    view::{Snapshot, WorkspaceView},
};

/// Priority of paying requests at an engine.
pub const PAYING_PRIORITY: Priority = Priority::new(10);
/// Priority of free requests at an engine.
pub const FREE_PRIORITY: Priority = Priority::new(1);
/// Time after which a refused caller may try another node.
pub const OTHER_NODE_RETRY_DELAY_MS: Millis = Millis::new(200);

/// A generation as the caller asks for it.
#[derive(Clone, Debug)]
pub struct GenerationParams {
    /// Model.
    pub model: ModelId,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Length of the answer.
    pub max_tokens: TokenCount,
    /// Seed.
    pub seed: Option<Seed>,
    /// Adapter.
    pub adapter: Option<AdapterName>,
}

/// Finds the workspace of a key.
///
/// # Errors
/// `Stopping` where the node takes no new request, `WrongKey` for an unknown key.
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

/// Checks a request for a generation against its workspace.
///
/// # Errors
/// `NotAllowed` or `BadRequest`, with what is wrong.
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
