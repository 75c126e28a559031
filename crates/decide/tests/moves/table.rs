//! Single inputs of the move table.

use parsleylatch_decide::moves::{
    FULL_SHARE, MoveEffect, MoveEnd, MoveEvidence, MoveInput, MoveOutcome, MoveReason, MoveState,
    MoveTable, Trial, Veto,
};
use parsleylatch_types::{Micros, Millis, MonoTime, Share};
use proptest::prelude::*;

use crate::fleet::{at, observer, plan, share, table, workspace};

const DEADLINE_MS: u64 = 60_000;

fn trial(version: &str, failed: bool) -> Trial {
    Trial {
        model: "drafts".parse().unwrap(),
        version: version.parse().unwrap(),
        route: "region-1:region-1".parse().unwrap(),
        endpoint: format!("engine-{version}").parse().unwrap(),
        failed,
        pace_us: (!failed).then_some(Micros::new(27_000)),
    }
}

fn fail(table: &mut MoveTable, now: MonoTime, times: usize) -> Vec<MoveEffect> {
    for _ in 0..times {
        table.handle(now, MoveInput::Trial(trial("v2", true)));
    }
    let endpoint = "engine-v2".parse().unwrap();
    table.handle(now, MoveInput::EndpointAnswered(endpoint))
}

fn state(table: &MoveTable, now: MonoTime) -> MoveState {
    table.views(now).next().unwrap().state
}

fn end_of(effects: &[MoveEffect]) -> Option<MoveEnd> {
    effects.iter().find_map(|effect| match effect {
        MoveEffect::RecordEnd { end, .. } => Some(*end),
        _ => None,
    })
}

#[test]
fn handle_failures_vetoed() {
    let mut table = table(0, at(0), plan(DEADLINE_MS));
    let effects = fail(&mut table, at(100), 4);
    let end = end_of(&effects).unwrap();
    assert_eq!(end.outcome, MoveOutcome::TakenBack);
    assert_eq!(end.reason, MoveReason::Vetoed);
    assert_eq!(share(&table, at(100)), Share::ZERO);
}

/// The node stops using the version before the endpoint has confirmed the failures.
#[test]
fn handle_failures_unconfirmed() {
    let mut table = table(0, at(0), plan(DEADLINE_MS));
    for _ in 0..4 {
        table.handle(at(100), MoveInput::Trial(trial("v2", true)));
    }
    assert_eq!(share(&table, at(100)), Share::ZERO);
    assert_eq!(state(&table, at(100)), MoveState::Observing);
}

/// The failures of an engine that died are not counted.
#[test]
fn handle_failures_endpoint_lost() {
    let mut table = table(0, at(0), plan(DEADLINE_MS));
    for _ in 0..40 {
        table.handle(at(100), MoveInput::Trial(trial("v2", true)));
    }
    let endpoint = "engine-v2".parse().unwrap();
    table.handle(at(200), MoveInput::EndpointLost(endpoint));
    assert!(share(&table, at(200)) > Share::ZERO);
    assert_eq!(end_of(&fail(&mut table, at(300), 0)), None);
}

/// A veto of another node takes effect as soon as it is merged.
#[test]
fn merge_veto_spreads() {
    let mut first = table(0, at(0), plan(DEADLINE_MS));
    let mut second = table(1, at(0), plan(DEADLINE_MS));
    fail(&mut first, at(100), 4);
    let (id, evidence) = first.evidence().next().unwrap();
    let effects = second.merge(at(200), id, evidence);
    assert_eq!(end_of(&effects).unwrap().outcome, MoveOutcome::TakenBack);
    assert_eq!(share(&second, at(200)), Share::ZERO);
}

/// A veto takes effect whatever the counters are.
#[test]
fn merge_veto_alone() {
    let mut table = table(0, at(0), plan(DEADLINE_MS));
    let veto = Veto {
        route: "region-2:region-2".parse().unwrap(),
        observer: observer(1),
    };
    let evidence = MoveEvidence::from_parts([], Some(veto));
    let effects = table.merge(at(100), &plan(DEADLINE_MS).id, &evidence);
    assert_eq!(end_of(&effects).unwrap().reason, MoveReason::Vetoed);
}

