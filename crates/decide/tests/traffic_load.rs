//! Early refusal by a traffic thread that can't keep up.

use parsleylatch_decide::relay::{TrafficLoad, TrafficLoadState, TrafficTurn};
use parsleylatch_types::{Micros, Millis, MonoTime};
use proptest::prelude::*;
use test_case::test_case;

/// Time between two turns, and lateness from which a turn counts as late.
const TURN_MS: u64 = 50;
const LATE_MS: u64 = 25;
/// Target for the response time of which a turn may take an eighth.
const GOAL_MS: Millis = Millis::new(200);
/// Time for which every turn has to be late before requests are refused.
const SHED_DELAY_MS: u64 = 200;

/// Records a turn that is late by the given time; returns its time.
fn record_one(load: &mut TrafficLoad, at: MonoTime, late_ms: u64, was_settled: bool) -> MonoTime {
    let now = at + Millis::new(TURN_MS + late_ms);
    let turn = TrafficTurn {
        lateness: Millis::new(late_ms).micros(),
        was_settled,
    };
    load.record_turn(now, turn);
    now
}

/// Records turns of a thread with work that are late by the given times; returns the time of the
/// last one.
fn record(load: &mut TrafficLoad, start: MonoTime, late_ms: &[u64]) -> MonoTime {
    let turns = late_ms.iter();
    turns.fold(start, |at, late_ms| record_one(load, at, *late_ms, false))
}

fn start() -> TrafficLoad {
    let mut load = TrafficLoad::start(MonoTime::ZERO);
    load.set_goal(Some(GOAL_MS));
    load
}

fn record_all(late_ms: &[u64]) -> (TrafficLoad, MonoTime) {
    let mut load = start();
    let now = record(&mut load, MonoTime::ZERO, late_ms);
    (load, now)
}

/// A pause of the process, a burst, and the pauses of a VM on part of a core are no overload.
#[test_case(&[2_000] ; "one_long_pause")]
#[test_case(&[90, 90] ; "short_burst")]
#[test_case(&[88, 0, 88, 88, 0, 88, 88, 0, 88] ; "part_of_a_core")]
#[test_case(&[24; 100] ; "punctual")]
fn record_turn_not_overloaded(late_ms: &[u64]) {
    let (load, _) = record_all(late_ms);
    assert_ne!(load.state(), TrafficLoadState::Shedding);
    assert!(load.admits(false, 0.999));
}

/// A thread that gets through its work is not overloaded, although pauses of its VM make every turn
/// late.
#[test]
fn record_turn_quiet_thread_late_throughout() {
    let mut load = start();
    let mut now = MonoTime::ZERO;
    for _ in 0..60 {
        now = record_one(&mut load, now, 45, true);
        assert_eq!(load.state(), TrafficLoadState::OnTime);
    }
    assert!(load.admits(false, 0.999));
}

/// The share that is admitted falls while turns are late, and rises again afterwards.
#[test]
fn record_turn_overloaded_then_relieved() {
    let (mut load, now) = record_all(&[100; 20]);
    assert_eq!(load.state(), TrafficLoadState::Shedding);
    assert!(load.admitted_permille() < 100);
    let now = record(&mut load, now, &[0; 20]);
    assert_eq!(load.state(), TrafficLoadState::Shedding);
    record(&mut load, now, &[0; 60]);
    assert_eq!(load.state(), TrafficLoadState::OnTime);
    assert_eq!(load.admitted_permille(), 1_000);
}

/// A stream that has begun elsewhere is kept while new requests are refused.
#[test]
fn admits_begun_stream() {
    let (load, _) = record_all(&[100; 40]);
    assert!(!load.admits(false, 0.5));
    assert!(load.admits(true, 0.5));
}

/// A thread that sheds load refuses what it would answer too late.
#[test]
fn is_hopeless_late_thread() {
    let (load, now) = record_all(&[100; 20]);
    assert!(load.is_hopeless(now, now + Millis::new(700), false));
    assert!(!load.is_hopeless(now, now + Millis::new(900), false));
}

/// A stream that has begun elsewhere goes on at a thread that sheds load, until its deadline.
#[test]
fn is_hopeless_begun_stream() {
    let (load, now) = record_all(&[100; 20]);
    assert!(!load.is_hopeless(now, now + Millis::new(700), true));
    assert!(load.is_hopeless(now, now, true));
}

/// Records turns of a punctual thread, and connections that took as long.
fn record_connects(load: &mut TrafficLoad, turns: u64, services: &[&str], took_ms: &[u64]) {
    for turn in 1..=turns {
        for (service, took_ms) in services.iter().zip(took_ms) {
            let took = Millis::new(*took_ms).micros();
            load.record_connect(&service.parse().unwrap(), took);
        }
        let now = MonoTime::ZERO + Millis::new(turn * TURN_MS);
        let turn = TrafficTurn {
            lateness: Micros::ZERO,
            was_settled: true,
        };
        load.record_turn(now, turn);
    }
}

