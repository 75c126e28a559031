//! Entries that no request ever matches.

use std::collections::{HashMap, HashSet};

use parsleylatch_types::ServiceName;

use super::finding::{
    ConfigurationPlace, Finding, FindingKind, RouteField, ServiceField, WorkspaceField,
};
use crate::relay::configuration::{RelayConfigurationParts, RelayRoute};

pub(super) fn find(parts: &RelayConfigurationParts) -> Vec<Finding> {
    [
        routes(parts),
        backends(parts),
        services(parts),
        workspaces(parts),
    ]
    .concat()
}

fn routes(parts: &RelayConfigurationParts) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut names = HashMap::new();
    let mut matched = HashMap::new();
    for (index, route) in parts.routes.iter().enumerate() {
        let mut add = |kind, field, message| {
            let place = ConfigurationPlace::Route(index, field);
            findings.push(Finding::new(kind, place, message));
        };
        let name = &route.name;
        if route.host.contains(':') {
            let message = format!(
                "route {name}: no request has the host `{}`, as the port is left out",
                route.host
            );
            add(FindingKind::UnmatchableRoute, RouteField::Host, message);
        }
        if route.path_prefix.contains(['?', '#']) {
            let message = format!(
                "route {name}: no path begins with `{}`, as the query is left out",
                route.path_prefix
            );
            add(
                FindingKind::UnmatchableRoute,
                RouteField::PathPrefix,
                message,
            );
        }
        let key = (route.host.to_ascii_lowercase(), &route.path_prefix);
        let first = *matched.entry(key).or_insert(index);
        if first != index {
            let message = format!(
                "route {name} never matches: route {} has the same host and path prefix",
                parts.routes[first].name
            );
            add(FindingKind::ShadowedRoute, RouteField::PathPrefix, message);
        }
        let first = *names.entry(name).or_insert(index);
        if first != index {
            let message = format!("route {name} has the name of an earlier route");
            add(FindingKind::RepeatedRouteName, RouteField::Name, message);
        }
    }
    findings
}

/// Backends of a route that get requests. A single backend gets all, whatever its weight, and
/// the first one if all weights are zero.
pub(super) fn used_backends(route: &RelayRoute) -> impl Iterator<Item = (usize, &ServiceName)> {
    let has_weights = route.backends.iter().any(|it| it.weight.get() > 0);
    let listed = route.backends.iter().enumerate();
    listed
        .filter(move |(index, it)| it.weight.get() > 0 || !has_weights && *index == 0)
        .map(|(index, it)| (index, &it.service))
}

fn backends(parts: &RelayConfigurationParts) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (route, entry) in parts.routes.iter().enumerate() {
        let used: HashSet<usize> = used_backends(entry).map(|(index, _)| index).collect();
        for (backend, it) in entry.backends.iter().enumerate() {
            if !used.contains(&backend) {
                let message = format!(
                    "route {}: service {} has weight 0 and gets no requests",
                    entry.name, it.service
                );
                let place = ConfigurationPlace::Backend { route, backend };
                findings.push(Finding::new(FindingKind::UnusedBackend, place, message));
            }
        }
    }
    findings
}

fn services(parts: &RelayConfigurationParts) -> Vec<Finding> {
    let mut findings = Vec::new();
    let used: HashSet<&ServiceName> = parts
        .routes
        .iter()
        .flat_map(|route| route.backends.iter().map(|it| &it.service))
        .collect();
    let last: HashMap<&ServiceName, usize> = parts
        .services
        .iter()
        .enumerate()
        .map(|(index, it)| (&it.name, index))
        .collect();
    for (index, service) in parts.services.iter().enumerate() {
        let place = ConfigurationPlace::Service(index, ServiceField::Name);
        let name = &service.name;
        if !used.contains(name) {
            let message = format!("service {name} is used by no route");
            findings.push(Finding::new(FindingKind::UnusedService, place, message));
        }
        if last[name] != index {
            let message = format!("service {name} is configured again later, which replaces this");
            findings.push(Finding::new(FindingKind::ReplacedService, place, message));
        }
    }
    // Services need no entry, so their absence is suspect only beside the entries of others.
    let routes = parts.routes.iter().enumerate();
    for (route, entry) in routes.filter(|_| !parts.services.is_empty()) {
        for (backend, it) in entry.backends.iter().enumerate() {
            if !last.contains_key(&it.service) {
                let message = format!(
                    "route {}: service {} is not among the services",
                    entry.name, it.service
                );
                let place = ConfigurationPlace::Backend { route, backend };
                findings.push(Finding::new(FindingKind::UnknownService, place, message));
            }
        }
    }
    findings
}

fn workspaces(parts: &RelayConfigurationParts) -> Vec<Finding> {
    let Some(workspaces) = &parts.workspaces else {
        return Vec::new();
    };
    let mut findings = Vec::new();
    let mut owners = HashMap::new();
    for (index, (workspace, keys)) in workspaces.iter().enumerate() {
        let place = ConfigurationPlace::Workspace(index, WorkspaceField::Keys);
        let id = &workspace.id;
        if keys.is_empty() {
            let message = format!("workspace {id} has no keys, so no caller belongs to it");
            let kind = FindingKind::WorkspaceWithoutKeys;
            findings.push(Finding::new(kind, place, message));
        }
        let earlier = keys.iter().filter_map(|key| owners.insert(key, id));
        let mut others: Vec<_> = earlier.filter(|owner| *owner != id).collect();
        others.dedup();
        for other in others {
            let message = format!("a key of workspace {other} is also one of {id}, which gets it");
            findings.push(Finding::new(FindingKind::RepeatedKey, place, message));
        }
    }
    let closed = parts.routes.iter().any(|route| !route.is_public);
    if owners.is_empty() && closed {
        let message = "callers need keys, and no workspace has one".to_owned();
        let place = ConfigurationPlace::Workspaces;
        findings.push(Finding::new(FindingKind::NoKeys, place, message));
    }
    findings
}
