//! Findings about configurations of the relay.

use parsleylatch_decide::relay::{
    Backend, CallerLimits, ConfigurationPlace, Finding, FindingKind, LimitField,
    RelayConfigurationParts, RelayRoute, RelayWorkspace, RepeatPolicy, RouteField, ServiceField,
    ServiceRules, Severity, WorkspaceField, check_configuration, compare_configurations,
};
use parsleylatch_settings::KeyDigest;
use parsleylatch_types::{ByteCount, Millis, Rank, Weight};
use test_case::test_case;

type Edit = fn(&mut RelayConfigurationParts);

fn backend(service: &str, weight: u32) -> Backend {
    Backend {
        service: service.parse().unwrap(),
        weight: Weight::new(weight),
    }
}

fn route(name: &str, path_prefix: &str, repeat: RepeatPolicy) -> RelayRoute {
    RelayRoute {
        name: name.parse().unwrap(),
        host: "a.example".into(),
        path_prefix: path_prefix.into(),
        repeat,
        timeout_ms: Millis::new(2_500),
        goal_ms: Millis::new(150),
        gap_goal_ms: Some(Millis::new(700)),
        rank: Rank::new(1),
        attempts: if repeat == RepeatPolicy::OnceOnly {
            1
        } else {
            3
        },
        is_public: false,
        backends: vec![backend("desk", 1)],
    }
}

fn service(name: &str) -> ServiceRules {
    ServiceRules {
        name: name.parse().unwrap(),
        connection_limit: 100,
        has_backups: true,
    }
}

fn workspace(id: &str, keys: &[&str]) -> (RelayWorkspace, Vec<KeyDigest>) {
    let workspace = RelayWorkspace {
        id: id.parse().unwrap(),
        rank: Some(Rank::new(2)),
    };
    let keys = keys.iter().map(|key| KeyDigest::of_key(key));
    (workspace, keys.collect())
}

/// A configuration without findings.
fn clean() -> RelayConfigurationParts {
    RelayConfigurationParts {
        version: 5,
        routes: vec![
            route("r-0", "/look-up/", RepeatPolicy::Idempotent),
            route("r-1", "/book/", RepeatPolicy::OnceOnly),
            route("r-2", "/stream/", RepeatPolicy::Stream { resumable: true }),
        ],
        services: vec![service("desk")],
        limits: Some(CallerLimits {
            head_bytes: ByteCount::new(16_384),
            body_bytes: ByteCount::new(10_000),
            head_timeout_ms: Millis::new(500),
            idle_timeout_ms: Millis::new(15_000),
        }),
        workspaces: Some(vec![
            workspace("w-0", &["key-0", "key-1"]),
            workspace("w-1", &["key-2"]),
        ]),
    }
}

fn edited(edit: Edit) -> RelayConfigurationParts {
    let mut parts = clean();
    edit(&mut parts);
    parts
}

fn kinds_and_places(findings: &[Finding]) -> Vec<(FindingKind, ConfigurationPlace)> {
    findings.iter().map(|it| (it.kind, it.place)).collect()
}

/// Guards against findings about what is sound, which operators would learn to ignore.
#[test]
fn check_configuration_clean() {
    assert_eq!(check_configuration(&clean()), []);
    let minimal = RelayConfigurationParts::default();
    assert_eq!(check_configuration(&minimal), []);
}

/// Each mistake gives one finding at its place.
#[test_case(|it| it.routes[1].path_prefix = "/book".into(),
    FindingKind::InvalidRoute, ConfigurationPlace::Route(1, RouteField::PathPrefix) ; "prefix without end")]
#[test_case(|it| it.routes[1].backends.clear(),
    FindingKind::InvalidRoute, ConfigurationPlace::Route(1, RouteField::Backends) ; "no backend")]
#[test_case(|it| it.routes[2].path_prefix = "/book/".into(),
    FindingKind::ShadowedRoute, ConfigurationPlace::Route(2, RouteField::PathPrefix) ; "same prefix")]
#[test_case(|it| { it.routes[2].path_prefix = "/book/".into(); it.routes[2].host = "A.Example".into(); },
    FindingKind::ShadowedRoute, ConfigurationPlace::Route(2, RouteField::PathPrefix) ; "same host in capitals")]
#[test_case(|it| it.routes[0].host = "a.example:80".into(),
    FindingKind::UnmatchableRoute, ConfigurationPlace::Route(0, RouteField::Host) ; "host with port")]
