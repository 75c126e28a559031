//! Traffic share of the new version, computed from evidence, elapsed time and deadline.

use parsleylatch_types::{Millis, Share};

use super::{
    evidence::TrialCounts,
    plan::ExposureLimit,
    sequential_test::{FULL_SHARE_PPM, SequentialTest},
};

/// All traffic.
pub const FULL_SHARE: Share = Share::new(FULL_SHARE_PPM);
/// Maximum share of a version that has not passed, while there is time.
const MAX_OBSERVING_SHARE: Share = Share::new(50_000);
/// Maximum share of a version that has not passed, once
/// [`OBSERVING_TIME_PERCENT`] of the time is over.
const MAX_LATE_OBSERVING_SHARE: Share = Share::new(200_000);
/// Percentage of the time to the deadline in which the version should pass.
const OBSERVING_TIME_PERCENT: u64 = 30;
/// Percentage of the time to the deadline after which the share may exceed the
/// exposure limit.
const EXPOSURE_LIMIT_TIME_PERCENT: u64 = 75;
/// Percentage of the exposure limit that the share may reach before then. The
/// rest covers requests that are sent before a veto has reached every node.
const EXPOSURE_LIMIT_USE_PERCENT: u64 = 70;
/// Percentage of the slack of the exposure limit that is used before
/// [`EXPOSURE_LIMIT_TIME_PERCENT`] of the time is over.
const EXPOSURE_SLACK_USE_PERCENT: u64 = 60;
/// Percentage of the exposure limit that the trials of a version may use that has not passed.
/// The rest covers requests that are sent before a veto has reached every node.
const TRIAL_LIMIT_USE_PERCENT: u64 = 75;
/// Percentage of the time to the deadline in which a version should pass if its traffic is too
/// small for [`OBSERVING_TIME_PERCENT`]; the rest is left for its share to grow.
const TRIAL_TIME_PERCENT: u64 = 60;
/// Maximum share that is given for the slack alone.
const MAX_SLACK_SHARE: Share = Share::new(600_000);
/// Percentage of the time to the deadline after which the rate of requests is known.
const RATE_TIME_PERCENT: u64 = 10;
/// Percentage of the time to the deadline after which the share is full.
const FULL_SHARE_TIME_PERCENT: u64 = 85;
/// Percentage of the time to the deadline after which a move with the full share
/// is complete.
const COMPLETION_TIME_PERCENT: u64 = 95;
/// Minimum time for each doubling of the share, as a percentage of the time to
/// the deadline.
const DOUBLING_TIME_PERCENT: u64 = 8;
/// Good trials needed for each doubling of the share.
const TRIALS_PER_DOUBLING: u64 = 24;
/// Good trials at the full share that complete a move early.
const CONFIRMATION_TRIALS: u64 = 48;

/// Inputs of the share computation.
#[derive(Clone, Copy, Debug)]
pub struct ShareInputs {
    /// Evidence on the old versions.
    pub old: TrialCounts,
    /// Evidence on the new version.
    pub new: TrialCounts,
    /// Time since the move was opened.
    pub elapsed_ms: Millis,
    /// Time after which the move is done or rolled back.
    pub deadline_ms: Millis,
    /// Minimum share.
    pub canary_share: Share,
    /// Good trials with which a version passes if none fails.
    pub pass_trials: u64,
    /// Maximum number of requests that may reach a version that turns out to be bad.
    pub exposure_limit: Option<ExposureLimit>,
}

impl ShareInputs {
    /// Share while the version has not passed: enough to collect the missing trials
    /// in time, within limits.
    pub fn observing_share(&self, test: &SequentialTest) -> Share {
        let usual = self.usual_observing_share(test);
        usual.max(self.missing_trials_share(test))
    }

