//! Detection of stalled streams from the gaps between their events.

use parsleylatch_types::{Micros, Millis, MonoTime};

/// Divisor of a new gap's weight in the moving average.
const GAP_SMOOTHING: u64 = 8;
/// Multiple of the mean gap after which a stream counts as stalled.
const STALL_GAP_FACTOR: u64 = 6;
/// Lower bound of the stall timeout. An engine that reads another request's prompt
/// delays an event of this stream by about 230 ms.
const STALL_TIMEOUT_MIN_MS: Millis = Millis::new(280);
/// Upper bound of the stall timeout, in percent of the gap goal. The rest is left
/// for a probe and the first event of another endpoint.
const STALL_GOAL_PERCENT: u64 = 50;
/// Upper bound of the stall timeout of a stream without a gap goal.
const STALL_TIMEOUT_MAX_MS: Millis = Millis::new(1_000);

/// Tracks the gaps between the events of one stream.
#[derive(Debug, Default)]
pub struct StallDetector {
    mean_gap: Option<Micros>,
    last_event_at: Option<MonoTime>,
}

impl StallDetector {
    /// Records the arrival of an event.
    pub fn record_event(&mut self, now: MonoTime) {
        if let Some(last) = self.last_event_at.replace(now) {
            let gap = now.since(last).get();
            let mean = self.mean_gap.map_or(gap, |mean| {
                mean.get() - mean.get() / GAP_SMOOTHING + gap / GAP_SMOOTHING
            });
            self.mean_gap = Some(Micros::new(mean));
        }
    }

    /// Discards the history, because another endpoint continues the stream.
    pub fn restart(&mut self) {
        *self = Self::default();
    }

    /// Time without an event after which the endpoint is probed.
    pub fn stall_timeout(&self, gap_goal_ms: Option<Millis>) -> Millis {
        let limit = gap_goal_ms.map_or(STALL_TIMEOUT_MAX_MS, |goal| {
            Millis::new(goal.get().saturating_mul(STALL_GOAL_PERCENT) / 100)
        });
        let from_gaps = self
            .mean_gap
            .map_or(limit, |mean| mean.saturating_mul(STALL_GAP_FACTOR).millis());
        from_gaps.max(STALL_TIMEOUT_MIN_MS).min(limit)
    }
}