#[test_case(|it| it.routes[0].path_prefix = "/x?y/".into(),
    FindingKind::UnmatchableRoute, ConfigurationPlace::Route(0, RouteField::PathPrefix) ; "prefix with query")]
#[test_case(|it| it.routes[2].name = "r-0".parse().unwrap(),
    FindingKind::RepeatedRouteName, ConfigurationPlace::Route(2, RouteField::Name) ; "same name")]
#[test_case(|it| { it.services.push(service("spare")); it.routes[0].backends.push(backend("spare", 0)); },
    FindingKind::UnusedBackend, ConfigurationPlace::Backend { route: 0, backend: 1 } ; "weight 0")]
#[test_case(|it| it.services.push(service("spare")),
    FindingKind::UnusedService, ConfigurationPlace::Service(1, ServiceField::Name) ; "unused service")]
#[test_case(|it| it.routes[0].backends.push(backend("spare", 1)),
    FindingKind::UnknownService, ConfigurationPlace::Backend { route: 0, backend: 1 } ; "unknown service")]
#[test_case(|it| it.services.push(service("desk")),
    FindingKind::ReplacedService, ConfigurationPlace::Service(0, ServiceField::Name) ; "service twice")]
#[test_case(|it| it.workspaces.as_mut().unwrap().push(workspace("w-2", &[])),
    FindingKind::WorkspaceWithoutKeys, ConfigurationPlace::Workspace(2, WorkspaceField::Keys) ; "no keys")]
#[test_case(|it| it.workspaces = Some(Vec::new()),
    FindingKind::NoKeys, ConfigurationPlace::Workspaces ; "no workspace")]
#[test_case(|it| it.workspaces.as_mut().unwrap().push(workspace("w-2", &["key-1", "key-0"])),
    FindingKind::RepeatedKey, ConfigurationPlace::Workspace(2, WorkspaceField::Keys) ; "key twice")]
#[test_case(|it| it.routes[1].goal_ms = Millis::new(2_501),
    FindingKind::ContradictoryLimits, ConfigurationPlace::Route(1, RouteField::GoalMs) ; "goal over timeout")]
#[test_case(|it| it.routes[2].gap_goal_ms = Some(Millis::new(2_501)),
    FindingKind::ContradictoryLimits, ConfigurationPlace::Route(2, RouteField::GapGoalMs) ; "gap goal over timeout")]
#[test_case(|it| it.limits.as_mut().unwrap().head_timeout_ms = Millis::new(15_001),
    FindingKind::ContradictoryLimits, ConfigurationPlace::Limit(LimitField::HeadTimeoutMs) ; "head over idle timeout")]
#[test_case(|it| it.routes[1].attempts = 2,
    FindingKind::SeveralAttempts, ConfigurationPlace::Route(1, RouteField::Attempts) ; "once only with attempts")]
#[test_case(|it| it.limits.as_mut().unwrap().head_bytes = ByteCount::ZERO,
    FindingKind::ZeroLimit, ConfigurationPlace::Limit(LimitField::HeadBytes) ; "no head")]
#[test_case(|it| it.services[0].connection_limit = 0,
    FindingKind::ZeroLimit, ConfigurationPlace::Service(0, ServiceField::ConnectionLimit) ; "no connections")]
fn check_configuration_mistake(edit: Edit, kind: FindingKind, place: ConfigurationPlace) {
    let findings = check_configuration(&edited(edit));
    assert_eq!(kinds_and_places(&findings), [(kind, place)], "{findings:?}");
}

/// Limits that are equal don't contradict each other.
#[test_case(|it| it.routes[1].goal_ms = Millis::new(2_500) ; "goal")]
#[test_case(|it| it.routes[1].gap_goal_ms = Some(Millis::new(2_500)) ; "gap goal")]
#[test_case(|it| it.limits.as_mut().unwrap().head_timeout_ms = Millis::new(15_000) ; "head timeout")]
fn check_configuration_limits_equal(edit: Edit) {
    assert_eq!(check_configuration(&edited(edit)), []);
}

