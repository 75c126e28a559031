//! Immutable configuration: routes, services, caller limits and workspace keys.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
};

use parsleylatch_settings::KeyDigest;
use parsleylatch_types::{
    ByteCount, Millis, Rank, Revision, RouteName, ServiceName, Weight, WorkspaceId,
};
use thiserror::Error;

use super::overload::RankClass;

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    OnceOnly,
    /// Answered by a stream of events.
    Stream {
        /// Whether another endpoint may continue after the last event.
        resumable: bool,
    },
}

impl RepeatPolicy {
    /// Whether a request that may have run may be sent again.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that answers the requests of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Name of the service.
    pub service: ServiceName,
    /// Relative share of the route's requests.
    pub weight: Weight,
}

/// A route, matched by host and path prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayRoute {
    /// Name.
    pub name: RouteName,
    /// Host in the request.
    pub host: Box<str>,
    /// Prefix of the path; starts and ends with a slash.
    pub path_prefix: Box<str>,
    /// How often a request may run.
    pub repeat: RepeatPolicy,
    /// Timeout of a request.
    pub timeout_ms: Millis,
    /// Target for the response time.
    pub goal_ms: Millis,
    /// Target for the largest gap between the events of a stream.
    pub gap_goal_ms: Option<Millis>,
    /// Priority rank of its requests.
    pub rank: Rank,
    /// Maximum number of attempts that may run one request.
    pub attempts: u32,
    /// Whether callers may omit the key.
    pub is_public: bool,
    /// Services that answer.
    pub backends: Vec<Backend>,
}

/// Configuration of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRules {
    /// Name.
    pub name: ServiceName,
    /// Connections that one endpoint accepts from all callers together.
    pub connection_limit: u32,
    /// Whether its endpoints are engines that copy a run's memory to a backup.
    pub has_backups: bool,
}

/// Limits on the size and pace of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub head_bytes: ByteCount,
    /// Maximum size of a request body.
    pub body_bytes: ByteCount,
    /// Timeout for a complete head, and for the next part of a body.
    pub head_timeout_ms: Millis,
    /// Maximum time for which a connection may stay idle.
    pub idle_timeout_ms: Millis,
}

/// A workspace whose keys are accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayWorkspace {
    /// Id, forwarded to endpoints.
    pub id: WorkspaceId,
    /// Rank of its requests; overrides the route's.
    pub rank: Option<Rank>,
}

/// Input for [`RelayConfiguration::build`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayConfigurationParts {
    /// Version that the operator gave it.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RelayRoute>,
    /// Services.
    pub services: Vec<ServiceRules>,
    /// Limits of callers, if configured.
    pub limits: Option<CallerLimits>,
    /// Workspaces with the digests of their keys; `None` if callers need no keys.
    pub workspaces: Option<Vec<(RelayWorkspace, Vec<KeyDigest>)>>,
}

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// The path prefix does not start and end with a slash.
    #[error("route {route}: path prefix `{path_prefix}` does not start and end with a slash")]
    PathPrefix {
        /// Name of the route.
        route: RouteName,
        /// Path prefix of the route.
        path_prefix: Box<str>,
    },
    /// The route has no backend.
    #[error("route {0} has no service")]
    NoBackend(RouteName),
}

/// Validated configuration at one store revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayConfiguration {
    revision: Revision,
    version: u64,
    /// Routes of each host, longest prefix first.
    routes: HashMap<Box<str>, Vec<Arc<RelayRoute>>>,
    services: HashMap<ServiceName, Arc<ServiceRules>>,
    /// Services that are configured or answer the requests of a route.
    named_services: HashSet<ServiceName>,
    shortest_goal_ms: Option<Millis>,
    /// Ranks of the streams of each service.
    stream_ranks: HashMap<ServiceName, BTreeSet<Rank>>,
    limits: Option<CallerLimits>,
    workspaces: Option<HashMap<KeyDigest, Arc<RelayWorkspace>>>,
}

