//! Plan of a move, its inputs, effects and end, and its view for operators.

use std::collections::{BTreeMap, BTreeSet};

use parsleylatch_types::{
    EndpointId, EndpointVersion, Micros, Millis, ModelId, MoveId, Percent, RequestCount, RouteName,
    Share, WorkspaceId,
};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::{
    evidence::{MoveEvidence, TrialCounts},
    state_machine::MoveState,
};
use crate::view::WorkspaceView;

/// A move as requested by an accepted template.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MovePlan {
    /// Id, derived from the workspace and the revision of its template.
    pub id: MoveId,
    /// Workspace whose generations move.
    pub workspace: WorkspaceId,
    /// Model of the generations.
    pub model: ModelId,
    /// Versions that the move replaces.
    pub from: ReplacedVersions,
    /// Version that replaces them.
    pub to: EndpointVersion,
    /// Time after which the move has to be done or rolled back.
    pub deadline_ms: Millis,
    /// Time after which its end is decided; the rest is for recording it.
    pub decision_ms: Millis,
    /// Minimum share of a version that has not passed.
    pub canary_share: Share,
    /// Highest failure rate of a good version.
    pub tolerated_failures: Share,
    /// Failure rate at which a version is bad.
    pub rejected_failures: Share,
    /// Pace that counts as slow, relative to the mean pace of the old versions.
    pub slow_pace_percent: Percent,
    /// Whether the workspace has operations that run at most once.
    pub has_once_only_operations: bool,
    /// Maximum number of requests that may reach a version that turns out to be bad;
    /// `None` if only the evidence limits it.
    pub exposure_limit: Option<ExposureLimit>,
}

/// Versions that a move replaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplacedVersions {
    /// These versions.
    Named(Vec<EndpointVersion>),
    /// All versions except the new one, also those that become known later.
    AllOthers {
        /// Versions that are not replaced, as they serve no requests.
        rejected: BTreeSet<EndpointVersion>,
    },
}

impl ReplacedVersions {
    /// The versions that are named.
    pub fn named(&self) -> &[EndpointVersion] {
        match self {
            Self::Named(versions) => versions,
            Self::AllOthers { .. } => &[],
        }
    }
}

/// Maximum number of requests, from the order to the deadline, that may reach a version
/// that turns out to be bad.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExposureLimit {
    /// Fraction of all requests.
    pub share: Share,
    /// Requests in addition to the fraction.
    pub slack: RequestCount,
}

impl MovePlan {
    /// The move that a workspace's template requests, if any.
    pub fn of_workspace(view: &WorkspaceView) -> Option<Self> {
        let template = &view.template;
        let wanted = template.version_move.as_ref()?;
        let id = format!("{}:{}", template.workspace, view.revision);
        Some(Self {
            id: id.parse().ok()?,
            workspace: template.workspace.clone(),
            model: template.model.clone(),
            from: ReplacedVersions::Named(template.endpoint_versions.clone()),
            to: wanted.to.clone(),
            deadline_ms: wanted.deadline_ms(),
            decision_ms: wanted.deadline_ms(),
            canary_share: wanted.canary_share_ppm,
            tolerated_failures: wanted.tolerated_failures_ppm,
            rejected_failures: wanted.rejected_failures_ppm,
            slow_pace_percent: wanted.slow_pace_percent,
            has_once_only_operations: template.has_once_only_operations(),
            exposure_limit: None,
        })
    }

    pub(crate) fn covers(&self, trial: &Trial) -> bool {
        let is_covered = self.to == trial.version || self.replaces(&trial.version);
        is_covered && self.model == trial.model
    }

    /// Sets the versions that are not replaced, where the move replaces all others.
    pub(crate) fn reject(&mut self, versions: BTreeSet<EndpointVersion>) {
        if let ReplacedVersions::AllOthers { rejected } = &mut self.from {
            *rejected = versions;
        }
    }

    /// Whether the move replaces a version.
    pub(crate) fn replaces(&self, version: &EndpointVersion) -> bool {
        match &self.from {
            ReplacedVersions::Named(versions) => versions.contains(version),
            ReplacedVersions::AllOthers { rejected } => {
                *version != self.to && !rejected.contains(version)
            }
        }
    }

