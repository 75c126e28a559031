//! The relay: requests whose bodies and answers are opaque, routed by host and
//! path to the endpoints of a service.
//!
//! [`RelayConfiguration`] says what may be asked and of whom, [`EndpointTable`]
//! what is known of the endpoints, [`Selector`] which of them takes an attempt,
//! and [`Exchange`] what happens to one request until it is answered. Front
//! ends carry out the effects; none of this knows a header or a status line.

mod configuration;
mod copy;
mod endpoint_table;
mod exchange;
mod life;
mod readers;
mod registry;
mod report;
mod retry_window;
mod rollout;
mod selector;
mod source;
mod stall_detector;

use parsleylatch_chart::ChartError;

pub use configuration::{
    Backend, CallerLimits, ConfigurationError, RelayConfiguration, RelayConfigurationParts,
    RelayRoute, RelayWorkspace, RepeatPolicy, ServiceRules,
};
pub use copy::{CopySource, MemoryCopy};
pub use endpoint_table::{
    EndpointEntry, EndpointKey, EndpointOwnership, EndpointTable, LoadSample, Outcome,
};
pub use exchange::{
    Exchange, ExchangeEffect, ExchangeInput, ExchangeSpec, ExchangeState, RefusalReason,
    ResponseClass,
};
pub use life::{RelayEffect, RelayEvent, RelayLifecycle, RelayState};
pub use readers::{NodeLocation, RemovalLog, receives_full_state, region_readers};
pub use registry::{Registry, RegistryChange};
pub use report::{EngineReport, ProbeFinding, RunProgress};
pub use retry_window::{RetryKind, RetryWindow};
pub use rollout::{
    RolloutEffect, RolloutOrder, RolloutPhase, RolloutStatus, Rollouts, VersionLimit, VersionRule,
    VersionTrial,
};
pub use selector::{Choice, PREFILL_TOKENS_PER_MS, SelectionCriteria, Selector};
pub use source::{SourceFacts, SourceState, StoreSource};
pub use stall_detector::StallDetector;

pub(crate) fn verify_charts() -> Result<(), ChartError> {
    exchange::verify_chart()?;
    life::verify_chart()?;
    source::verify_chart()
}
