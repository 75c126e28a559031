//! Simulated moves over many seeds, compared with a fixed canary.

use parsleylatch_decide::moves::MoveOutcome;
use test_case::test_case;

use crate::{
    canary,
    fleet::{Behaviour, Fleet, Load, SimulationResult},
};

const SEEDS: u64 = 20;
const LOAD: Load = Load {
    requests_per_s: 50,
    deadline_ms: 300_000,
};
/// Maximum fraction of a workspace's requests that a bad version may affect.
const AFFECTED_LIMIT: f64 = 0.01;
/// Maximum time from when the fleet's evidence is enough for a veto until the last
/// request on the new version.
const STOP_LIMIT_MS: u64 = 2_000;
/// As [`STOP_LIMIT_MS`], for versions that fail only in part: good attempts among
/// the bad ones delay the veto on nodes that receive both late.
const NOISY_STOP_LIMIT_MS: u64 = 5_000;

fn run_all_seeds(behaviour: Behaviour) -> Vec<SimulationResult> {
    let results: Vec<SimulationResult> = (0..SEEDS)
        .map(|seed| Fleet::new(behaviour, LOAD, seed).run())
        .collect();
    let affected: Vec<u64> = results.iter().map(|result| result.affected).collect();
    let stopped = results.iter().map(|result| result.stopped_after_ms).max();
    let latest = results.iter().map(|result| result.ended_at_ms).max();
    let baseline: Vec<(u64, bool)> = (0..SEEDS)
        .map(|seed| canary::run(behaviour, LOAD, seed))
        .collect();
    println!(
        "{behaviour:?}: requests in the time to the deadline {}; affected mean {:.1} max {:?}; last request {stopped:?} ms after a veto was possible; latest end {latest:?} ms; canary affected mean {:.1}, rolled back {} of {SEEDS}",
        LOAD.requests_per_s * LOAD.deadline_ms / 1_000,
        affected.iter().sum::<u64>() as f64 / SEEDS as f64,
        affected.iter().max(),
        baseline.iter().map(|(affected, _)| affected).sum::<u64>() as f64 / SEEDS as f64,
        baseline
            .iter()
            .filter(|(_, taken_back)| *taken_back)
            .count(),
    );
    results
}

#[test_case(Behaviour::Good ; "no engine dies")]
#[test_case(Behaviour::GoodEngineDies ; "one engine dies")]
fn move_good_version(behaviour: Behaviour) {
    for (seed, result) in run_all_seeds(behaviour).iter().enumerate() {
        assert_eq!(
            result.outcome,
            Some(MoveOutcome::Done),
            "seed {seed}: {result:?}"
        );
        assert!(
            result.ended_at_ms <= LOAD.deadline_ms,
            "seed {seed}: {result:?}"
        );
    }
}

#[test_case(Behaviour::FailsAtOnce(1.0), STOP_LIMIT_MS ; "fails at once")]
#[test_case(Behaviour::FailsAtOnce(0.3), NOISY_STOP_LIMIT_MS ; "fails at once in part")]
#[test_case(Behaviour::FailsLate, STOP_LIMIT_MS ; "fails late")]
#[test_case(Behaviour::Slow, STOP_LIMIT_MS ; "slow")]
#[test_case(Behaviour::SlowUnderLoad, STOP_LIMIT_MS ; "slow under load")]
#[test_case(Behaviour::FailsOnOneRoute, STOP_LIMIT_MS ; "fails on one route")]
fn move_bad_version(behaviour: Behaviour, stop_limit_ms: u64) {
    let results = run_all_seeds(behaviour);
    for (seed, result) in results.iter().enumerate() {
        assert_eq!(
            result.outcome,
            Some(MoveOutcome::TakenBack),
            "seed {seed}: {result:?}"
        );
    }
    let planned = (LOAD.requests_per_s * LOAD.deadline_ms / 1_000) as f64;
    for (seed, result) in results.iter().enumerate() {
        let share = result.affected as f64 / planned;
        assert!(share <= AFFECTED_LIMIT, "seed {seed}: {result:?}");
    }
    let latest = results.iter().map(|result| result.stopped_after_ms).max();
    assert!(latest <= Some(stop_limit_ms), "{latest:?}");
}
