//! Sequential probability ratio test between a good and a bad version.
//!
//! The score is the logarithm of how much likelier the evidence is for a
//! version that fails at the rejected rate than for one that fails at the
//! tolerated rate. A version passes when the score falls to [`Judge::pass_at`];
//! it is vetoed when the score, restarted at zero whenever it is negative
//! (CUSUM), rises to [`Judge::veto_at`], so that badness which shows late is not
//! hidden by a good start.

use parsleylatch_types::Share;

use super::evidence::TrialCounts;

/// Probability that a test vetoes a version that is no worse than tolerated.
pub const FALSE_VETO_RATE: f64 = 1e-4;
/// Probability that a version that is as bad as rejected passes.
pub const FALSE_PASS_RATE: f64 = 1e-2;
/// The same for workspaces with operations that run at most once.
pub const FALSE_PASS_RATE_ONCE_ONLY: f64 = 1e-4;
/// Parts of a whole share.
pub(crate) const FULL_SHARE_PPM: u32 = 1_000_000;
/// Attempts on the old version from which its own rate of failures counts.
const BASELINE_TRIALS: u64 = 50;
/// Factor between the old version's failures and those tolerated.
const BASELINE_MARGIN: f64 = 1.5;
/// Smallest factor between the tolerated and the rejected rate.
const REJECTED_FACTOR: f64 = 3.0;
/// Largest rejected rate.
const REJECTED_RATE_CEILING: f64 = 0.9;

/// Rates of failed or slow attempts that the test tells apart.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judge {
    tolerated: f64,
    rejected: f64,
    false_pass_rate: f64,
}

impl Judge {
    /// Test for the given rates.
    ///
    /// An old version that fails more often than tolerated raises both rates, so
    /// that the new one is not blamed for what ails all engines.
    pub fn new(
        tolerated: Share,
        rejected: Share,
        old: TrialCounts,
        has_once_only_operations: bool,
    ) -> Self {
        let tolerated = rate_of(tolerated).max(baseline_rate(old) * BASELINE_MARGIN);
        let rejected = rate_of(rejected)
            .max(tolerated * REJECTED_FACTOR)
            .min(REJECTED_RATE_CEILING);
        Self {
            tolerated: tolerated.min(rejected / REJECTED_FACTOR),
            rejected,
            false_pass_rate: match has_once_only_operations {
                true => FALSE_PASS_RATE_ONCE_ONLY,
                false => FALSE_PASS_RATE,
            },
        }
    }

    /// Score of some trials; larger is worse.
    pub fn score(&self, counts: TrialCounts) -> f64 {
        let bad = counts.bad().get() as f64;
        let good = counts.good().get() as f64;
        bad * (self.rejected / self.tolerated).ln() - good * self.good_step()
    }

    /// Score at which the version is bad.
    pub fn veto_at(&self) -> f64 {
        ((1.0 - self.false_pass_rate) / FALSE_VETO_RATE).ln()
    }

    /// Score at which the version has proved itself.
    pub fn pass_at(&self) -> f64 {
        (self.false_pass_rate / (1.0 - FALSE_VETO_RATE)).ln()
    }

    /// Good trials that are still needed to pass.
    pub fn trials_to_pass(&self, counts: TrialCounts) -> u64 {
        let missing = self.score(counts) - self.pass_at();
        (missing / self.good_step()).ceil().max(0.0) as u64
    }

    fn good_step(&self) -> f64 {
        ((1.0 - self.tolerated) / (1.0 - self.rejected)).ln()
    }
}

/// Running score of one route, restarted at zero whenever it is negative.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunningScore {
    seen: TrialCounts,
    score: f64,
}

impl RunningScore {
    /// Takes in what was added to the counts since the last time.
    pub(crate) fn update(&mut self, judge: &Judge, counts: TrialCounts) -> f64 {
        let added = counts.since(self.seen);
        self.seen = counts;
        self.score = (self.score + judge.score(added)).max(0.0);
        self.score
    }
}

fn baseline_rate(old: TrialCounts) -> f64 {
    if old.trials.get() < BASELINE_TRIALS {
        return 0.0;
    }
    old.bad().get() as f64 / old.trials.get() as f64
}

fn rate_of(share: Share) -> f64 {
    f64::from(share.get()) / f64::from(FULL_SHARE_PPM)
}
