//! Context of a generation's chart: its data, guards, durations and actions.

use std::sync::Arc;

use parsleylatch_types::{
    AdapterName, AttemptNumber, EndpointId, EndpointVersion, Micros, Millis, ModelId, MonoTime,
    Priority, RequestId, Seed, TokenCount, TokenIndex, WorkspaceId,
};

use super::{
    GenerationEffect,
    attempt::{Attempt, AttemptFault, AttemptSpec, Token},
};
use crate::refusal::{Refusal, RefusalKind};

/// Delay before the second consecutive retry; the first retry has no delay.
const INITIAL_BACKOFF_MS: u64 = 20;
/// Maximum delay between two attempts.
const MAX_BACKOFF_MS: u64 = 500;

/// An accepted request for a generation.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// Id of the request.
    pub request_id: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Requested model.
    pub model: ModelId,
    /// Adapter applied to the model.
    pub adapter: Option<AdapterName>,
    /// Prompt.
    pub prompt: Arc<str>,
    /// Maximum length of the answer.
    pub max_tokens: TokenCount,
    /// Sampling seed given by the caller.
    pub seed: Option<Seed>,
    /// Priority at the engine.
    pub priority: Priority,
    /// Endpoint versions that may answer, in order of preference.
    pub endpoint_versions: Vec<EndpointVersion>,
}

/// Limits of one generation.
#[derive(Clone, Copy, Debug)]
pub struct GenerationLimits {
    /// Maximum number of attempts, including the first.
    pub attempts: AttemptNumber,
    /// Maximum time without a running attempt.
    pub placement_timeout_ms: Millis,
}

impl Default for GenerationLimits {
    fn default() -> Self {
        Self {
            attempts: AttemptNumber::new(8),
            placement_timeout_ms: Millis::new(10_000),
        }
    }
}

/// Constraints on the placement of the next attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementConstraints {
    /// Allowed versions; a single one after the first token was accepted.
    pub endpoint_versions: Vec<EndpointVersion>,
    /// Endpoints at which attempts failed, most recent last.
    pub failed_endpoints: Vec<EndpointId>,
}

/// Result of an attempt, for the pace and health of its endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptReport {
    /// Endpoint of the attempt.
    pub endpoint: EndpointId,
    /// Requested version.
    pub endpoint_version: EndpointVersion,
    /// Why the attempt failed; `None` if it did not fail.
    pub fault: Option<AttemptFault>,
    /// Time from the start of the attempt to its first token.
    pub first_token_us: Option<Micros>,
    /// Mean time between tokens.
    pub pace_us: Option<Micros>,
    /// Number of tokens dropped because they were received before.
    pub dropped_tokens: u32,
}

pub(crate) struct GenerationContext {
    pub(crate) now: MonoTime,
    pub(crate) request: GenerationRequest,
    pub(crate) limits: GenerationLimits,
    pub(crate) tokens: Vec<Token>,
    pub(crate) held: TokenIndex,
    pub(crate) released: TokenIndex,
    pub(crate) is_complete: bool,
    pub(crate) attempt: Option<Attempt>,
    pub(crate) attempts_started: AttemptNumber,
    pub(crate) endpoint_version: Option<EndpointVersion>,
    pub(crate) failed_endpoints: Vec<EndpointId>,
    pub(crate) consecutive_failures: u32,
    pub(crate) without_attempt_since: MonoTime,
    pub(crate) input_spec: Option<AttemptSpec>,
    pub(crate) input_token: Option<Token>,
    pub(crate) input_held: TokenIndex,
    pub(crate) effects: Vec<GenerationEffect>,
}

impl GenerationContext {
    // Guards.

    pub(crate) fn placement_timed_out(&self) -> bool {
        self.now >= self.without_attempt_since + self.limits.placement_timeout_ms
    }

    pub(crate) fn attempts_exhausted(&self) -> bool {
        self.attempts_started >= self.limits.attempts
    }

    pub(crate) fn all_released(&self) -> bool {
        self.released.as_usize() == self.tokens.len()
    }

    pub(crate) fn all_held(&self) -> bool {
        self.input_held.as_usize() >= self.tokens.len()
    }

    // Durations.

    /// Exponential backoff; the first retry has no delay.
    ///
    /// Jitter derived from the request id keeps the generations of a failed endpoint
    /// from retrying at the same time.
    pub(crate) fn backoff(&self) -> Millis {
        if self.consecutive_failures == 1 {
            return Millis::ZERO;
        }
        let doublings = self.consecutive_failures.saturating_sub(2).min(10);
        let ceiling = MAX_BACKOFF_MS.min(INITIAL_BACKOFF_MS << doublings);
        let jitter = self
            .request
            .request_id
            .stable_hash()
            .rotate_left(self.consecutive_failures);
        Millis::new(ceiling / 2 + jitter % (ceiling / 2 + 1))
    }

