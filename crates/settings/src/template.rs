//! Templates of workspaces.

use parsleylatch_types::{
    EndpointVersion, Millis, ModelId, OperationName, ServiceName, TokenCount, Weight, WorkspaceId,
};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::{
    document::Document, error::SettingsError, key::KeyDigest, version_move::VersionMoveTemplate,
};

/// Largest `max_tokens_limit` of a template.
pub const MAX_TOKENS_HARD_LIMIT: TokenCount = TokenCount::new(131_072);
/// Smallest factor between an endpoint's pace and the token timeout.
const MIN_TOKEN_TIMEOUT_FACTOR: u64 = 2;

/// Class of a workspace's requests.
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
    /// Served first.
    Paying,
}

/// Whether a call may run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum CallKind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    OnceOnly,
}

/// One operation of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operation {
    /// Name of the operation.
    pub operation: OperationName,
    /// Whether the operation may run again.
    pub idempotent: bool,
}

/// One service that a workspace may call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTemplate {
    /// Name of the service.
    pub service: ServiceName,
    /// Its operations.
    pub operations: Vec<Operation>,
}

/// When an attempt counts as lost; shorter times resume sooner and cost more
/// attempts on endpoints that are only slow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TokenTimeouts {
    /// Multiple of the endpoint's recent time between tokens.
    pub token_timeout_factor: u64,
    /// Shortest time without a token that counts as a loss.
    pub token_timeout_min_ms: Millis,
    /// Longest time to the first token of an attempt.
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

/// Template of one workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Template {
    /// Workspace that the template describes.
    pub workspace: WorkspaceId,
    /// Digests of the caller keys.
    pub key_sha256: Vec<KeyDigest>,
    /// Class of the workspace's requests.
    pub tier: Tier,
    /// Weight among the workspaces of the same tier.
    #[serde(default = "default_weight")]
    pub weight: Weight,
    /// Model of the workspace's generations.
    pub model: ModelId,
    /// Endpoint versions on which generations may run, best first.
    pub endpoint_versions: Vec<EndpointVersion>,
    /// Largest `max_tokens` of one generation.
    #[serde(default = "default_max_tokens_limit")]
    pub max_tokens_limit: TokenCount,
    /// Services that the workspace may call.
    #[serde(default)]
    pub services: Vec<ServiceTemplate>,
    /// When an attempt counts as lost.
    #[serde(default)]
    pub detection: TokenTimeouts,
    /// Move of the generations to another version, if one is wanted.
    #[serde(default, rename = "move", skip_serializing_if = "Option::is_none")]
    pub version_move: Option<VersionMoveTemplate>,
}

impl Template {
    /// Reads and checks a template.
    ///
    /// # Errors
    /// The first field that is wrong.
    pub fn read(document: &Document) -> Result<Self, SettingsError> {
        let template: Self = document.parse()?;
        template.check(document)?;
        Ok(template)
    }

    /// Whether and how the workspace may call an operation.
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

    /// Whether any operation of the workspace may run at most once.
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
