//! How long streams take, to tell which of them a stopping process can still complete.
//!
//! Load pattern: a planned stop of a node while the engines are full. Streams then take
//! longer than on an idle engine, by a factor that the streams that have just finished
//! show.

use parsleylatch_types::{Micros, Millis, Percent};

use super::engine_load::StreamSize;
use crate::relay::selector::PREFILL_TOKENS_PER_MS;

/// Time per generated token on a lightly loaded engine: a step takes 3.4 to 3.6 ms, and
/// slightly more with other requests in the batch.
const TOKEN_INTERVAL_US: Micros = Micros::new(3_900);
/// Duration of a stream on a lightly loaded engine, relative to the estimate.
const IDLE_PERCENT: u64 = 100;
/// Weight of the latest stream in the mean, in percent.
const LATEST_WEIGHT_PERCENT: u64 = 30;
/// Durations beyond this factor come from faults of engines rather than from their load.
const LONGEST_PERCENT: u64 = 400;

/// Duration of a service's recent streams, relative to the estimate for an idle engine.
#[derive(Clone, Copy, Debug)]
pub struct StreamDurations {
    mean: Percent,
}

impl Default for StreamDurations {
    fn default() -> Self {
        Self {
            mean: Percent::new(IDLE_PERCENT as u32),
        }
    }
}

impl StreamDurations {
    /// Records that one attempt has run a whole stream in `duration`.
    pub fn record(&mut self, size: StreamSize, duration: Micros) {
        let estimate = idle_duration(size).get().max(1);
        let latest = duration.get().saturating_mul(100) / estimate;
        // A stream may have fewer tokens than its maximum.
        let latest = latest.clamp(IDLE_PERCENT, LONGEST_PERCENT);
        let earlier = u64::from(self.mean.get()) * (100 - LATEST_WEIGHT_PERCENT);
        let mean = (earlier + latest * LATEST_WEIGHT_PERCENT).div_ceil(100);
        self.mean = Percent::new(mean as u32);
    }

    /// Expected duration of a stream that is sent now.
    pub fn expected(&self, size: StreamSize) -> Micros {
        let idle = idle_duration(size);
        Micros::new(idle.get().saturating_mul(u64::from(self.mean.get())) / 100)
    }
}

/// Estimated duration on a lightly loaded engine.
fn idle_duration(size: StreamSize) -> Micros {
    let prefill = Millis::new(u64::from(size.prompt.get()) / PREFILL_TOKENS_PER_MS);
    let decode = TOKEN_INTERVAL_US.saturating_mul(u64::from(size.output.get()));
    prefill.micros().saturating_add(decode)
}
