//! Share of the new version: a function of evidence, time and deadline.

use parsleylatch_types::{Millis, Share};

use super::{
    evidence::TrialCounts,
    sequential_test::{FULL_SHARE_PPM, SequentialTest},
};

/// Whole traffic.
pub const FULL_SHARE: Share = Share::new(FULL_SHARE_PPM);
/// Largest share of an unproved version while there is time.
const MAX_OBSERVING_SHARE: Share = Share::new(50_000);
/// Largest share of an unproved version once time runs short.
const MAX_LATE_OBSERVING_SHARE: Share = Share::new(200_000);
/// Part of the time to the deadline in which the version should pass.
const OBSERVING_TIME_PERCENT: u64 = 30;
/// Part of the time to the deadline for which the exposure limit bounds the share.
const EXPOSURE_LIMIT_TIME_PERCENT: u64 = 75;
/// Part of the exposure limit that the share comes to in that time; the rest is for
/// what is sent before a veto is known everywhere.
const EXPOSURE_LIMIT_USE_PERCENT: u64 = 70;
/// Part of the time to the deadline at which the share is whole.
const FULL_SHARE_TIME_PERCENT: u64 = 85;
/// Part of the time to the deadline at which a grown move is complete.
const COMPLETION_TIME_PERCENT: u64 = 95;
/// Part of the time to the deadline for each doubling of the share, at least.
const DOUBLING_TIME_PERCENT: u64 = 8;
/// Good trials for each doubling of the share.
const TRIALS_PER_DOUBLING: u64 = 24;
/// Good trials at the whole share that complete a move before its time.
const CONFIRMATION_TRIALS: u64 = 48;

/// What the share depends on.
#[derive(Clone, Copy, Debug)]
pub struct ShareInputs {
    /// Evidence on the versions in use.
    pub old: TrialCounts,
    /// Evidence on the new version.
    pub new: TrialCounts,
    /// Time since the move was opened.
    pub elapsed_ms: Millis,
    /// Time after which the move is done or taken back.
    pub deadline_ms: Millis,
    /// Smallest share.
    pub canary_share: Share,
    /// Good trials that the version needed to pass without a failure.
    pub pass_trials: u64,
    /// Largest part of all requests, from the order to the deadline, that may reach a
    /// version which turns out bad.
    pub exposure_limit: Option<Share>,
}

impl ShareInputs {
    /// Share while the version has not passed: as much as brings the missing
    /// trials in time, within limits.
    pub fn observing_share(&self, test: &SequentialTest) -> Share {
        let until = self.part_of_deadline(OBSERVING_TIME_PERCENT);
        let left_ms = until.saturating_sub(self.elapsed_ms).get();
        if left_ms == 0 {
            return self.within_exposure_limit(MAX_LATE_OBSERVING_SHARE.max(self.canary_share));
        }
        let requests = self.old.trials.saturating_add(self.new.trials).get();
        let expected = requests.saturating_mul(left_ms) / self.elapsed_ms.get().max(1);
        let missing = test.trials_to_pass(self.new);
        let wanted = ppm(missing, expected.max(1));
        self.within_exposure_limit(wanted.min(MAX_OBSERVING_SHARE).max(self.canary_share))
    }

    /// Share once the version has passed: grows with good trials, no faster than
    /// they can tell of badness under load, and with time where there is little
    /// traffic.
    pub fn growing_share(&self) -> Share {
        let by_trials = self.trials_after_pass() / TRIALS_PER_DOUBLING;
        let by_trials = self.doubled_canary(by_trials.min(self.doublings_in_time()));
        let start = self.part_of_deadline(OBSERVING_TIME_PERCENT);
        let end = self.part_of_deadline(FULL_SHARE_TIME_PERCENT);
        let by_time = ppm(
            self.elapsed_ms.saturating_sub(start).get(),
            end.saturating_sub(start).get().max(1),
        );
        self.within_exposure_limit(by_trials.max(by_time))
    }

    /// A share that leaves a version which turns bad late within the exposure limit:
    /// below it for most of the time, and growing to the whole at the end.
    fn within_exposure_limit(&self, share: Share) -> Share {
        let Some(limit) = self.exposure_limit else {
            return share;
        };
        let start = self.part_of_deadline(EXPOSURE_LIMIT_TIME_PERCENT);
        let end = self.part_of_deadline(FULL_SHARE_TIME_PERCENT);
        let grown = ppm(
            self.elapsed_ms.saturating_sub(start).get(),
            end.saturating_sub(start).get().max(1),
        );
        share.min(part_of(limit, EXPOSURE_LIMIT_USE_PERCENT).max(grown))
    }

    /// Whether the version has had the whole traffic for long enough.
    pub fn is_complete(&self) -> bool {
        let is_whole = self.growing_share() == FULL_SHARE;
        let is_late = self.elapsed_ms >= self.part_of_deadline(COMPLETION_TIME_PERCENT);
        is_whole && (is_late || self.is_confirmed())
    }

    fn doubled_canary(&self, doublings: u64) -> Share {
        let doubled = u64::from(self.canary_share.get()) << doublings.min(u64::from(u32::BITS - 1));
        Share::new(doubled.min(u64::from(FULL_SHARE_PPM)) as u32)
    }

    fn trials_after_pass(&self) -> u64 {
        self.new.good().get().saturating_sub(self.pass_trials)
    }

    /// Whether there were trials and time for one doubling more than it takes.
    fn is_confirmed(&self) -> bool {
        let factor = FULL_SHARE_PPM.div_ceil(self.canary_share.get().max(1));
        let doublings = u64::from(factor.next_power_of_two().ilog2());
        let trials = doublings * TRIALS_PER_DOUBLING + CONFIRMATION_TRIALS;
        self.trials_after_pass() >= trials && self.doublings_in_time() > doublings
    }

    fn doublings_in_time(&self) -> u64 {
        let doubling_ms = self.part_of_deadline(DOUBLING_TIME_PERCENT);
        self.elapsed_ms.get() / doubling_ms.get().max(1)
    }

    fn part_of_deadline(&self, percent: u64) -> Millis {
        Millis::new(self.deadline_ms.get().saturating_mul(percent) / 100)
    }
}

fn part_of(share: Share, percent: u64) -> Share {
    Share::new((u64::from(share.get()) * percent / 100) as u32)
}

/// Ratio in parts per million, at most the whole.
fn ppm(part: u64, whole: u64) -> Share {
    let parts = part.saturating_mul(u64::from(FULL_SHARE_PPM)) / whole;
    Share::new(parts.min(u64::from(FULL_SHARE_PPM)) as u32)
}