/// A good start doesn't mask failures that begin late.
#[test]
fn handle_failures_late() {
    let mut table = table(0, at(0), plan(DEADLINE_MS));
    for now in (0..200).map(|number| at(10 * number)) {
        table.handle(now, MoveInput::Trial(trial("v2", false)));
    }
    assert_eq!(state(&table, at(2_000)), MoveState::Growing);
    let end = end_of(&fail(&mut table, at(2_000), 5)).unwrap();
    assert_eq!(end.reason, MoveReason::Vetoed);
}

/// Noise that slows down both versions does not veto the new one.
#[test]
fn handle_slow_both() {
    let mut table = table(0, at(0), plan(DEADLINE_MS));
    for number in 0..400 {
        let now = at(20 * number);
        let slow = number % 12 == 11;
        for version in ["v1", "v1", "v1", "v2"] {
            let pace_us = Some(Micros::new(if slow { 90_000 } else { 27_000 }));
            let trial = Trial {
                pace_us,
                ..trial(version, false)
            };
            table.handle(now, MoveInput::Trial(trial));
        }
    }
    assert_eq!(state(&table, at(8_000)), MoveState::Growing);
}

/// An end from the store takes effect, and a later veto doesn't change it.
#[test]
fn handle_recorded_final() {
    let mut table = table(0, at(0), plan(DEADLINE_MS));
    let end = MoveEnd {
        outcome: MoveOutcome::Done,
        reason: MoveReason::Proved,
    };
    let move_id = plan(DEADLINE_MS).id;
    table.handle(at(50), MoveInput::Recorded { move_id, end });
    assert_eq!(share(&table, at(50)), FULL_SHARE);
    fail(&mut table, at(100), 9);
    assert_eq!(state(&table, at(100)), MoveState::Done);
}

/// A restarted node continues with the elapsed time from the store.
#[test]
fn handle_opened_before() {
    let mut table = table(0, at(0), plan(DEADLINE_MS));
    let input = MoveInput::OpenedBefore {
        move_id: plan(DEADLINE_MS).id,
        elapsed_ms: Millis::new(DEADLINE_MS - 1_000),
    };
    table.handle(at(0), input);
    assert_eq!(end_of(&table.expire(at(999))), None);
    let end = end_of(&table.expire(at(1_000))).unwrap();
    assert_eq!(end.reason, MoveReason::TooLittleEvidence);
}

#[test]
fn handle_template_replaced() {
    let mut table = table(0, at(0), plan(DEADLINE_MS));
    let input = MoveInput::Template {
        workspace: workspace(),
        plan: None,
    };
    let end = end_of(&table.handle(at(10), input)).unwrap();
    assert_eq!(end.reason, MoveReason::TemplateReplaced);
    assert_eq!(table.version_plan(at(10), &workspace()), None);
}

/// The share of a version that has passed grows with good trials up to all traffic.
#[test]
fn handle_good_trials_grow() {
    let mut table = table(0, at(0), plan(DEADLINE_MS));
    let mut last = Share::ZERO;
    for now in (0..400).map(|number| at(130 * number)) {
        table.handle(now, MoveInput::Trial(trial("v1", false)));
        table.handle(now, MoveInput::Trial(trial("v2", false)));
        if state(&table, now) == MoveState::Growing {
            let grown = share(&table, now);
            assert!(grown >= last, "{grown} after {last} at {now}");
            last = grown;
        }
    }
    let end = at(DEADLINE_MS);
    assert_eq!(last, FULL_SHARE);
    assert_eq!(state(&table, end), MoveState::RecordingDone);
}

proptest! {
    /// Once a move is rolled back, no input gives the new version traffic again.
    #[test]
    fn handle_any_veto_final(inputs in proptest::collection::vec((0..4_u8, any::<bool>()), 1..200)) {
        let mut table = table(0, at(0), plan(DEADLINE_MS));
        let mut was_vetoed = false;
        for (number, (kind, failed)) in inputs.into_iter().enumerate() {
            let now = at(10 * number as u64);
            let endpoint = "engine-v2".parse().unwrap();
            let input = match kind {
                0 => MoveInput::EndpointAnswered(endpoint),
                1 => MoveInput::EndpointLost(endpoint),
                2 => MoveInput::Trial(trial("v1", failed)),
                _ => MoveInput::Trial(trial("v2", failed)),
            };
            table.handle(now, input);
            was_vetoed |= state(&table, now) == MoveState::RecordingTakenBack;
            prop_assert!(!was_vetoed || share(&table, now) == Share::ZERO);
        }
    }
}