    /// Share with which a version passes in time, as far as the exposure limit allows.
    fn missing_trials_share(&self, test: &SequentialTest) -> Share {
        let window_ms = self.percent_of_deadline(EXPOSURE_LIMIT_TIME_PERCENT);
        let is_needed = self.elapsed_ms < window_ms && !self.has_wide_slack();
        let Some(usable) = self.usable_trials().filter(|_| is_needed) else {
            return Share::ZERO;
        };
        let expected = |until_ms: Millis| {
            let left_ms = until_ms.saturating_sub(self.elapsed_ms);
            self.expected_requests(left_ms).unwrap_or_default().max(1)
        };
        // Trials that have not ended are not counted yet.
        let running = usable.saturating_mul(self.old_latency_ms().get()) / window_ms.get().max(1);
        let left = usable.saturating_sub(self.new.trials.get().saturating_add(running));
        let most = ppm(left, expected(window_ms)).min(MAX_SLACK_SHARE);
        // A version that keeps failing is not given more trials than a good one needs.
        let enough = self.pass_trials.saturating_add(TRIALS_PER_DOUBLING);
        let to_enough = enough.saturating_sub(self.new.trials.get());
        let missing = test.trials_to_pass(self.new).min(to_enough);
        let trial_ms = self.percent_of_deadline(TRIAL_TIME_PERCENT);
        ppm(missing, expected(trial_ms)).min(most)
    }

    /// Trials that the exposure limit leaves to a version that has not passed; `None` until
    /// the rate of requests is known.
    fn usable_trials(&self) -> Option<u64> {
        let limit = self.exposure_limit?;
        let total = self.expected_requests(self.deadline_ms)?;
        let of_total = total.saturating_mul(u64::from(limit.share.get()));
        let allowed = of_total / u64::from(FULL_SHARE_PPM) + limit.slack.get();
        Some(allowed.saturating_mul(TRIAL_LIMIT_USE_PERCENT) / 100)
    }

    fn usual_observing_share(&self, test: &SequentialTest) -> Share {
        let until = self.percent_of_deadline(OBSERVING_TIME_PERCENT);
        let left_ms = until.saturating_sub(self.elapsed_ms).get();
        let least = self.canary_share;
        let slack_share = self.slack_share();
        if left_ms == 0 {
            let most = MAX_LATE_OBSERVING_SHARE.max(slack_share);
            return self.within_exposure_limit(most.max(least));
        }
        let requests = self.old.trials.saturating_add(self.new.trials).get();
        let expected = requests.saturating_mul(left_ms) / self.elapsed_ms.get().max(1);
        let missing = test.trials_to_pass(self.new);
        let wanted = ppm(missing, expected.max(1));
        let most = MAX_OBSERVING_SHARE.max(slack_share);
        self.within_exposure_limit(wanted.min(most).max(least))
    }

    /// Share once the version has passed. It grows with good trials, slowly enough
    /// for them to reveal failures under load, or with time if there is little
    /// traffic.
    pub fn growing_share(&self) -> Share {
        let by_trials = self.trials_after_pass() / TRIALS_PER_DOUBLING;
        let by_trials = self.doubled_canary(by_trials.min(self.doublings_in_time()));
        let start = self.percent_of_deadline(OBSERVING_TIME_PERCENT);
        let end = self.percent_of_deadline(FULL_SHARE_TIME_PERCENT);
        let by_time = ppm(
            self.elapsed_ms.saturating_sub(start).get(),
            end.saturating_sub(start).get().max(1),
        );
        self.within_exposure_limit(by_trials.max(by_time))
    }

    /// Caps a share so that a version that starts to fail late stays within the
    /// exposure limit: the cap is below the limit for most of the time and grows to
    /// the full share at the end.
    fn within_exposure_limit(&self, share: Share) -> Share {
        let Some(limit) = self.exposure_limit else {
            return share;
        };
        let start = self.percent_of_deadline(EXPOSURE_LIMIT_TIME_PERCENT);
        let end = self.percent_of_deadline(FULL_SHARE_TIME_PERCENT);
        let grown = ppm(
            self.elapsed_ms.saturating_sub(start).get(),
            end.saturating_sub(start).get().max(1),
        );
        let early = percent_of(limit.share, EXPOSURE_LIMIT_USE_PERCENT);
        let early = early.saturating_add(self.slack_share()).min(FULL_SHARE);
        share.min(early.max(grown))
    }

