//! Findings of a check, and their places.

use strum::Display;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Severity {
    /// A difference that takes nothing from callers.
    Note,
    /// The configuration is applied, and probably isn't what was meant.
    Warning,
    /// The relay does not apply the configuration.
    Error,
}

/// Kind of a finding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum FindingKind {
    /// The document can't be read.
    Unreadable,
    /// A route is invalid.
    InvalidRoute,
    /// A route is behind another with the same host and path prefix.
    ShadowedRoute,
    /// No request has the route's host or path prefix.
    UnmatchableRoute,
    /// A route has the name of another one.
    RepeatedRouteName,
    /// A backend gets no requests because of its weight.
    UnusedBackend,
    /// A service is used by no route.
    UnusedService,
    /// A route uses a service that is not configured.
    UnknownService,
    /// A service is configured again later.
    ReplacedService,
    /// A workspace has no keys.
    WorkspaceWithoutKeys,
    /// Callers need keys, and there is none.
    NoKeys,
    /// A key belongs to several workspaces.
    RepeatedKey,
    /// Two limits contradict each other.
    ContradictoryLimits,
    /// A limit is zero, so that nothing can be served.
    ZeroLimit,
    /// A once-only route has several attempts.
    SeveralAttempts,
    /// The version is lower than the one in force.
    VersionLowered,
    /// The version is that in force, and the contents differ.
    VersionUnchanged,
    /// A route is removed.
    RouteRemoved,
    /// A route is added.
    RouteAdded,
    /// A route treats repeated requests differently.
    RepeatChanged,
    /// Other services answer the requests of a route.
    BackendsChanged,
    /// A limit is lowered.
    LimitLowered,
    /// Requests are served after others, before which they came.
    RankLowered,
    /// Runs are no longer copied to a backup.
    BackupsWithdrawn,
    /// Keys are no longer accepted.
    KeysWithdrawn,
    /// A key belongs to another workspace.
    KeysMoved,
    /// Callers need keys that needed none.
    KeysRequired,
    /// Callers need no keys any more.
    KeysNotRequired,
}

impl FindingKind {
    /// How serious findings of the kind are.
    pub fn severity(self) -> Severity {
        match self {
            Self::Unreadable | Self::InvalidRoute | Self::VersionLowered => Severity::Error,
            Self::RouteAdded | Self::BackendsChanged => Severity::Note,
            _ => Severity::Warning,
        }
    }
}

/// Field of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum RouteField {
    /// Name.
    Name,
    /// Host in the request.
    Host,
    /// Prefix of the path.
    PathPrefix,
    /// How often a request may run.
    Repeat,
    /// Timeout of a request.
    TimeoutMs,
    /// Target for the response time.
    GoalMs,
    /// Target for the largest gap between events.
    GapGoalMs,
    /// Priority rank.
    Rank,
    /// Maximum number of attempts.
    Attempts,
    /// Whether callers may omit the key.
    IsPublic,
    /// Services that answer.
    Backends,
}

/// Field of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ServiceField {
    /// Name.
    Name,
    /// Connections that one endpoint accepts.
    ConnectionLimit,
    /// Whether runs are copied to a backup.
    HasBackups,
}

/// Limit on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum LimitField {
    /// Maximum size of a request head.
    HeadBytes,
    /// Maximum size of a request body.
    BodyBytes,
    /// Timeout for a complete head, and for the next part of a body.
    HeadTimeoutMs,
    /// Maximum time for which a connection may stay idle.
    IdleTimeoutMs,
}

/// Field of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum WorkspaceField {
    /// Keys of its callers.
    Keys,
    /// Rank of its requests.
    Rank,
}

/// Place in a configuration, whatever its encoding. Lists are counted from zero.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationPlace {
    /// The whole document.
    Document,
    /// The version.
    Version,
    /// Field of a route.
    Route(usize, RouteField),
    /// A backend of a route.
    Backend {
        /// Index of the route.
        route: usize,
        /// Index among its backends.
        backend: usize,
    },
    /// Field of a service.
    Service(usize, ServiceField),
    /// The limits on callers' requests.
    Limits,
    /// One of these limits.
    Limit(LimitField),
    /// The list of workspaces.
    Workspaces,
    /// Field of a workspace.
    Workspace(usize, WorkspaceField),
}

/// A finding about a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// Kind of the finding.
    pub kind: FindingKind,
    /// Place of the finding.
    pub place: ConfigurationPlace,
    /// Whether the place is in the version in force, because the new one lacks it.
    pub is_in_force: bool,
    /// What was found, and its effect.
    pub message: String,
}

impl Finding {
    /// Creates a finding about a place in the checked configuration.
    pub fn new(kind: FindingKind, place: ConfigurationPlace, message: String) -> Self {
        Self {
            kind,
            place,
            is_in_force: false,
            message,
        }
    }

    /// Creates a finding about a place in the version in force.
    pub(super) fn in_force(kind: FindingKind, place: ConfigurationPlace, message: String) -> Self {
        Self {
            is_in_force: true,
            ..Self::new(kind, place, message)
        }
    }

    /// How serious the finding is.
    pub fn severity(&self) -> Severity {
        self.kind.severity()
    }
}
