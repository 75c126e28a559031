//! Differences from the version in force, and their effect on callers.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use parsleylatch_settings::KeyDigest;
use parsleylatch_types::{ServiceName, WorkspaceId};

use super::{
    finding::{
        ConfigurationPlace, Finding, FindingKind, LimitField, RouteField, ServiceField,
        WorkspaceField,
    },
    unmatched::used_backends,
};
use crate::relay::configuration::{
    CallerLimits, RelayConfigurationParts, RelayRoute, RepeatPolicy, ServiceRules,
};

/// Compares a configuration with the one in force; the most serious findings come first.
pub fn compare_configurations(
    in_force: &RelayConfigurationParts,
    next: &RelayConfigurationParts,
) -> Vec<Finding> {
    let mut findings: Vec<Finding> = version(in_force, next).into_iter().collect();
    findings.extend(routes(in_force, next));
    findings.extend(services(in_force, next));
    findings.extend(limits(in_force.limits.as_ref(), next.limits.as_ref()));
    findings.extend(workspaces(in_force, next));
    findings.sort_by_key(|it| std::cmp::Reverse(it.severity()));
    findings
}

fn version(in_force: &RelayConfigurationParts, next: &RelayConfigurationParts) -> Option<Finding> {
    let (known, new) = (in_force.version, next.version);
    let place = ConfigurationPlace::Version;
    if new < known {
        let message = format!("version {new} is lower than {known}, which is in force");
        return Some(Finding::new(FindingKind::VersionLowered, place, message));
    }
    (new == known && in_force != next).then(|| {
        let message = format!("version {new} is in force with other contents");
        Finding::new(FindingKind::VersionUnchanged, place, message)
    })
}

/// Routes by host and path prefix; of several with the same, the first is matched.
type MatchedRoutes<'a> = BTreeMap<(String, &'a str), (usize, &'a RelayRoute)>;

fn matched_routes(parts: &RelayConfigurationParts) -> MatchedRoutes<'_> {
    let mut matched = MatchedRoutes::new();
    for (index, route) in parts.routes.iter().enumerate() {
        let key = (route.host.to_ascii_lowercase(), &*route.path_prefix);
        matched.entry(key).or_insert((index, route));
    }
    matched
}

/// Route that matches the requests of a host and path prefix, if it is not the route itself.
fn covering<'a>(
    matched: &MatchedRoutes<'a>,
    host: &str,
    path_prefix: &str,
) -> Option<&'a RelayRoute> {
    let covers = |(known_host, prefix): &(String, &str)| {
        known_host == host && *prefix != path_prefix && path_prefix.starts_with(prefix)
    };
    let covering = matched.iter().filter(|(key, _)| covers(key));
    let longest = covering.max_by_key(|((_, prefix), _)| prefix.len());
    longest.map(|(_, (_, route))| *route)
}

fn routes(in_force: &RelayConfigurationParts, next: &RelayConfigurationParts) -> Vec<Finding> {
    let mut findings = Vec::new();
    let (known, new) = (matched_routes(in_force), matched_routes(next));
    for (key, (index, route)) in &known {
        if new.contains_key(key) {
            continue;
        }
        let (host, prefix) = key;
        let effect = match covering(&new, host, prefix) {
            Some(other) => format!("its requests match route {}", other.name),
            None => "its requests get 404".to_owned(),
        };
        let message = format!("route {} ({host}{prefix}) is removed: {effect}", route.name);
        let place = ConfigurationPlace::Route(*index, RouteField::Name);
        findings.push(Finding::in_force(FindingKind::RouteRemoved, place, message));
    }
    for (key, (index, route)) in &new {
        let Some((_, earlier)) = known.get(key) else {
            let (host, prefix) = key;
            let effect = match covering(&known, host, prefix) {
                Some(other) => format!("; it takes requests of route {}", other.name),
                None => String::new(),
            };
            let message = format!("route {} ({host}{prefix}) is added{effect}", route.name);
            let place = ConfigurationPlace::Route(*index, RouteField::Name);
            findings.push(Finding::new(FindingKind::RouteAdded, place, message));
            continue;
        };
        findings.extend(changes_of_route(*index, earlier, route));
    }
    findings
}