    /// Total counts of the versions in use before the move.
    pub(crate) fn old_counts(&self, evidence: &MoveEvidence) -> TrialCounts {
        evidence.total_where(|key| self.replaces(&key.version))
    }

    /// Counts of the versions in use before the move, by route.
    pub(crate) fn old_counts_by_route(
        &self,
        evidence: &MoveEvidence,
    ) -> BTreeMap<RouteName, TrialCounts> {
        evidence.by_route_where(|version| self.replaces(version))
    }

    /// Counts of the versions in use before the move, on one route.
    pub(crate) fn old_counts_on(&self, evidence: &MoveEvidence, route: &RouteName) -> TrialCounts {
        evidence.total_where(|key| key.route == *route && self.replaces(&key.version))
    }
}

/// One finished attempt of this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// Model of the generation.
    pub model: ModelId,
    /// Version that was requested.
    pub version: EndpointVersion,
    /// Region of this node and region of the endpoint.
    pub route: RouteName,
    /// Endpoint of the attempt.
    pub endpoint: EndpointId,
    /// Whether the attempt failed.
    pub failed: bool,
    /// Mean time between tokens.
    pub pace_us: Option<Micros>,
}

/// How a move ended.
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
pub enum MoveOutcome {
    /// The new version is the only one in use.
    Done,
    /// The new version gets no traffic.
    TakenBack,
}

/// Why a move ended.
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
pub enum MoveReason {
    /// The version passed.
    Proved,
    /// Too many attempts on the version failed or were slow.
    Vetoed,
    /// The deadline passed before there was enough evidence to pass the version.
    TooLittleEvidence,
    /// Another template was accepted.
    TemplateReplaced,
    /// Another node decided first.
    DecidedElsewhere,
}

/// End of a move, as recorded in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveEnd {
    /// How it ended.
    pub outcome: MoveOutcome,
    /// Why it ended.
    pub reason: MoveReason,
}

/// Inputs of a [`MoveTable`](super::MoveTable).
#[derive(Clone, Debug)]
pub enum MoveInput {
    /// A template came into force.
    Template {
        /// Workspace of the template.
        workspace: WorkspaceId,
        /// Move that the template requests, if any.
        plan: Option<MovePlan>,
    },
    /// The store has a record of when a move was opened.
    OpenedBefore {
        /// Id of the move.
        move_id: MoveId,
        /// Time since it was opened.
        elapsed_ms: Millis,
    },
    /// The store has a record of the end of a move.
    Recorded {
        /// Id of the move.
        move_id: MoveId,
        /// End of the move.
        end: MoveEnd,
    },
    /// An attempt of this node has ended.
    Trial(Trial),
    /// An endpoint answered, so its pending failures count.
    EndpointAnswered(EndpointId),
    /// An endpoint stopped answering, so its pending failures are no evidence on its
    /// version.
    EndpointLost(EndpointId),
    /// Evidence was received from another node.
    Evidence {
        /// Id of the move.
        move_id: MoveId,
        /// Evidence of the other node.
        evidence: MoveEvidence,
    },
}

/// Effects that the caller has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveEffect {
    /// Record in the store that a move is open, unless it is recorded already.
    RecordOpened(MoveId),
    /// Record the end of a move in the store, unless it has one.
    RecordEnd {
        /// Id of the move.
        move_id: MoveId,
        /// End of the move.
        end: MoveEnd,
    },
    /// Report a change to operators.
    Announce(Box<MoveView>),
}

/// One move as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveView {
    /// Plan of the move.
    pub plan: MovePlan,
    /// State on this node.
    pub state: MoveState,
    /// Share of the new version on this node.
    pub share: Share,
    /// Evidence on the new version.
    pub counts: TrialCounts,
    /// Why it ended or is about to end.
    pub reason: Option<MoveReason>,
    /// Route on which the version was vetoed.
    pub vetoed_route: Option<RouteName>,
    /// Time for which the move has been open.
    pub elapsed_ms: Millis,
}
