//! Decisions of the relay, which routes requests by host and path to the
//! endpoints of a service and treats request and response bodies as opaque.
//!
//! [`RelayConfiguration`] holds the routes and services, [`EndpointTable`] the
//! known state of the endpoints. [`Selector`] chooses the endpoint for an
//! attempt, and [`Exchange`] drives one request until it is answered. A front
//! end carries out the effects; nothing here depends on headers or status lines.

mod configuration;
mod configuration_check;
mod connection_places;
mod copy;
mod crash_evidence;
mod domain_failures;
mod endpoint_notice;
mod endpoint_table;
mod exchange;
mod life;
mod locality;
mod memory_plan;
mod open_trials;
mod overload;
mod ownership;
mod pace;
mod place_limits;
mod placement_cost;
mod readers;
mod registry;
mod report;
mod restored_documents;
mod retry_window;
mod rollout;
mod selector;
mod source;
mod stall_detector;
mod version_history;
mod version_rule;

use parsleylatch_chart::ChartError;

pub use configuration::{
    Backend, CallerLimits, ConfigurationError, RelayConfiguration, RelayConfigurationParts,
    RelayRoute, RelayWorkspace, RepeatPolicy, ServiceRules,
};
pub use configuration_check::{
    ConfigurationPlace, Finding, FindingKind, LimitField, RouteField, ServiceField, Severity,
    WorkspaceField, check_configuration, compare_configurations,
};
pub use connection_places::{
    Admission, Admitted, ConnectionPlaces, LimitNotice, Occupancy, PlaceState,
};
pub use copy::{CopySource, MemoryCopy};
pub use crash_evidence::{
    CrashEvidence, NodeTurn, PartAdmission, PartDecision, PartTrial, PartTrials, PartVerdicts,
    PromptChain, PromptPartState, Quarantine, ReportedCrash,
};
pub use endpoint_notice::{EndpointNotices, Notice, NoticeState, return_delay};
pub use endpoint_table::{EndpointEntry, EndpointKey, EndpointTable, LoadSample, Outcome};
pub use exchange::{
    Exchange, ExchangeEffect, ExchangeInput, ExchangeSpec, ExchangeState, LeaveReason, NextStep,
    ProbeFailure, RefusalReason, ResponseClass, STOPPING_RETRY_AFTER_MS,
};
pub use life::{
    CallerActivity, RelayEffect, RelayEvent, RelayLifecycle, RelayState, log_flush_time,
    may_close_listener,
};
pub use locality::{
    Binding, Border, BorderShare, CrossingCosts, Distance, DomainLoad, Locality,
    LocalityShareState, ServiceLocality, ShareChange, ShareReason, SideLoad,
};
pub use memory_plan::MemoryPlan;
pub use overload::{
    Assignment, CallAdmission, CallLimit, CallLimitState, CallPlan, CallQueue, CallTicket,
    EngineLoad, OwnStreams, PlacementQueue, QueueRejection, QueueTicket, QueuedCall, QueuedStream,
    RankClass, Room, RoomClaim, StreamDurations, StreamSize, TrafficLoad, TrafficLoadState,
    TrafficTurn, assign_engines, is_copy_unaffordable, is_hopeless, is_restart_hopeless,
    may_be_full, retry_delay, room,
};
pub use ownership::EndpointOwnership;
pub use pace::{ReportedPace, is_plausible_pace};
pub use place_limits::{PlaceBound, PlaceLimits};
pub use placement_cost::PREFILL_TOKENS_PER_MS;
pub use readers::{NodeLocation, RemovalLog, receives_full_state, region_readers};
pub use registry::{ListedEntry, RESTORE_GRACE_MS, Registry, RegistryChange};
pub use report::{EngineReport, ProbeFinding, RunProgress};
pub use restored_documents::{ConfigurationMark, DocumentMark, OrderFinding, judge_order};
pub use retry_window::{RetryKind, RetryWindow};
pub use rollout::{
    RolloutEffect, RolloutOrder, RolloutPhase, RolloutStatus, Rollouts, VersionTrial,
};
pub use selector::{Choice, SelectionCriteria, Selector};
pub use source::{SourceFacts, SourceState, StoreSource};
pub use stall_detector::StallDetector;
pub use version_history::EndedOrder;
pub use version_rule::{VersionChoice, VersionLimit, VersionRule};

pub(crate) fn verify_charts() -> Result<(), ChartError> {
    connection_places::verify_chart()?;
    crash_evidence::verify_chart()?;
    endpoint_notice::verify_chart()?;
    exchange::verify_chart()?;
    life::verify_chart()?;
    locality::verify_chart()?;
    overload::verify_charts()?;
    source::verify_chart()
}