    // Actions.

    pub(crate) fn request_placement(&mut self) {
        let endpoint_versions = match &self.endpoint_version {
            Some(version) => vec![version.clone()],
            None => self.request.endpoint_versions.clone(),
        };
        let failed_endpoints = self.failed_endpoints.clone();
        let constraints = PlacementConstraints {
            endpoint_versions,
            failed_endpoints,
        };
        self.effects.push(GenerationEffect::Place(constraints));
    }

    pub(crate) fn open_attempt(&mut self) {
        let Some(spec) = self.input_spec.take() else {
            return;
        };
        self.attempts_started = spec.attempt;
        self.attempt = Some(Attempt::start(self.now, spec.clone()));
        self.effects.push(GenerationEffect::Open(spec));
    }

    pub(crate) fn append_token(&mut self) {
        let Some(token) = self.input_token.take() else {
            return;
        };
        if self.endpoint_version.is_none() {
            let attempt = self.attempt.as_ref();
            self.endpoint_version = attempt.map(|it| it.context.spec.endpoint_version.clone());
        }
        self.consecutive_failures = 0;
        let index = TokenIndex::after(self.tokens.len());
        self.tokens.push(token);
        self.effects
            .push(GenerationEffect::AppendToJournal { index });
    }

    pub(crate) fn release_held(&mut self) {
        let end = self.input_held.min(TokenIndex::after(self.tokens.len()));
        self.held = self.held.max(end);
        self.release_to(self.held);
    }

    pub(crate) fn release_unheld(&mut self) {
        let end = TokenIndex::after(self.tokens.len());
        let unheld = end.saturating_sub(self.released).get();
        if unheld > 0 {
            let tokens = TokenCount::new(unheld);
            self.effects.push(GenerationEffect::CountUnheld { tokens });
        }
        self.release_to(end);
    }

    fn release_to(&mut self, end: TokenIndex) {
        if end > self.released {
            let start = self.released;
            self.released = end;
            self.effects.push(GenerationEffect::Release { start, end });
        }
    }

    pub(crate) fn record_failure(&mut self) {
        self.consecutive_failures += 1;
        self.without_attempt_since = self.now;
        if let Some(attempt) = self.attempt.take() {
            let spec = attempt.context.spec;
            self.failed_endpoints.push(spec.endpoint.clone());
            self.effects.push(GenerationEffect::Cancel {
                attempt: spec.attempt,
                address: spec.address,
            });
        }
    }

    pub(crate) fn cancel_attempt(&mut self) {
        let now = self.now;
        if let Some(mut attempt) = self.attempt.take() {
            attempt.cancel(now);
            let spec = attempt.context.spec;
            self.effects.push(GenerationEffect::Cancel {
                attempt: spec.attempt,
                address: spec.address,
            });
        }
    }

    pub(crate) fn fail_without_endpoint(&mut self) {
        let requested = self
            .request
            .endpoint_versions
            .iter()
            .map(ToString::to_string);
        let versions = requested.collect::<Vec<_>>().join(", ");
        let waited = self.limits.placement_timeout_ms;
        let model = &self.request.model;
        let detail = format!("no endpoint with model {model} at {versions} within {waited}");
        self.fail(RefusalKind::NoEndpoint, detail);
    }

    pub(crate) fn fail_after_attempts(&mut self) {
        let detail = format!("{} attempts failed", self.attempts_started);
        self.fail(RefusalKind::AttemptsExhausted, detail);
    }

    fn fail(&mut self, kind: RefusalKind, detail: String) {
        let not_started = self.attempts_started == AttemptNumber::ZERO;
        let refusal = match not_started {
            true => Refusal::not_run(kind, detail).retry_after(Millis::new(1_000)),
            false => Refusal::may_have_run(kind, detail),
        };
        self.effects.push(GenerationEffect::Fail(refusal));
    }

    pub(crate) fn finish(&mut self) {
        let Some(endpoint_version) = self.endpoint_version.clone() else {
            return;
        };
        self.effects.push(GenerationEffect::Finish {
            tokens: TokenCount::new(self.tokens.len() as u32),
            endpoint_version,
            attempts: self.attempts_started,
        });
    }

    pub(crate) fn announce_supersession(&mut self) {
        let detail = "another node has taken the generation over";
        let refusal = Refusal::may_have_run(RefusalKind::Superseded, detail);
        self.effects.push(GenerationEffect::Fail(refusal));
    }
}