/// A weight of 0 counts only beside others: the relay sends a single backend all requests, and
/// the first of several whose weights are all 0.
#[test]
fn check_configuration_weights_zero() {
    let single = edited(|it| it.routes[0].backends = vec![backend("desk", 0)]);
    assert_eq!(check_configuration(&single), []);
    let all = edited(|it| it.routes[0].backends = vec![backend("desk", 0), backend("desk", 0)]);
    let place = ConfigurationPlace::Backend {
        route: 0,
        backend: 1,
    };
    let findings = check_configuration(&all);
    assert_eq!(
        kinds_and_places(&findings),
        [(FindingKind::UnusedBackend, place)]
    );
}

/// All invalid routes are found, not only the first, and errors come before warnings.
#[test]
fn check_configuration_errors_first() {
    let parts = edited(|it| {
        it.routes[0].goal_ms = Millis::MAX;
        it.routes[1].path_prefix = "book".into();
        it.routes[2].backends.clear();
    });
    let findings = check_configuration(&parts);
    let severities: Vec<Severity> = findings.iter().map(Finding::severity).collect();
    let expected = [Severity::Error, Severity::Error, Severity::Warning];
    assert_eq!(severities, expected);
}

#[test]
fn compare_configurations_same() {
    assert_eq!(compare_configurations(&clean(), &clean()), []);
    let next = edited(|it| it.version = 6);
    assert_eq!(compare_configurations(&clean(), &next), []);
}

/// What takes something from callers is found at its place, which is in the version in force
/// if the new one lacks it.
#[test_case(|it| { it.routes.remove(0); },
    FindingKind::RouteRemoved, ConfigurationPlace::Route(0, RouteField::Name), true ; "route removed")]
#[test_case(|it| it.routes.push(route("r-3", "/book/now/", RepeatPolicy::Idempotent)),
    FindingKind::RouteAdded, ConfigurationPlace::Route(3, RouteField::Name), false ; "route added")]
#[test_case(|it| it.routes[0].repeat = RepeatPolicy::OnceOnly,
    FindingKind::RepeatChanged, ConfigurationPlace::Route(0, RouteField::Repeat), false ; "repeat")]
#[test_case(|it| it.routes[0].timeout_ms = Millis::new(2_499),
    FindingKind::LimitLowered, ConfigurationPlace::Route(0, RouteField::TimeoutMs), false ; "timeout")]
#[test_case(|it| it.routes[0].attempts = 2,
    FindingKind::LimitLowered, ConfigurationPlace::Route(0, RouteField::Attempts), false ; "attempts")]
#[test_case(|it| it.routes[0].rank = Rank::new(2),
    FindingKind::RankLowered, ConfigurationPlace::Route(0, RouteField::Rank), false ; "rank")]
#[test_case(|it| it.routes[0].is_public = true,
    FindingKind::KeysNotRequired, ConfigurationPlace::Route(0, RouteField::IsPublic), false ; "public")]
#[test_case(|it| it.routes[0].backends = vec![backend("other", 1)],
    FindingKind::BackendsChanged, ConfigurationPlace::Route(0, RouteField::Backends), false ; "backends")]
#[test_case(|it| it.services[0].connection_limit = 99,
    FindingKind::LimitLowered, ConfigurationPlace::Service(0, ServiceField::ConnectionLimit), false ; "connections")]
#[test_case(|it| it.services[0].has_backups = false,
    FindingKind::BackupsWithdrawn, ConfigurationPlace::Service(0, ServiceField::HasBackups), false ; "backups")]
#[test_case(|it| it.limits.as_mut().unwrap().body_bytes = ByteCount::new(9_999),
    FindingKind::LimitLowered, ConfigurationPlace::Limit(LimitField::BodyBytes), false ; "body")]
#[test_case(|it| it.limits.as_mut().unwrap().idle_timeout_ms = Millis::new(14_999),
    FindingKind::LimitLowered, ConfigurationPlace::Limit(LimitField::IdleTimeoutMs), false ; "idle timeout")]
#[test_case(|it| { it.workspaces.as_mut().unwrap()[0].1.pop(); },
    FindingKind::KeysWithdrawn, ConfigurationPlace::Workspace(0, WorkspaceField::Keys), true ; "key withdrawn")]
#[test_case(|it| { it.workspaces.as_mut().unwrap().pop(); },
    FindingKind::KeysWithdrawn, ConfigurationPlace::Workspace(1, WorkspaceField::Keys), true ; "workspace removed")]
