//! Checks of a chart file against the names that the code defines.

use std::collections::BTreeSet;

use crate::{
    error::ChartErrorKind,
    file::{ChartFile, StateFile, TransitionFile},
};

/// Names that the code defines for one chart.
pub(crate) struct DefinedNames<'a> {
    pub(crate) states: &'a [&'static str],
    pub(crate) events: &'a [&'static str],
    pub(crate) guards: BTreeSet<&'a str>,
    pub(crate) actions: BTreeSet<&'a str>,
    pub(crate) durations: BTreeSet<&'a str>,
}

/// Guard of a transition without its negation mark.
pub(crate) fn guard_name(guard: &str) -> &str {
    guard.strip_prefix('!').unwrap_or(guard)
}

/// Runs every check.
pub(crate) fn check(file: &ChartFile, names: &DefinedNames<'_>) -> Result<(), ChartErrorKind> {
    check_states(file, names)?;
    for (name, state) in &file.states {
        check_references(file, names, name, state)?;
        check_events(names, name, state)?;
    }
    check_reachable(file)?;
    check_used(file, names)
}

fn unresolved(place: &str, what: &'static str, name: &str) -> ChartErrorKind {
    ChartErrorKind::Unresolved {
        place: place.to_owned(),
        what,
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
    state: &StateFile,
) -> Result<(), ChartErrorKind> {
    let place = format!("state `{name}`");
    let events = state
        .on
        .keys()
        .chain(&state.ignore)
        .chain(state.after.iter().map(|it| &it.event));
    for event in events {
        if !names.events.contains(&event.as_str()) {
            return Err(unresolved(&place, "event", event));
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
            return Err(unresolved(&place, "action", action));
        }
    }
    for transition in transitions() {
        check_transition(file, names, &place, transition)?;
    }
    match &state.after {
        Some(after)
            if !file.timeouts_ms.contains_key(&after.timeout)
                && !names.durations.contains(after.timeout.as_str()) =>
        {
            Err(unresolved(&place, "timeout", &after.timeout))
        }
        _ => Ok(()),
    }
}

fn actions_of(transition: &TransitionFile) -> &[String] {
    &transition.actions
}

fn check_transition(
    file: &ChartFile,
    names: &DefinedNames<'_>,
    place: &str,
    transition: &TransitionFile,
) -> Result<(), ChartErrorKind> {
    if let Some(target) = &transition.to
        && !file.states.contains_key(target)
    {
        return Err(unresolved(place, "state", target));
    }
    match transition.guard.as_deref().map(guard_name) {
        Some(guard) if !names.guards.contains(guard) => Err(unresolved(place, "guard", guard)),
        _ => Ok(()),
    }
}

fn check_events(
    names: &DefinedNames<'_>,
    name: &str,
    state: &StateFile,
) -> Result<(), ChartErrorKind> {
    if state.is_final {
        let quiet = state.on.is_empty() && state.ignore.is_empty() && state.after.is_none();
        let error = ChartErrorKind::FinalWithTransitions {
            state: name.to_owned(),
        };
        return if quiet { Ok(()) } else { Err(error) };
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
        let open = transitions
            .iter()
            .position(|transition| transition.guard.is_none());
        if open.is_none_or(|position| position + 1 != transitions.len()) {
            return Err(ChartErrorKind::Clash {
                state: name.to_owned(),
                event: event.clone(),
            });
        }
    }
    Ok(())
}

fn check_reachable(file: &ChartFile) -> Result<(), ChartErrorKind> {
    let mut reached = BTreeSet::from([file.initial.as_str()]);
    let mut open = vec![file.initial.as_str()];
    while let Some(name) = open.pop() {
        let targets = file.states[name]
            .on
            .values()
            .flatten()
            .filter_map(|it| it.to.as_deref());
        for target in targets {
            if reached.insert(target) {
                open.push(target);
            }
        }
    }
    match file
        .states
        .keys()
        .find(|name| !reached.contains(name.as_str()))
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
        .filter_map(|it| it.guard.as_deref())
        .map(guard_name)
        .collect();
    let actions: BTreeSet<&str> = states()
        .flat_map(|state| state.entry.iter().chain(&state.exit))
        .chain(transitions().flat_map(actions_of))
        .map(String::as_str)
        .collect();
    let timeouts: BTreeSet<&str> = states()
        .filter_map(|state| state.after.as_ref())
        .map(|it| it.timeout.as_str())
        .collect();
    let constants = file.timeouts_ms.keys().map(String::as_str);
    let unused = |what, name: &str| ChartErrorKind::Unused {
        what,
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