impl RelayConfiguration {
    /// Validates the parts and builds the lookup tables.
    ///
    /// # Errors
    /// Returns the error of the first invalid route.
    pub fn build(
        revision: Revision,
        parts: RelayConfigurationParts,
    ) -> Result<Self, ConfigurationError> {
        let mut routes: HashMap<Box<str>, Vec<Arc<RelayRoute>>> = HashMap::new();
        let configured = parts.services.iter().map(|it| it.name.clone());
        let mut named_services: HashSet<ServiceName> = configured.collect();
        let stream_ranks = stream_ranks(&parts);
        let shortest_goal_ms = parts.routes.iter().map(|it| it.goal_ms).min();
        for route in parts.routes {
            check_route(&route)?;
            named_services.extend(route.backends.iter().map(|it| it.service.clone()));
            let host = route.host.to_ascii_lowercase().into_boxed_str();
            routes.entry(host).or_default().push(Arc::new(route));
        }
        for listed in routes.values_mut() {
            listed.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = parts.services.into_iter();
        let services = services.map(|it| (it.name.clone(), Arc::new(it))).collect();
        Ok(Self {
            revision,
            version: parts.version,
            routes,
            services,
            named_services,
            shortest_goal_ms,
            stream_ranks,
            limits: parts.limits,
            workspaces: parts.workspaces.map(index_keys),
        })
    }

    /// Store revision of the document.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Version that the operator gave it.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Route with the longest prefix of the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RelayRoute>> {
        let mut listed = self.routes.get(host)?.iter();
        listed.find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Configuration of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceRules>> {
        self.services.get(name)
    }

    /// Whether a service is configured or answers the requests of a route.
    pub fn names_service(&self, name: &ServiceName) -> bool {
        self.named_services.contains(name)
    }

    /// Class of a stream's rank among those of all streams of its service.
    pub fn rank_class(&self, service: &ServiceName, rank: Rank) -> RankClass {
        let ranks = self.stream_ranks.get(service).into_iter().flatten();
        RankClass::among(rank, ranks.copied())
    }

    /// Shortest target for a response time; `None` without a route.
    pub fn shortest_goal_ms(&self) -> Option<Millis> {
        self.shortest_goal_ms
    }

    /// Limits of callers.
    pub fn limits(&self) -> Option<&CallerLimits> {
        self.limits.as_ref()
    }

    /// Whether callers need keys.
    pub fn has_workspaces(&self) -> bool {
        self.workspaces.is_some()
    }

    /// Workspace to which a key belongs.
    pub fn workspace(&self, key: &str) -> Option<&Arc<RelayWorkspace>> {
        self.workspaces.as_ref()?.get(&KeyDigest::of_key(key))
    }
}

/// Ranks of the streams of each service: those of the routes, and of the workspaces, whose ranks
/// override them.
fn stream_ranks(parts: &RelayConfigurationParts) -> HashMap<ServiceName, BTreeSet<Rank>> {
    let workspaces = parts.workspaces.iter().flatten();
    let overriding: BTreeSet<Rank> = workspaces.filter_map(|(it, _)| it.rank).collect();
    let mut ranks: HashMap<ServiceName, BTreeSet<Rank>> = HashMap::new();
    for route in parts.routes.iter().filter(|it| it.repeat.is_stream()) {
        for backend in &route.backends {
            let listed = ranks.entry(backend.service.clone()).or_default();
            listed.insert(route.rank);
            listed.extend(&overriding);
        }
    }
    ranks
}

pub(super) fn check_route(route: &RelayRoute) -> Result<(), ConfigurationError> {
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(ConfigurationError::PathPrefix {
            route: route.name.clone(),
            path_prefix: prefix.clone(),
        });
    }
    if route.backends.is_empty() {
        return Err(ConfigurationError::NoBackend(route.name.clone()));
    }
    Ok(())
}

fn index_keys(
    workspaces: Vec<(RelayWorkspace, Vec<KeyDigest>)>,
) -> HashMap<KeyDigest, Arc<RelayWorkspace>> {
    let mut index = HashMap::new();
    for (workspace, keys) in workspaces {
        let workspace = Arc::new(workspace);
        index.extend(keys.into_iter().map(|key| (key, Arc::clone(&workspace))));
    }
    index
}
