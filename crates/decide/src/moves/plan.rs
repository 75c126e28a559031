//! What a move is about, how it ends, and what operators are told.

use std::collections::BTreeMap;

use parsleylatch_types::{
    EndpointId, EndpointVersion, Micros, Millis, ModelId, MoveId, Percent, RouteName, Share,
    WorkspaceId,
};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use super::{
    evidence::{MoveEvidence, TrialCounts},
    state_machine::MoveState,
};
use crate::view::WorkspaceView;

/// A move as the accepted template asks for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MovePlan {
    /// Id, from the workspace and the revision of its template.
    pub id: MoveId,
    /// Workspace whose generations move.
    pub workspace: WorkspaceId,
    /// Model of the generations.
    pub model: ModelId,
    /// Versions in use before the move.
    pub from: Vec<EndpointVersion>,
    /// Version that replaces them.
    pub to: EndpointVersion,
    /// Time after which the move is done or taken back.
    pub deadline_ms: Millis,
    /// Smallest share of an unproved version.
    pub canary_share: Share,
    /// Rate of failures that a good version may have.
    pub tolerated_failures: Share,
    /// Rate of failures at which a version is bad.
    pub rejected_failures: Share,
    /// Pace that counts as slow, relative to the old version's.
    pub slow_pace_percent: Percent,
    /// Whether the workspace has operations that run at most once.
    pub has_once_only_operations: bool,
    /// Largest part of all requests, from the order to the deadline, that may reach a
    /// version which turns out bad; none where only the evidence bounds it.
    pub exposure_limit: Option<Share>,
}

impl MovePlan {
    /// Move that a template asks for, if any.
    pub fn of_workspace(view: &WorkspaceView) -> Option<Self> {
        let template = &view.template;
        let wanted = template.version_move.as_ref()?;
        let id = format!("{}:{}", template.workspace, view.revision);
        Some(Self {
            id: id.parse().ok()?,
            workspace: template.workspace.clone(),
            model: template.model.clone(),
            from: template.endpoint_versions.clone(),
            to: wanted.to.clone(),
            deadline_ms: wanted.deadline_ms(),
            canary_share: wanted.canary_share_ppm,
            tolerated_failures: wanted.tolerated_failures_ppm,
            rejected_failures: wanted.rejected_failures_ppm,
            slow_pace_percent: wanted.slow_pace_percent,
            has_once_only_operations: template.has_once_only_operations(),
            exposure_limit: None,
        })
    }

    pub(crate) fn covers(&self, trial: &Trial) -> bool {
        let is_named = self.to == trial.version || self.from.contains(&trial.version);
        is_named && self.model == trial.model
    }

    /// Counts over the versions in use before the move.
    pub(crate) fn old_counts(&self, evidence: &MoveEvidence) -> TrialCounts {
        let totals = self.from.iter().map(|version| evidence.total(version));
        totals.fold(TrialCounts::default(), TrialCounts::plus)
    }

    /// Counts of the versions in use before the move, on one route.
    pub(crate) fn old_counts_on(&self, evidence: &MoveEvidence, route: &RouteName) -> TrialCounts {
        let totals = self.from.iter().map(|version| {
            let routes: BTreeMap<RouteName, TrialCounts> = evidence.by_route(version);
            routes.get(route).copied().unwrap_or_default()
        });
        totals.fold(TrialCounts::default(), TrialCounts::plus)
    }
}

/// One attempt that ended, as this node saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trial {
    /// Model of the generation.
    pub model: ModelId,
    /// Version that was ordered.
    pub version: EndpointVersion,
    /// Region of this node to region of the endpoint.
    pub route: RouteName,
    /// Endpoint of the attempt.
    pub endpoint: EndpointId,
    /// Whether the attempt was lost.
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
    /// The new version gets nothing.
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
    /// The version proved itself.
    Proved,
    /// The version failed or was slow too often.
    Vetoed,
    /// The deadline came before the version had proved itself.
    TooLittleEvidence,
    /// Another template was accepted.
    TemplateReplaced,
    /// Another node decided first.
    DecidedElsewhere,
}

/// End of a move, as the store keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveEnd {
    /// How it ended.
    pub outcome: MoveOutcome,
    /// Why.
    pub reason: MoveReason,
}

/// What happens to the moves of a node.
#[derive(Clone, Debug)]
pub enum MoveInput {
    /// A template came into force; `plan` is the move that it asks for.
    Template {
        /// Workspace of the template.
        workspace: WorkspaceId,
        /// Move, if the template names one.
        plan: Option<MovePlan>,
    },
    /// The store says for how long a move has been open.
    OpenedBefore {
        /// Move.
        move_id: MoveId,
        /// Time since it was opened.
        elapsed_ms: Millis,
    },
    /// The store has the end of a move.
    Recorded {
        /// Move.
        move_id: MoveId,
        /// Its end.
        end: MoveEnd,
    },
    /// An attempt of this node ended.
    Trial(Trial),
    /// An endpoint answered, so it is alive.
    EndpointAnswered(EndpointId),
    /// An endpoint answers no more, so its failures say nothing of its version.
    EndpointLost(EndpointId),
    /// Evidence came from another node.
    Evidence {
        /// Move.
        move_id: MoveId,
        /// What the other node has.
        evidence: MoveEvidence,
    },
}

/// What has to be done for the moves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MoveEffect {
    /// Write that a move is open, unless the store knows it.
    RecordOpened(MoveId),
    /// Write the end of a move, unless the store has one.
    RecordEnd {
        /// Move.
        move_id: MoveId,
        /// Its end.
        end: MoveEnd,
    },
    /// Tell operators of a change.
    Announce(MoveView),
}

/// One move as operators see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveView {
    /// What the move is about.
    pub plan: MovePlan,
    /// State on this node.
    pub state: MoveState,
    /// Share of the new version on this node.
    pub share: Share,
    /// Evidence on the new version.
    pub counts: TrialCounts,
    /// Why it ended, or is about to.
    pub reason: Option<MoveReason>,
    /// Route on which the version was vetoed.
    pub vetoed_route: Option<RouteName>,
    /// Time for which the move has been open.
    pub elapsed_ms: Millis,
}
