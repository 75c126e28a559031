//! When the silence of a stream is suspicious.

use parsleylatch_types::{Micros, Millis, MonoTime};

/// Weight of a new gap in the mean, as one part in this many.
const GAP_SMOOTHING: u64 = 8;
/// Gaps of the mean after which silence is suspicious.
const STALL_GAP_FACTOR: u64 = 6;
/// Shortest silence that is suspicious; a prompt that is read beside the stream
/// holds one event back for about 230 ms.
const STALL_TIMEOUT_MIN_MS: Millis = Millis::new(280);
/// Part of the gap goal after which silence is suspicious at the latest, in
/// percent; the rest has to do for a probe and the next endpoint's first event.
const STALL_GOAL_PERCENT: u64 = 50;
/// Longest unsuspicious silence of a stream without a gap goal.
const STALL_TIMEOUT_MAX_MS: Millis = Millis::new(1_000);

/// Time between the events of one stream.
#[derive(Debug, Default)]
pub struct StallDetector {
    mean_gap: Option<Micros>,
    last_event_at: Option<MonoTime>,
}

impl StallDetector {
    /// Notes an event.
    pub fn record_event(&mut self, now: MonoTime) {
        if let Some(last) = self.last_event_at.replace(now) {
            let gap = now.since(last).get();
            let mean = self.mean_gap.map_or(gap, |mean| {
                mean.get() - mean.get() / GAP_SMOOTHING + gap / GAP_SMOOTHING
            });
            self.mean_gap = Some(Micros::new(mean));
        }
    }

    /// Forgets the last event, as another endpoint goes on.
    pub fn restart(&mut self) {
        *self = Self::default();
    }

    /// Silence after which the endpoint is probed.
    pub fn stall_timeout(&self, gap_goal_ms: Option<Millis>) -> Millis {
        let limit = gap_goal_ms.map_or(STALL_TIMEOUT_MAX_MS, |goal| {
            Millis::new(goal.get() * STALL_GOAL_PERCENT / 100)
        });
        let from_gaps = self
            .mean_gap
            .map_or(limit, |mean| mean.times(STALL_GAP_FACTOR).millis());
        from_gaps.max(STALL_TIMEOUT_MIN_MS).min(limit)
    }
}
