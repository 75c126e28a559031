//! Sequential probability ratio test between a good and a bad version.
//!
//! The score is a log-likelihood ratio: how much more likely the evidence is
//! for a version that fails at the rejected rate than for one that fails at the
//! tolerated rate. A version passes when the score falls to
//! [`SequentialTest::pass_threshold`]. It is vetoed when the CUSUM score, which
//! is reset to zero whenever it becomes negative, reaches
//! [`SequentialTest::veto_threshold`]; without the reset, a good start would
//! mask failures that begin later.

use parsleylatch_types::Share;

use super::evidence::TrialCounts;

/// Probability of vetoing a version that fails at no more than the tolerated rate.
pub const FALSE_VETO_RATE: f64 = 1e-4;
/// Probability of passing a version that fails at the rejected rate or more.
pub const FALSE_PASS_RATE: f64 = 1e-2;
/// [`FALSE_PASS_RATE`] for workspaces with operations that run at most once.
pub const FALSE_PASS_RATE_ONCE_ONLY: f64 = 1e-4;
/// [`FALSE_PASS_RATE`] for a service whose traffic was too small for a decision in the
/// time for observation. A version that passes this way is still observed while its share
/// grows.
pub(crate) const FALSE_PASS_RATE_LITTLE_TRAFFIC: f64 = 0.3;
/// The full share in parts per million.
pub(crate) const FULL_SHARE_PPM: u32 = 1_000_000;
/// Attempts on the old versions that are needed for their failure rate; with fewer, the
/// missing ones count as good.
const BASELINE_TRIALS: u64 = 50;
/// Minimum ratio of the tolerated rate to the failure rate of the old versions.
const BASELINE_MARGIN: f64 = 1.5;
/// Minimum ratio of the rejected rate to the tolerated rate.
const REJECTED_FACTOR: f64 = 3.0;
/// Upper bound of the rejected rate.
const REJECTED_RATE_CEILING: f64 = 0.9;

/// Test that distinguishes two rates of failed or slow attempts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SequentialTest {
    tolerated_rate: f64,
    rejected_rate: f64,
    false_pass_rate: f64,
    /// [`Self::false_pass_rate`], or a higher one if there is little traffic.
    pass_rate: f64,
}

impl SequentialTest {
    /// Creates a test for the given rates.
    ///
    /// If the old versions fail more often than tolerated, both rates are raised,
    /// so that the new version is not vetoed for failures that affect all engines.
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
        let false_pass_rate = match has_once_only_operations {
            true => FALSE_PASS_RATE_ONCE_ONLY,
            false => FALSE_PASS_RATE,
        };
        Self {
            tolerated_rate: tolerated_rate.min(rejected_rate / REJECTED_FACTOR),
            rejected_rate,
            false_pass_rate,
            pass_rate: false_pass_rate,
        }
    }

    /// Returns the test for a service with little traffic.
    #[must_use]
    pub fn with_little_traffic(self) -> Self {
        Self {
            pass_rate: FALSE_PASS_RATE_LITTLE_TRAFFIC.max(self.pass_rate),
            ..self
        }
    }

    /// Score of the given counts; a higher score is worse.
    pub fn score(&self, counts: TrialCounts) -> f64 {
        let bad = counts.bad().get() as f64;
        let good = counts.good().get() as f64;
        bad * (self.rejected_rate / self.tolerated_rate).ln() - good * self.good_trial_weight()
    }

    /// CUSUM score at which the version is vetoed.
    pub fn veto_threshold(&self) -> f64 {
        ((1.0 - self.false_pass_rate) / FALSE_VETO_RATE).ln()
    }

    /// Score at which the version passes.
    pub fn pass_threshold(&self) -> f64 {
        (self.pass_rate / (1.0 - FALSE_VETO_RATE)).ln()
    }

    /// Number of further good trials needed to pass.
    pub fn trials_to_pass(&self, counts: TrialCounts) -> u64 {
        let missing = self.score(counts) - self.pass_threshold();
        (missing / self.good_trial_weight()).ceil().max(0.0) as u64
    }

    fn good_trial_weight(&self) -> f64 {
        ((1.0 - self.tolerated_rate) / (1.0 - self.rejected_rate)).ln()
    }
}

/// CUSUM score of one route: a running score that is reset to zero whenever it
/// becomes negative.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CusumScore {
    seen: TrialCounts,
    score: f64,
}

impl CusumScore {
    /// Adds the trials counted since the last update and returns the new score.
    pub(crate) fn update(&mut self, test: &SequentialTest, counts: TrialCounts) -> f64 {
        let added = counts.since(self.seen);
        self.seen = counts;
        self.score = (self.score + test.score(added)).max(0.0);
        self.score
    }
}

fn baseline_rate(baseline: TrialCounts) -> f64 {
    baseline.bad().get() as f64 / baseline.trials.get().max(BASELINE_TRIALS) as f64
}

fn rate_of(share: Share) -> f64 {
    f64::from(share.get()) / f64::from(FULL_SHARE_PPM)
}
