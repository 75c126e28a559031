//! When the silence of a stream is suspicious.

use parsleylatch_types::{Micros, Millis, MonoTime};

/// Weight of a new gap in the mean, as one part in this many.
const GAP_SMOOTHING: u64 = 8;
/// Gaps of the mean after which silence is suspicious.
const SUSPICIOUS_GAPS: u64 = 6;
/// Shortest silence that is suspicious; a prompt that is read beside the stream
/// holds one event back for about 230 ms.
const SUSPICION_FLOOR_MS: Millis = Millis::new(280);
/// Part of the gap goal after which silence is suspicious at the latest, in
/// percent; the rest has to do for a probe and the next endpoint's first event.
const SUSPICION_GOAL_PERCENT: u64 = 50;
/// Longest unsuspicious silence of a stream without a gap goal.
const SUSPICION_LIMIT_MS: Millis = Millis::new(1_000);

/// Time between the events of one stream.
#[derive(Debug, Default)]
pub struct StreamPace {
    mean_gap: Option<Micros>,
    last_event_at: Option<MonoTime>,
}

impl StreamPace {
    /// Notes an event.
    pub fn note_event(&mut self, now: MonoTime) {
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
    pub fn suspicious_after(&self, gap_goal_ms: Option<Millis>) -> Millis {
        let limit = gap_goal_ms.map_or(SUSPICION_LIMIT_MS, |goal| {
            Millis::new(goal.get() * SUSPICION_GOAL_PERCENT / 100)
        });
        let paced = self
            .mean_gap
            .map_or(limit, |mean| mean.times(SUSPICIOUS_GAPS).millis());
        paced.max(SUSPICION_FLOOR_MS).min(limit)
    }
}
