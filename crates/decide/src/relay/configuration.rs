//! Routes, services, caller limits and workspace keys, as one immutable value.

use std::{collections::HashMap, sync::Arc};

use parsleylatch_settings::KeyDigest;
use parsleylatch_types::{
    ByteCount, Millis, Rank, Revision, RouteName, ServiceName, Weight, WorkspaceId,
};
use thiserror::Error;

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    OnceOnly,
    /// Answered by a stream of events.
    Stream {
        /// Whether another endpoint may go on after the last event.
        resumable: bool,
    },
}

impl RepeatPolicy {
    /// Whether a request that may have run can be sent again.
    pub fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that a route sends to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Backend {
    /// Service.
    pub service: ServiceName,
    /// Its share among the route's backends.
    pub weight: Weight,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayRoute {
    /// Name.
    pub name: RouteName,
    /// Host that callers name.
    pub host: Box<str>,
    /// Beginning of the path; starts and ends with a slash.
    pub path_prefix: Box<str>,
    /// How often a request may run.
    pub repeat: RepeatPolicy,
    /// Longest time until the answer.
    pub timeout_ms: Millis,
    /// Time within which an answer is worth most.
    pub goal_ms: Millis,
    /// Longest pause between events with which a stream is on time.
    pub gap_goal_ms: Option<Millis>,
    /// Rank of its requests.
    pub rank: Rank,
    /// Most endpoints that may run one request.
    pub attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Services that answer.
    pub backends: Vec<Backend>,
}

/// What the configuration says of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRules {
    /// Name.
    pub name: ServiceName,
    /// Connections that one endpoint accepts from all callers together.
    pub connection_limit: u32,
    /// Whether its endpoints are engines that copy a run's memory to another.
    pub has_backups: bool,
}

/// What a caller may send, and how slowly.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub head_bytes: ByteCount,
    /// Largest body of a request.
    pub body_bytes: ByteCount,
    /// Longest wait for a whole head, and for a pause within a body.
    pub head_timeout_ms: Millis,
    /// Longest time for which a connection may stay unused.
    pub idle_timeout_ms: Millis,
}

/// A workspace that may call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayWorkspace {
    /// Id; endpoints are told it.
    pub id: WorkspaceId,
    /// Rank of its requests; goes before the route's.
    pub rank: Option<Rank>,
}

/// Parts from which a configuration is built.
#[derive(Clone, Debug, Default)]
pub struct RelayConfigurationParts {
    /// Version that the operator gave it.
    pub version: u64,
    /// Routes.
    pub routes: Vec<RelayRoute>,
    /// Services.
    pub services: Vec<ServiceRules>,
    /// Limits of callers, if there are any.
    pub limits: Option<CallerLimits>,
    /// Workspaces with the digests of their keys; `None` if no key is needed.
    pub workspaces: Option<Vec<(RelayWorkspace, Vec<KeyDigest>)>>,
}

/// Why parts are not a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ConfigurationError {
    /// A prefix does not start and end with a slash.
    #[error("route {route}: path prefix `{path_prefix}` does not start and end with a slash")]
    PathPrefix {
        /// Route.
        route: RouteName,
        /// Its prefix.
        path_prefix: Box<str>,
    },
    /// No service answers the route.
    #[error("route {0} has no service")]
    NoBackend(RouteName),
}

/// Configuration in force, at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayConfiguration {
    revision: Revision,
    version: u64,
    /// Routes of each host, longest prefix first.
    routes: HashMap<Box<str>, Vec<Arc<RelayRoute>>>,
    services: HashMap<ServiceName, Arc<ServiceRules>>,
    limits: Option<CallerLimits>,
    workspaces: Option<HashMap<KeyDigest, Arc<RelayWorkspace>>>,
}

impl RelayConfiguration {
    /// Checks the parts and builds the look-up tables.
    ///
    /// # Errors
    /// The first route that can't be used.
    pub fn build(
        revision: Revision,
        parts: RelayConfigurationParts,
    ) -> Result<Self, ConfigurationError> {
        let mut routes: HashMap<Box<str>, Vec<Arc<RelayRoute>>> = HashMap::new();
        for route in parts.routes {
            check_route(&route)?;
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
            limits: parts.limits,
            workspaces: parts.workspaces.map(index_keys),
        })
    }

    /// Store revision at which it was written.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Version that the operator gave it.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Route with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RelayRoute>> {
        let mut listed = self.routes.get(host)?.iter();
        listed.find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Rules of a service.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceRules>> {
        self.services.get(name)
    }

    /// Limits of callers.
    pub fn limits(&self) -> Option<&CallerLimits> {
        self.limits.as_ref()
    }

    /// Whether callers need keys.
    pub fn has_workspaces(&self) -> bool {
        self.workspaces.is_some()
    }

    /// Workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<&Arc<RelayWorkspace>> {
        self.workspaces.as_ref()?.get(&KeyDigest::of_key(key))
    }
}

fn check_route(route: &RelayRoute) -> Result<(), ConfigurationError> {
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
