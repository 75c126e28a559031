//! Invariants of the relay, the bounds that they refer to, and their violations.

use parsleylatch_types::{Millis, MonoTime};
use strum::{Display, EnumString, VariantArray};

/// Maximum number of endpoints that may run one request.
pub(crate) const MAX_ATTEMPTS: usize = 3;
/// Time within which relays apply a configuration change.
pub(crate) const MAX_CONFIGURATION_DELAY_MS: Millis = Millis::new(2_500);
/// Time after which a draining endpoint must not receive new requests.
pub(crate) const MAX_DRAIN_DELAY_MS: Millis = Millis::new(2_500);
/// Timeout that callers set for their requests; the relay must respond within it.
pub(crate) const REQUEST_TIMEOUT_MS: Millis = Millis::new(4_000);
/// Timeout of streams that last several seconds.
pub(crate) const LONG_STREAM_TIMEOUT_MS: Millis = Millis::new(10_000);
/// Time after the last byte of a request from which the relay is assumed to have read it. Time in
/// which the traffic thread, which has the links, was held up doesn't count.
pub(crate) const LOSS_SLACK_MS: Millis = Millis::new(200);
/// Time within which a request on a new connection is passed on, answered or refused.
pub(crate) const NEW_CALLER_WAIT_MS: Millis = Millis::new(2_000);
/// Limit of a relay's resident memory, as specified by the operators.
pub(crate) const MEMORY_LIMIT_BYTES: u64 = 260 << 20;

/// A property that must hold during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, VariantArray)]
#[strum(serialize_all = "snake_case")]
pub enum Invariant {
    /// A complete success response is the one of an endpoint that ran the request.
    #[strum(serialize = "mixed")]
    ResponseIntegrity,
    /// Endpoints receive exactly what callers sent, but without the callers' keys.
    #[strum(serialize = "unasked")]
    RequestIntegrity,
    /// A once-only request runs at most once.
    #[strum(serialize = "twice")]
    AtMostOnce,
    /// A once-only request refused as not run has not run and never runs.
    #[strum(serialize = "refused")]
    NotRunRefusal,
    /// Stream events arrive complete, in order and without gaps.
    #[strum(serialize = "order")]
    EventOrder,
    /// A request runs on no more endpoints than its route allows.
    #[strum(serialize = "attempts")]
    AttemptLimit,
    /// A request ends within its timeout.
    #[strum(serialize = "held")]
    ResponseDeadline,
    /// Planned stops and changes lose no request.
    #[strum(serialize = "lost")]
    RequestLoss,
    /// A relay in touch closes at most three kept connections with a request that it has passed
    /// on to a sound endpoint.
    KeptConnectionLoss,
    /// A request that a relay has read gets a complete response around planned work, also beside
    /// a disturbed store if it can't resume.
    PlannedWorkLoss,
    /// A relay takes up or refuses a request on a new connection in time: one without a route, or
    /// a look-up beside which no endpoint is silent.
    NewCallerSilence,
    /// A request of sound endpoints isn't given up while time is left.
    EarlyFailure,
    /// A draining endpoint receives no new requests.
    Drain,
    /// A configuration is applied in time, and nothing that it allows is denied.
    #[strum(serialize = "configuration")]
    ConfigurationDelay,
    /// All relays serve requests again after the faults.
    Recovery,
    /// A process exits only on request, in time and successfully.
    #[strum(serialize = "own_end")]
    ProcessExit,
    /// A process stays within its memory limit.
    #[strum(serialize = "memory")]
    MemoryLimit,
    /// An endpoint that says that it leaves receives no new requests.
    LeavingNotice,
    /// An endpoint that asks for a pause gets it.
    PauseNotice,
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Violated invariant.
    pub invariant: Invariant,
    /// Time of detection.
    pub at: MonoTime,
    /// Observation that shows the violation.
    pub reason: String,
    /// Id of the request that shows it, if it is one.
    pub request: Option<String>,
    /// What happened to the request and around it.
    pub timeline: Vec<String>,
}
