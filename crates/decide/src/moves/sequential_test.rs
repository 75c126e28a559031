//! Sequential probability ratio test between a good and a bad version.
//!
//! The score is the logarithm of how much likelier the evidence is for a
//! version that fails at the rejected rate than for one that fails at the
//! tolerated rate. A version passes when the score falls to [`SequentialTest::pass_threshold`];
//! it is vetoed when the score, restarted at zero whenever it is negative
//! (CUSUM), rises to [`SequentialTest::veto_threshold`], so that badness which shows late is not
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
pub struct SequentialTest {
    tolerated_rate: f64,
    rejected_rate: f64,
    false_pass_rate: f64,
}

impl SequentialTest {
    /// Test for the given rates.
    ///
    /// An old version that fails more often than tolerated raises both rates, so
    /// that the new one is not blamed for what ails all engines.
    pub fn new(
        tolerated_rate: Share,
        rejected_rate: Share,
        baseline: TrialCounts,
        has_once_only_operations: bool,
    ) -> Self {
        let tolerated_rate = rate_of(tolerated_rate).max(baseline_rate(baseline) * BASELINE_MARGIN);
        let rejected_rate = rate_of(rejected_rate)
            .max(tolerated_rate * REJECTED_FACTOR)
            .min(REJECTED_RATE_CEILING);
        Self {
            tolerated_rate: tolerated_rate.min(rejected_rate / REJECTED_FACTOR),
            rejected_rate,
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
        bad * (self.rejected_rate / self.tolerated_rate).ln() - good * self.good_trial_weight()
    }

    /// Score at which the version is bad.
    pub fn veto_threshold(&self) -> f64 {
        ((1.0 - self.false_pass_rate) / FALSE_VETO_RATE).ln()
    }

    /// Score at which the version has proved itself.
    pub fn pass_threshold(&self) -> f64 {
        (self.false_pass_rate / (1.0 - FALSE_VETO_RATE)).ln()
    }

    /// Good trials that are still needed to pass.
    pub fn trials_to_pass(&self, counts: TrialCounts) -> u64 {
        let missing = self.score(counts) - self.pass_threshold();
        (missing / self.good_trial_weight()).ceil().max(0.0) as u64
    }

    fn good_trial_weight(&self) -> f64 {
        ((1.0 - self.tolerated_rate) / (1.0 - self.rejected_rate)).ln()
    }
}

/// Running score of one route, restarted at zero whenever it is negative.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CusumScore {
    seen: TrialCounts,
    score: f64,
}

impl CusumScore {
    /// Takes in what was added to the counts since the last time.
    pub(crate) fn update(&mut self, test: &SequentialTest, counts: TrialCounts) -> f64 {
        let added = counts.since(self.seen);
        self.seen = counts;
        self.score = (self.score + test.score(added)).max(0.0);
        self.score
    }
}

fn baseline_rate(baseline: TrialCounts) -> f64 {
    if baseline.trials.get() < BASELINE_TRIALS {
        return 0.0;
    }
    baseline.bad().get() as f64 / baseline.trials.get() as f64
}

fn rate_of(share: Share) -> f64 {
    f64::from(share.get()) / f64::from(FULL_SHARE_PPM)
}