/// A congested link delays all connections, slow endpoints only those of their service.
#[test_case(&["a", "a", "a", "b"], &[250, 250, 180, 200], false ; "all_slow")]
#[test_case(&["a", "a", "a", "b"], &[250, 250, 250, 30], true ; "one_fast")]
#[test_case(&["a", "a", "a", "a"], &[250; 4], true ; "one_service")]
#[test_case(&["a", "b"], &[250; 2], true ; "few_connects")]
fn record_connect_admission(services: &[&str], took_ms: &[u64], is_admitted: bool) {
    let mut load = start();
    record_connects(&mut load, 30, services, took_ms);
    assert_eq!(load.admits(false, 0.9), is_admitted);
}

/// A congested link delays requests and their responses for some time after the last sign.
#[test]
fn link_delay_congested_link() {
    let mut load = start();
    record_connects(&mut load, 4, &["a", "a", "a", "b"], &[250, 250, 250, 180]);
    let now = MonoTime::ZERO + Millis::new(4 * TURN_MS);
    assert_eq!(load.link_delay(now), Millis::new(180).micros());
    assert_eq!(load.link_delay(now + Millis::new(1_000)), Micros::ZERO);
}

/// What is late follows from the shortest target of a route.
#[test_case(Some(1_000), 120, true ; "within_long_goal")]
#[test_case(Some(1_000), 130, false ; "beyond_long_goal")]
#[test_case(Some(10), 20, true ; "goal_shorter_than_a_turn")]
#[test_case(None, 120, true ; "no_configuration")]
fn set_goal_late_turn(goal_ms: Option<u64>, late_ms: u64, is_admitted: bool) {
    let mut load = TrafficLoad::start(MonoTime::ZERO);
    load.set_goal(goal_ms.map(Millis::new));
    record(&mut load, MonoTime::ZERO, &vec![late_ms; 60]);
    assert_eq!(load.admits(false, 0.9), is_admitted);
}

proptest! {
    /// Whatever the turns were: what has expired is never sent on, requests are refused only
    /// after turns that were late throughout, and all are admitted again soon after.
    #[test]
    fn record_turn_any_load(
        turns in prop::collection::vec((0_u64..400, prop::bool::weighted(0.2)), 0..200),
        draw in 0.0..1.0_f64,
    ) {
        let mut load = start();
        let mut now = MonoTime::ZERO;
        let mut late_since = None;
        let mut has_been_late_for = Micros::ZERO;
        for (late_ms, was_settled) in turns {
            now = record_one(&mut load, now, late_ms, was_settled);
            late_since = match late_ms < LATE_MS || was_settled {
                true => None,
                false => late_since.or(Some(now)),
            };
            let late_for = late_since.map_or(Micros::ZERO, |since| now.since(since));
            has_been_late_for = has_been_late_for.max(late_for);
            prop_assert!(load.is_hopeless(now, now, false));
            prop_assert!(load.admits(true, draw));
            if has_been_late_for < Millis::new(SHED_DELAY_MS).micros() {
                prop_assert!(load.admits(false, draw));
                prop_assert!(!load.is_hopeless(now, now + Micros::new(1), false));
            }
            // Some requests are always admitted, so that it shows when the thread can do more.
            prop_assert!(load.admits(false, 0.0));
        }
        record(&mut load, now, &[0; 80]);
        prop_assert_eq!(load.state(), TrafficLoadState::OnTime);
        prop_assert!(load.admits(false, draw));
    }

    /// A thread that gets through its work never refuses a request, whatever its pauses.
    #[test]
    fn record_turn_quiet_thread(
        pauses_ms in prop::collection::vec(0_u64..2_000, 0..200),
        draw in 0.0..1.0_f64,
    ) {
        let mut load = start();
        let mut now = MonoTime::ZERO;
        for late_ms in pauses_ms {
            now = record_one(&mut load, now, late_ms, true);
            prop_assert_eq!(load.state(), TrafficLoadState::OnTime);
            prop_assert!(load.admits(false, draw));
            prop_assert!(!load.is_hopeless(now, now + Micros::new(1), false));
        }
    }

    /// A thread that is late throughout and does not get through its work refuses requests.
    #[test]
    fn record_turn_busy_thread(late_ms in prop::collection::vec(LATE_MS..400, 10..200)) {
        let (load, _) = record_all(&late_ms);
        prop_assert_eq!(load.state(), TrafficLoadState::Shedding);
        prop_assert!(!load.admits(false, 0.999));
    }
}
