//! Workspace templates.

use parsleylatch_types::{
    EndpointVersion, Millis, ModelId, OperationName, ServiceName, TokenCount, Weight, WorkspaceId,
};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::{
    document::Document, error::SettingsError, key::KeyDigest, version_move::VersionMoveTemplate,
};

/// Maximum `max_tokens_limit` of a template.
pub const MAX_TOKENS_HARD_LIMIT: TokenCount = TokenCount::new(131_072);
/// Minimum ratio of the token timeout to an endpoint's time between tokens.
const MIN_TOKEN_TIMEOUT_FACTOR: u64 = 2;

/// Service class of a workspace.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumString,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Tier {
    /// Served from spare capacity only.
    Free,
    /// Served before the free tier.
    Paying,
}

/// Whether a call may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// May be executed any number of times.
    Idempotent,
    /// Must be executed at most once.
    OnceOnly,
}

/// An operation of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Operation name.
    pub operation: OperationName,
    /// Whether the operation may be executed more than once.
    pub idempotent: bool,
}

/// A service that a workspace may call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTemplate {
    /// Service name.
    pub service: ServiceName,
    /// Operations that the workspace may call.
    pub operations: Vec<Operation>,
}

/// Timeouts after which an attempt counts as lost. Shorter timeouts resume a
/// generation sooner, but abandon more attempts on endpoints that are merely slow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TokenTimeouts {
    /// Token timeout as a multiple of the endpoint's recent time between tokens.
    pub token_timeout_factor: u64,
    /// Lower bound of the token timeout.
    pub token_timeout_min_ms: Millis,
    /// Timeout for the first token of an attempt.
    pub first_token_timeout_ms: Millis,
}

impl Default for TokenTimeouts {
    fn default() -> Self {
        Self {
            token_timeout_factor: 8,
            token_timeout_min_ms: Millis::new(200),
            first_token_timeout_ms: Millis::new(1_500),
        }
    }
}

fn default_weight() -> Weight {
    Weight::new(1)
}

fn default_max_tokens_limit() -> TokenCount {
    TokenCount::new(4_096)
}

/// Template of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Workspace that the template describes.
    pub workspace: WorkspaceId,
    /// SHA-256 digests of the caller keys.
    pub key_sha256: Vec<KeyDigest>,
    /// Service class of the workspace.
    pub tier: Tier,
    /// Scheduling weight relative to the other workspaces in the tier.
    #[serde(default = "default_weight")]
    pub weight: Weight,
    /// Model that the workspace's generations use.
    pub model: ModelId,
    /// Endpoint versions on which generations may run, in order of preference.
    pub endpoint_versions: Vec<EndpointVersion>,
    /// Maximum `max_tokens` of a generation.
    #[serde(default = "default_max_tokens_limit")]
    pub max_tokens_limit: TokenCount,
    /// Services that the workspace may call.
    #[serde(default)]
    pub services: Vec<ServiceTemplate>,
    /// Timeouts after which an attempt counts as lost.
    #[serde(default)]
    pub detection: TokenTimeouts,
    /// Move of the workspace's generations to another version, if any.
    #[serde(default, rename = "move", skip_serializing_if = "Option::is_none")]
    pub version_move: Option<VersionMoveTemplate>,
}

impl Template {
    /// Reads and checks a template.
    ///
    /// # Errors
    /// The first invalid field.
    pub fn read(document: &Document) -> Result<Self, SettingsError> {
        let template: Self = document.parse()?;
        template.check(document)?;
        Ok(template)
    }

    /// Returns the kind of a call, or `None` if the workspace may not call the operation.
    pub fn call_kind(&self, service: &ServiceName, operation: &OperationName) -> Option<CallKind> {
        let service = self
            .services
            .iter()
            .find(|entry| entry.service == *service)?;
        let operation = service
            .operations
            .iter()
            .find(|entry| entry.operation == *operation)?;
        Some(if operation.idempotent {
            CallKind::Idempotent
        } else {
            CallKind::OnceOnly
        })
    }

    /// Whether any operation of the workspace must be executed at most once.
    pub fn has_once_only_operations(&self) -> bool {
        let mut operations = self.services.iter().flat_map(|service| &service.operations);
        operations.any(|operation| !operation.idempotent)
    }

    fn check(&self, document: &Document) -> Result<(), SettingsError> {
        if self.key_sha256.is_empty() {
            return Err(document.value_error("key_sha256", "a workspace needs at least one key"));
        }
        if self.endpoint_versions.is_empty() {
            let reason = "a workspace needs at least one endpoint version";
            return Err(document.value_error("endpoint_versions", reason));
        }
        if self.weight == Weight::ZERO {
            return Err(document.value_error("weight", "0 would give the workspace no share"));
        }
        if !(TokenCount::new(1)..=MAX_TOKENS_HARD_LIMIT).contains(&self.max_tokens_limit) {
            let reason = format!(
                "{} is not in 1tok to {MAX_TOKENS_HARD_LIMIT}",
                self.max_tokens_limit
            );
            return Err(document.value_error("max_tokens_limit", reason));
        }
        if self.detection.token_timeout_factor < MIN_TOKEN_TIMEOUT_FACTOR {
            let reason = format!("a factor below {MIN_TOKEN_TIMEOUT_FACTOR} ends healthy attempts");
            return Err(document.value_error("detection.token_timeout_factor", reason));
        }
        match &self.version_move {
            Some(version_move) => version_move.check(&self.endpoint_versions, document),
            None => Ok(()),
        }
    }
}