fn changes_of_route(index: usize, earlier: &RelayRoute, route: &RelayRoute) -> Vec<Finding> {
    let name = &route.name;
    let mut findings = Vec::new();
    let mut add = |kind, field, message| {
        let place = ConfigurationPlace::Route(index, field);
        findings.push(Finding::new(kind, place, message));
    };
    if earlier.repeat != route.repeat {
        let message = format!(
            "route {name} changes from {} to {}: {}",
            repeat_name(earlier.repeat),
            repeat_name(route.repeat),
            repeat_effect(earlier.repeat, route.repeat)
        );
        add(FindingKind::RepeatChanged, RouteField::Repeat, message);
    }
    if route.timeout_ms < earlier.timeout_ms {
        let message = format!(
            "route {name}: timeout lowered from {} to {}; requests that take longer fail",
            earlier.timeout_ms, route.timeout_ms
        );
        add(FindingKind::LimitLowered, RouteField::TimeoutMs, message);
    }
    if route.attempts < earlier.attempts {
        let message = format!(
            "route {name}: attempts lowered from {} to {}; more failures reach callers",
            earlier.attempts, route.attempts
        );
        add(FindingKind::LimitLowered, RouteField::Attempts, message);
    }
    if route.rank > earlier.rank {
        let message = format!(
            "route {name}: rank changes from {} to {}; its requests are served after others",
            earlier.rank, route.rank
        );
        add(FindingKind::RankLowered, RouteField::Rank, message);
    }
    match (earlier.is_public, route.is_public) {
        (true, false) => {
            let message = format!("route {name} needs a key: callers without one get 401");
            add(FindingKind::KeysRequired, RouteField::IsPublic, message);
        }
        (false, true) => {
            let message = format!("route {name} needs no key any more");
            add(FindingKind::KeysNotRequired, RouteField::IsPublic, message);
        }
        _ => {}
    }
    let (known, new) = (used_services(earlier), used_services(route));
    if known != new {
        let message = format!("route {name}: services change from {known} to {new}");
        add(FindingKind::BackendsChanged, RouteField::Backends, message);
    }
    findings
}

/// Names of the services that get requests of a route, in order.
fn used_services(route: &RelayRoute) -> String {
    let names: BTreeSet<&ServiceName> = used_backends(route).map(|it| it.1).collect();
    let names: Vec<&str> = names.into_iter().map(ServiceName::as_str).collect();
    names.join(", ")
}

fn repeat_name(repeat: RepeatPolicy) -> &'static str {
    match repeat {
        RepeatPolicy::Idempotent => "idempotent",
        RepeatPolicy::OnceOnly => "once-only",
        RepeatPolicy::Stream { resumable: false } => "stream",
        RepeatPolicy::Stream { resumable: true } => "resumable stream",
    }
}

fn repeat_effect(earlier: RepeatPolicy, next: RepeatPolicy) -> &'static str {
    if earlier.is_stream() != next.is_stream() {
        return "callers get another kind of response";
    }
    match (earlier.may_run_again(), next.may_run_again()) {
        (true, false) => "a request that may have run isn't sent again",
        _ => "a request that may have run is sent again, and may run twice",
    }
}

/// Services by name; of several entries with the same, the last is in force.
fn services_by_name(
    parts: &RelayConfigurationParts,
) -> BTreeMap<&ServiceName, (usize, &ServiceRules)> {
    let listed = parts.services.iter().enumerate();
    listed.map(|(index, it)| (&it.name, (index, it))).collect()
}

fn services(in_force: &RelayConfigurationParts, next: &RelayConfigurationParts) -> Vec<Finding> {
    let mut findings = Vec::new();
    let known = services_by_name(in_force);
    for (name, (index, service)) in services_by_name(next) {
        let Some((_, earlier)) = known.get(name) else {
            continue;
        };
        if service.connection_limit < earlier.connection_limit {
            let message = format!(
                "service {name}: connections per endpoint lowered from {} to {}",
                earlier.connection_limit, service.connection_limit
            );
            let place = ConfigurationPlace::Service(index, ServiceField::ConnectionLimit);
            findings.push(Finding::new(FindingKind::LimitLowered, place, message));
        }
        if earlier.has_backups && !service.has_backups {
            let message = format!(
                "service {name}: runs are no longer copied to a backup; a stream that loses its \
                 engine starts from its prompt"
            );
            let place = ConfigurationPlace::Service(index, ServiceField::HasBackups);
            findings.push(Finding::new(FindingKind::BackupsWithdrawn, place, message));
        }
    }
    findings
}

