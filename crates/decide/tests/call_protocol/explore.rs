//! Exhaustive exploration of all interleavings with few faults.

use std::collections::HashSet;

use parsleylatch_decide::call::ClaimOutcome;
use test_case::test_case;

use crate::world::{CallerReply, ClaimStep, Faults, World};

/// Findings of an exploration.
#[derive(Debug, Default)]
struct Findings {
    visited: HashSet<String>,
    terminal_states: usize,
    violations: Vec<&'static str>,
}

fn explore(world: &World, findings: &mut Findings) {
    if !findings.visited.insert(format!("{world:?}")) {
        return;
    }
    findings.violations.extend(violations(world));
    let steps = world.steps();
    if steps.is_empty() {
        findings.terminal_states += 1;
        findings.violations.extend(terminal_violation(world));
    }
    for step in steps {
        let before = world.replies().count();
        let mut next = world.clone();
        next.apply(step);
        if next.replies().count() > before {
            findings.violations.extend(false_refusal(world, &next));
        }
        explore(&next, findings);
    }
}

/// Violations of the invariants that hold in every state.
fn violations(world: &World) -> impl Iterator<Item = &'static str> {
    let answers: HashSet<_> = world
        .replies()
        .filter_map(|reply| match reply {
            CallerReply::Answer(answer) => Some(answer),
            CallerReply::Refused(_) => None,
        })
        .collect();
    let false_not_run = world
        .sends()
        .any(|(sends, reply)| sends > 0 && reply.is_some_and(CallerReply::is_not_run));
    let found = [
        (world.runs() > 1, "the call ran twice"),
        (answers.len() > 1, "two answers were returned"),
        (
            false_not_run,
            "a call that was sent was reported as not run",
        ),
    ];
    found
        .into_iter()
        .filter_map(|(holds, name)| holds.then_some(name))
}

/// A refusal that says "not run" must be true of all requests with the id at that
/// time.
fn false_refusal(before: &World, after: &World) -> Option<&'static str> {
    let count = |world: &World| world.replies().filter(|reply| reply.is_not_run()).count();
    let refused = count(after) > count(before);
    (refused && after.runs() > 0).then_some("a request that had run was reported as not run")
}

/// Violation of the invariants that hold in every terminal state.
fn terminal_violation(world: &World) -> Option<&'static str> {
    let answered = world
        .replies()
        .any(|reply| matches!(reply, CallerReply::Answer(_)));
    let recorded = matches!(world.key_outcome(), Some(ClaimOutcome::Answered(_)));
    let pending = world.key_outcome() == Some(&ClaimOutcome::Pending);
    match () {
        () if answered && !recorded && !world.has_crashed() => Some("an answer was not recorded"),
        () if pending && !world.has_crashed() => Some("a claim was left without an outcome"),
        () => None,
    }
}

#[test_case(1, 1, 0, false ; "one lost answer and one crash")]
#[test_case(1, 1, 1, false ; "a timeout as well")]
#[test_case(2, 0, 1, false ; "two lost answers and a timeout")]
#[test_case(1, 1, 1, true ; "ids that look new")]
fn interleavings_all(lost_answers: u32, crashes: u32, timeouts: u32, is_new_request: bool) {
    let faults = Faults {
        lost_answers,
        crashes,
        timeouts,
    };
    let mut findings = Findings::default();
    let world = World::new(ClaimStep::Made, faults, is_new_request);
    explore(&world, &mut findings);
    println!(
        "{} states, {} terminal states",
        findings.visited.len(),
        findings.terminal_states
    );
    assert_eq!(findings.violations, Vec::<&str>::new());
    assert!(
        findings.terminal_states > 10,
        "the exploration is not empty"
    );
}

/// The checker detects the violation when the claim is skipped.
#[test]
fn interleavings_claim_skipped() {
    let faults = Faults {
        lost_answers: 1,
        crashes: 1,
        timeouts: 0,
    };
    let mut findings = Findings::default();
    let world = World::new(ClaimStep::Skipped, faults, false);
    explore(&world, &mut findings);
    assert!(findings.violations.contains(&"the call ran twice"));
    assert!(findings.violations.contains(&"two answers were returned"));
}
