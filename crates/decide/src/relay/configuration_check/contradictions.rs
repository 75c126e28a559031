//! Limits that contradict each other or leave nothing to serve.

use parsleylatch_types::Millis;

use super::finding::{
    ConfigurationPlace, Finding, FindingKind, LimitField, RouteField, ServiceField,
};
use crate::relay::configuration::{
    CallerLimits, RelayConfigurationParts, RelayRoute, RepeatPolicy,
};

pub(super) fn find(parts: &RelayConfigurationParts) -> Vec<Finding> {
    let routes = parts.routes.iter().enumerate();
    let mut findings: Vec<Finding> = routes
        .flat_map(|(index, route)| of_route(index, route))
        .collect();
    for (index, service) in parts.services.iter().enumerate() {
        if service.connection_limit == 0 {
            let message = format!("service {} allows no connections", service.name);
            let place = ConfigurationPlace::Service(index, ServiceField::ConnectionLimit);
            findings.push(Finding::new(FindingKind::ZeroLimit, place, message));
        }
    }
    findings.extend(parts.limits.iter().flat_map(of_limits));
    findings
}

fn of_route(index: usize, route: &RelayRoute) -> Vec<Finding> {
    let (name, timeout_ms) = (&route.name, route.timeout_ms);
    let mut findings = Vec::new();
    let mut add = |kind, field, message| {
        let place = ConfigurationPlace::Route(index, field);
        findings.push(Finding::new(kind, place, message));
    };
    if timeout_ms == Millis::ZERO {
        let message = format!("route {name}: every request ends at once, as its timeout is 0");
        add(FindingKind::ZeroLimit, RouteField::TimeoutMs, message);
    }
    if route.goal_ms > timeout_ms {
        let message = format!(
            "route {name}: goal {} is over the timeout {timeout_ms}",
            route.goal_ms
        );
        add(
            FindingKind::ContradictoryLimits,
            RouteField::GoalMs,
            message,
        );
    }
    if let Some(gap_goal_ms) = route.gap_goal_ms.filter(|it| *it > timeout_ms) {
        let message =
            format!("route {name}: gap goal {gap_goal_ms} is over the timeout {timeout_ms}");
        let kind = FindingKind::ContradictoryLimits;
        add(kind, RouteField::GapGoalMs, message);
    }
    if route.repeat == RepeatPolicy::OnceOnly && route.attempts > 1 {
        let message = format!(
            "route {name}: of {} attempts, a once-only request uses more than one only if it is \
             known not to have run",
            route.attempts
        );
        add(FindingKind::SeveralAttempts, RouteField::Attempts, message);
    }
    findings
}

fn of_limits(limits: &CallerLimits) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut add = |kind, field, message| {
        findings.push(Finding::new(
            kind,
            ConfigurationPlace::Limit(field),
            message,
        ));
    };
    if limits.head_timeout_ms > limits.idle_timeout_ms {
        let message = format!(
            "timeout of a head {} is over the idle timeout {}",
            limits.head_timeout_ms, limits.idle_timeout_ms
        );
        let kind = FindingKind::ContradictoryLimits;
        add(kind, LimitField::HeadTimeoutMs, message);
    }
    let zero = [
        (limits.head_bytes.get() == 0, LimitField::HeadBytes),
        (
            limits.head_timeout_ms == Millis::ZERO,
            LimitField::HeadTimeoutMs,
        ),
        (
            limits.idle_timeout_ms == Millis::ZERO,
            LimitField::IdleTimeoutMs,
        ),
    ];
    for (_, field) in zero.into_iter().filter(|(is_zero, _)| *is_zero) {
        let message = "limit is 0, so that no request can be read".to_owned();
        add(FindingKind::ZeroLimit, field, message);
    }
    findings
}