fn limits(in_force: Option<&CallerLimits>, next: Option<&CallerLimits>) -> Vec<Finding> {
    let Some(next) = next else {
        return Vec::new();
    };
    let Some(earlier) = in_force else {
        let message = "limits are set that were the defaults".to_owned();
        let place = ConfigurationPlace::Limits;
        return vec![Finding::new(FindingKind::LimitLowered, place, message)];
    };
    let sizes = [
        (
            LimitField::HeadBytes,
            earlier.head_bytes,
            next.head_bytes,
            "larger heads get 431",
        ),
        (
            LimitField::BodyBytes,
            earlier.body_bytes,
            next.body_bytes,
            "larger bodies get 413",
        ),
    ];
    let times = [
        (
            LimitField::HeadTimeoutMs,
            earlier.head_timeout_ms,
            next.head_timeout_ms,
            "slower uploads are refused",
        ),
        (
            LimitField::IdleTimeoutMs,
            earlier.idle_timeout_ms,
            next.idle_timeout_ms,
            "connections are closed earlier",
        ),
    ];
    let lowered = |field, from: String, to: String, effect| {
        let message = format!("lowered from {from} to {to}; {effect}");
        let place = ConfigurationPlace::Limit(field);
        Finding::new(FindingKind::LimitLowered, place, message)
    };
    let sizes = sizes.into_iter().filter(|it| it.2 < it.1);
    let times = times.into_iter().filter(|it| it.2 < it.1);
    sizes
        .map(|(field, from, to, effect)| lowered(field, from.to_string(), to.to_string(), effect))
        .chain(times.map(|(field, from, to, effect)| {
            lowered(field, from.to_string(), to.to_string(), effect)
        }))
        .collect()
}

/// Workspace of each key; of several, the last one gets it.
fn key_owners(parts: &RelayConfigurationParts) -> HashMap<KeyDigest, &WorkspaceId> {
    let listed = parts.workspaces.iter().flatten();
    listed
        .flat_map(|(workspace, keys)| keys.iter().map(|key| (*key, &workspace.id)))
        .collect()
}

fn workspaces(in_force: &RelayConfigurationParts, next: &RelayConfigurationParts) -> Vec<Finding> {
    let place = ConfigurationPlace::Workspaces;
    let (earlier, listed) = match (&in_force.workspaces, &next.workspaces) {
        (Some(earlier), Some(listed)) => (earlier, listed),
        (None, Some(_)) => {
            let message = "callers without a key get 401, except on public routes".to_owned();
            return vec![Finding::new(FindingKind::KeysRequired, place, message)];
        }
        (Some(_), None) => {
            let message = "callers need no key any more".to_owned();
            let finding = Finding::in_force(FindingKind::KeysNotRequired, place, message);
            return vec![finding];
        }
        (None, None) => return Vec::new(),
    };
    let mut findings = Vec::new();
    let (known, new) = (key_owners(in_force), key_owners(next));
    for (index, (workspace, keys)) in earlier.iter().enumerate() {
        let id = &workspace.id;
        let own: HashSet<&KeyDigest> = keys.iter().filter(|key| known[key] == id).collect();
        let withdrawn = own.iter().filter(|key| !new.contains_key(**key)).count();
        let moved = own.iter().filter_map(|key| new.get(*key));
        let moved = moved.filter(|owner| **owner != id).count();
        let place = ConfigurationPlace::Workspace(index, WorkspaceField::Keys);
        if withdrawn > 0 {
            let message = format!(
                "{withdrawn} of {} keys of workspace {id} withdrawn: their callers get 401",
                own.len()
            );
            let kind = FindingKind::KeysWithdrawn;
            findings.push(Finding::in_force(kind, place, message));
        }
        if moved > 0 {
            let message = format!("{moved} of {} keys of workspace {id} moved", own.len());
            let kind = FindingKind::KeysMoved;
            findings.push(Finding::in_force(kind, place, message));
        }
    }
    for (index, (workspace, _)) in listed.iter().enumerate() {
        let id = &workspace.id;
        let known = earlier.iter().find(|(it, _)| it.id == *id);
        let ranks = known.map(|(it, _)| it.rank).zip(Some(workspace.rank));
        if let Some((Some(from), Some(to))) = ranks
            && to > from
        {
            let message = format!(
                "workspace {id}: rank changes from {from} to {to}; its requests are served after \
                 others"
            );
            let place = ConfigurationPlace::Workspace(index, WorkspaceField::Rank);
            findings.push(Finding::new(FindingKind::RankLowered, place, message));
        }
    }
    findings
}