#[test_case(|it| it.workspaces.as_mut().unwrap()[1].0.rank = Some(Rank::new(3)),
    FindingKind::RankLowered, ConfigurationPlace::Workspace(1, WorkspaceField::Rank), false ; "workspace rank")]
#[test_case(|it| it.workspaces = None,
    FindingKind::KeysNotRequired, ConfigurationPlace::Workspaces, true ; "no workspaces")]
fn compare_configurations_change(
    edit: Edit,
    kind: FindingKind,
    place: ConfigurationPlace,
    is_in_force: bool,
) {
    let mut next = edited(edit);
    next.version = 6;
    let findings = compare_configurations(&clean(), &next);
    assert_eq!(kinds_and_places(&findings), [(kind, place)], "{findings:?}");
    assert_eq!(findings[0].is_in_force, is_in_force);
}

/// What gives callers more is none of their concern.
#[test_case(|it| it.routes[0].timeout_ms = Millis::new(2_499) ; "timeout raised")]
#[test_case(|it| it.limits.as_mut().unwrap().body_bytes = ByteCount::new(9_999) ; "body raised")]
#[test_case(|it| { it.workspaces.as_mut().unwrap()[0].1.pop(); } ; "key added")]
fn compare_configurations_raised(earlier: Edit) {
    let next = edited(|it| it.version = 6);
    assert_eq!(compare_configurations(&edited(earlier), &next), []);
}

/// The requests of a removed route go to a route with a shorter prefix, or get 404.
#[test]
fn compare_configurations_removed_effect() {
    let detail = || route("r-3", "/book/now/", RepeatPolicy::OnceOnly);
    let mut in_force = clean();
    in_force.routes.push(detail());
    let covered = compare_configurations(&in_force, &edited(|it| it.version = 6));
    assert!(
        covered[0].message.contains("match route r-1"),
        "{covered:?}"
    );
    let next = edited(|it| {
        it.version = 6;
        it.routes.remove(1);
    });
    let gone = compare_configurations(&in_force, &next);
    assert_eq!(gone.len(), 2);
    assert!(gone.iter().all(|it| it.message.contains("404")), "{gone:?}");
}

/// A route in front of another changes which one is matched.
#[test]
fn compare_configurations_first_of_same_matched() {
    let next = edited(|it| {
        it.version = 6;
        let public = RelayRoute {
            is_public: true,
            ..route("r-3", "/book/", RepeatPolicy::OnceOnly)
        };
        it.routes.insert(0, public);
    });
    let findings = compare_configurations(&clean(), &next);
    let place = ConfigurationPlace::Route(0, RouteField::IsPublic);
    assert_eq!(
        kinds_and_places(&findings),
        [(FindingKind::KeysNotRequired, place)]
    );
}

#[test]
fn compare_configurations_key_moved() {
    let next = edited(|it| {
        it.version = 6;
        let workspaces = it.workspaces.as_mut().unwrap();
        let key = workspaces[0].1.pop().unwrap();
        workspaces[1].1.push(key);
    });
    let findings = compare_configurations(&clean(), &next);
    let place = ConfigurationPlace::Workspace(0, WorkspaceField::Keys);
    assert_eq!(
        kinds_and_places(&findings),
        [(FindingKind::KeysMoved, place)]
    );
}

/// Messages name how many keys are withdrawn, and no key or digest.
#[test]
fn compare_configurations_keys_not_shown() {
    let next = edited(|it| {
        it.version = 6;
        it.workspaces.as_mut().unwrap()[0].1.pop();
    });
    let message = &compare_configurations(&clean(), &next)[0].message;
    assert!(
        message.starts_with("1 of 2 keys of workspace w-0"),
        "{message}"
    );
    assert!(!message.contains(&KeyDigest::of_key("key-1").to_string()[..8]));
}

/// The relay keeps the version in force if the new one is lower.
#[test_case(4, FindingKind::VersionLowered, Severity::Error ; "lower")]
#[test_case(5, FindingKind::VersionUnchanged, Severity::Warning ; "same with other contents")]
fn compare_configurations_version(version: u64, kind: FindingKind, severity: Severity) {
    let mut next = edited(|it| it.routes[0].timeout_ms = Millis::new(3_000));
    next.version = version;
    let findings = compare_configurations(&clean(), &next);
    let expected = [(kind, ConfigurationPlace::Version)];
    assert_eq!(kinds_and_places(&findings), expected);
    assert_eq!(findings[0].severity(), severity);
}
