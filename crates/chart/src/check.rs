//! Validates a chart file against the names that the code defines.

use std::collections::BTreeSet;

use crate::{
    error::ChartErrorKind,
    file::{ChartFile, StateDefinition, TransitionDefinition},
};

/// Names that the code defines for one chart.
pub(crate) struct DefinedNames<'a> {
    pub(crate) states: &'a [&'static str],
    pub(crate) events: &'a [&'static str],
    pub(crate) guards: BTreeSet<&'a str>,
    pub(crate) actions: BTreeSet<&'a str>,
    pub(crate) durations: BTreeSet<&'a str>,
}

/// Returns the name of a guard without its negation prefix.
pub(crate) fn guard_name(guard: &str) -> &str {
    guard.strip_prefix('!').unwrap_or(guard)
}

/// Validates a chart file. Returns the first error.
pub(crate) fn check(file: &ChartFile, names: &DefinedNames<'_>) -> Result<(), ChartErrorKind> {
    check_states(file, names)?;
    for (name, state) in &file.states {
        check_references(file, names, name, state)?;
        check_events(names, name, state)?;
    }
    check_reachable(file)?;
    check_used(file, names)
}

fn unresolved(location: &str, kind: &'static str, name: &str) -> ChartErrorKind {
    ChartErrorKind::Unresolved {
        location: location.to_owned(),
        kind,
        name: name.to_owned(),
    }
}

fn check_states(file: &ChartFile, names: &DefinedNames<'_>) -> Result<(), ChartErrorKind> {
    if !file.states.contains_key(&file.initial) {
        return Err(unresolved("`initial`", "state", &file.initial));
    }
    for name in file.states.keys() {
        if !names.states.contains(&name.as_str()) {
            return Err(unresolved("`states`", "state", name));
        }
    }
    match names
        .states
        .iter()
        .find(|name| !file.states.contains_key(**name))
    {
        Some(name) => Err(unresolved("the code", "state", name)),
        None => Ok(()),
    }
}

fn check_references(
    file: &ChartFile,
    names: &DefinedNames<'_>,
    name: &str,
    state: &StateDefinition,
) -> Result<(), ChartErrorKind> {
    let location = format!("state `{name}`");
    let events = state
        .on
        .keys()
        .chain(&state.ignore)
        .chain(state.after.iter().map(|timeout| &timeout.event));
    for event in events {
        if !names.events.contains(&event.as_str()) {
            return Err(unresolved(&location, "event", event));
        }
    }
    let transitions = || state.on.values().flatten();
    for action in state
        .entry
        .iter()
        .chain(&state.exit)
        .chain(transitions().flat_map(actions_of))
    {
        if !names.actions.contains(action.as_str()) {
            return Err(unresolved(&location, "action", action));
        }
    }
    for transition in transitions() {
        check_transition(file, names, &location, transition)?;
    }
    match &state.after {
        Some(after)
            if !file.timeouts_ms.contains_key(&after.timeout)
                && !names.durations.contains(after.timeout.as_str()) =>
        {
            Err(unresolved(&location, "timeout", &after.timeout))
        }
        _ => Ok(()),
    }
}

fn actions_of(transition: &TransitionDefinition) -> &[String] {
    &transition.actions
}

fn check_transition(
    file: &ChartFile,
    names: &DefinedNames<'_>,
    location: &str,
    transition: &TransitionDefinition,
) -> Result<(), ChartErrorKind> {
    if let Some(target) = &transition.to
        && !file.states.contains_key(target)
    {
        return Err(unresolved(location, "state", target));
    }
    match transition.guard.as_deref().map(guard_name) {
        Some(guard) if !names.guards.contains(guard) => Err(unresolved(location, "guard", guard)),
        _ => Ok(()),
    }
}

fn check_events(
    names: &DefinedNames<'_>,
    name: &str,
    state: &StateDefinition,
) -> Result<(), ChartErrorKind> {
    if state.is_final {
        let is_empty = state.on.is_empty() && state.ignore.is_empty() && state.after.is_none();
        let error = ChartErrorKind::FinalWithTransitions {
            state: name.to_owned(),
        };
        return if is_empty { Ok(()) } else { Err(error) };
    }
    for event in names.events {
        let handled = state.on.contains_key(*event);
        let ignored = state.ignore.iter().any(|ignored| ignored == event);
        let (state, event) = (name.to_owned(), (*event).to_owned());
        match (handled, ignored) {
            (false, false) => return Err(ChartErrorKind::Unhandled { state, event }),
            (true, true) => return Err(ChartErrorKind::HandledAndIgnored { state, event }),
            _ => {}
        }
    }
    for (event, transitions) in &state.on {
        let unguarded = transitions
            .iter()
            .position(|transition| transition.guard.is_none());
        if unguarded.is_none_or(|position| position + 1 != transitions.len()) {
            return Err(ChartErrorKind::InvalidDefaultTransition {
                state: name.to_owned(),
                event: event.clone(),
            });
        }
    }
    Ok(())
}

fn check_reachable(file: &ChartFile) -> Result<(), ChartErrorKind> {
    let mut reachable = BTreeSet::from([file.initial.as_str()]);
    let mut pending = vec![file.initial.as_str()];
    while let Some(name) = pending.pop() {
        let targets = file.states[name]
            .on
            .values()
            .flatten()
            .filter_map(|transition| transition.to.as_deref());
        for target in targets {
            if reachable.insert(target) {
                pending.push(target);
            }
        }
    }
    match file
        .states
        .keys()
        .find(|name| !reachable.contains(name.as_str()))
    {
        Some(state) => Err(ChartErrorKind::Unreachable {
            state: state.clone(),
        }),
        None => Ok(()),
    }
}

fn check_used(file: &ChartFile, names: &DefinedNames<'_>) -> Result<(), ChartErrorKind> {
    let states = || file.states.values();
    let transitions = || states().flat_map(|state| state.on.values().flatten());
    let guards: BTreeSet<&str> = transitions()
        .filter_map(|transition| transition.guard.as_deref())
        .map(guard_name)
        .collect();
    let actions: BTreeSet<&str> = states()
        .flat_map(|state| state.entry.iter().chain(&state.exit))
        .chain(transitions().flat_map(actions_of))
        .map(String::as_str)
        .collect();
    let timeouts: BTreeSet<&str> = states()
        .filter_map(|state| state.after.as_ref())
        .map(|after| after.timeout.as_str())
        .collect();
    let constants = file.timeouts_ms.keys().map(String::as_str);
    let unused = |kind, name: &str| ChartErrorKind::Unused {
        kind,
        name: name.to_owned(),
    };
    if let Some(name) = names.guards.difference(&guards).next() {
        return Err(unused("guard", name));
    }
    if let Some(name) = names.actions.difference(&actions).next() {
        return Err(unused("action", name));
    }
    match names
        .durations
        .iter()
        .copied()
        .chain(constants)
        .find(|name| !timeouts.contains(name))
    {
        Some(name) => Err(unused("timeout", name)),
        None => Ok(()),
    }
}
