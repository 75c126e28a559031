//! Findings about a configuration before it is sent.
//!
//! [`check_configuration`] examines one configuration, [`compare_configurations`] its
//! differences from the version in force. Both are pure functions of what a codec has read:
//! the tool for operators prints the findings, the relay logs those of the first function.
//!
//! An error is what the relay refuses. A warning is an entry that never matches, limits that
//! contradict each other, or a change that takes something from callers.

mod contradictions;
mod differences;
mod finding;
mod unmatched;

pub use differences::compare_configurations;
pub use finding::{
    ConfigurationPlace, Finding, FindingKind, LimitField, RouteField, ServiceField, Severity,
    WorkspaceField,
};

use super::configuration::{ConfigurationError, RelayConfigurationParts, check_route};

/// Checks a configuration; the most serious findings come first, otherwise they are in the
/// order of the kinds of entries.
pub fn check_configuration(parts: &RelayConfigurationParts) -> Vec<Finding> {
    let mut findings = invalid_routes(parts);
    findings.extend(unmatched::find(parts));
    findings.extend(contradictions::find(parts));
    findings.sort_by_key(|it| std::cmp::Reverse(it.severity()));
    findings
}

fn invalid_routes(parts: &RelayConfigurationParts) -> Vec<Finding> {
    let checked = parts.routes.iter().enumerate();
    let invalid = checked.filter_map(|(index, route)| {
        let error = check_route(route).err()?;
        let field = match error {
            ConfigurationError::PathPrefix { .. } => RouteField::PathPrefix,
            ConfigurationError::NoBackend(_) => RouteField::Backends,
        };
        let place = ConfigurationPlace::Route(index, field);
        Some(Finding::new(
            FindingKind::InvalidRoute,
            place,
            error.to_string(),
        ))
    });
    invalid.collect()
}
