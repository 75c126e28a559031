//! Baseline for comparison: a fixed 5 percent canary, evaluated at half the deadline.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;

use crate::fleet::{Behaviour, Load};

const CANARY_SHARE: f64 = 0.05;
/// Rate of failed attempts at which the canary is rolled back.
const REJECTED_RATE: f64 = 0.05;

/// Returns the number of requests affected by a bad attempt, and whether the move
/// was rolled back.
pub(crate) fn run(behaviour: Behaviour, load: Load, seed: u64) -> (u64, bool) {
    let mut rng = Pcg64::seed_from_u64(seed);
    let (mut trials, mut affected) = (0_u64, 0_u64);
    let requests = load.requests_per_s * load.deadline_ms / 1_000;
    for number in 0..requests {
        let is_decided = number >= requests / 2;
        let rate = affected as f64 / trials.max(1) as f64;
        if number == requests / 2 && rate >= REJECTED_RATE {
            return (affected, true);
        }
        let share = if is_decided { 1.0 } else { CANARY_SHARE };
        if !rng.random_bool(share) {
            continue;
        }
        trials += 1;
        let bad = match behaviour {
            Behaviour::Good | Behaviour::GoodEngineDies => rng.random_bool(0.001),
            Behaviour::FailsAtOnce(rate) => rng.random_bool(rate),
            Behaviour::FailsLate | Behaviour::SlowUnderLoad => is_decided,
            // The baseline detects failures only.
            Behaviour::Slow => is_decided,
            Behaviour::FailsOnOneRoute => rng.random_bool(1.0 / 3.0),
        };
        affected += u64::from(bad);
    }
    (affected, false)
}