    /// Whether the traffic was too small for a decision in the time for observation. A
    /// service with more requests has that time, so its version must pass the full test.
    pub fn has_little_traffic(&self) -> bool {
        let is_late = self.elapsed_ms >= self.percent_of_deadline(OBSERVING_TIME_PERCENT);
        is_late && self.has_wide_slack()
    }

    /// Whether the slack of the exposure limit alone gives a large share of the requests.
    fn has_wide_slack(&self) -> bool {
        self.slack_share() >= MAX_LATE_OBSERVING_SHARE
    }

    /// Share that uses the slack of the exposure limit evenly over the time, so that a
    /// service with few requests has enough trials for a decision. It does not depend on
    /// what was exposed so far, which a node only knows of attempts that have ended.
    fn slack_share(&self) -> Share {
        let window_ms = self.percent_of_deadline(EXPOSURE_LIMIT_TIME_PERCENT);
        let expected = self.expected_requests(window_ms);
        let Some((limit, expected)) = self.exposure_limit.zip(expected) else {
            return Share::ZERO;
        };
        let slack = limit.slack.get().saturating_mul(EXPOSURE_SLACK_USE_PERCENT) / 100;
        ppm(slack, expected.max(1)).min(MAX_SLACK_SHARE)
    }

    fn old_latency_ms(&self) -> Millis {
        self.old.mean_pace_us().unwrap_or_default().millis()
    }

    /// Requests that are expected in a time; `None` until their rate is known.
    fn expected_requests(&self, time_ms: Millis) -> Option<u64> {
        let counted_ms = self.elapsed_ms.saturating_sub(self.old_latency_ms());
        let requests = self.old.trials.saturating_add(self.new.trials).get();
        let is_rate_known = counted_ms >= self.percent_of_deadline(RATE_TIME_PERCENT);
        let expected = requests.saturating_mul(time_ms.get()) / counted_ms.get().max(1);
        (is_rate_known && requests > 0).then_some(expected)
    }

    /// Whether the version has had all traffic for long enough.
    pub fn is_complete(&self) -> bool {
        let is_full = self.growing_share() == FULL_SHARE;
        let is_late = self.elapsed_ms >= self.percent_of_deadline(COMPLETION_TIME_PERCENT);
        is_full && (is_late || self.is_confirmed())
    }

    fn doubled_canary(&self, doublings: u64) -> Share {
        let doubled = u64::from(self.canary_share.get()) << doublings.min(u64::from(u32::BITS - 1));
        Share::new(doubled.min(u64::from(FULL_SHARE_PPM)) as u32)
    }

    fn trials_after_pass(&self) -> u64 {
        self.new.good().get().saturating_sub(self.pass_trials)
    }

    /// Whether there were enough trials and time for one doubling more than needed
    /// to reach the full share.
    fn is_confirmed(&self) -> bool {
        let factor = FULL_SHARE_PPM.div_ceil(self.canary_share.get().max(1));
        let doublings = u64::from(factor.next_power_of_two().ilog2());
        let trials = doublings * TRIALS_PER_DOUBLING + CONFIRMATION_TRIALS;
        self.trials_after_pass() >= trials && self.doublings_in_time() > doublings
    }

    fn doublings_in_time(&self) -> u64 {
        let doubling_ms = self.percent_of_deadline(DOUBLING_TIME_PERCENT);
        self.elapsed_ms.get() / doubling_ms.get().max(1)
    }

    fn percent_of_deadline(&self, percent: u64) -> Millis {
        Millis::new(self.deadline_ms.get().saturating_mul(percent) / 100)
    }
}

fn percent_of(share: Share, percent: u64) -> Share {
    Share::new((u64::from(share.get()) * percent / 100) as u32)
}

/// Ratio in parts per million, capped at [`FULL_SHARE`].
fn ppm(part: u64, whole: u64) -> Share {
    let parts = part.saturating_mul(u64::from(FULL_SHARE_PPM)) / whole;
    Share::new(parts.min(u64::from(FULL_SHARE_PPM)) as u32)
}
