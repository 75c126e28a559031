//! How long streams take, to tell which of them a stopping process can still complete.
//!
//! Load pattern: a planned stop of a node while the engines are busy. Streams then take
//! longer than on an idle engine, and not all equally long; those that have just finished
//! show by how much. The mean and the mean deviation are updated as for a retransmission
//! timeout.

use parsleylatch_types::{Micros, Millis};

use super::engine_load::StreamSize;
use crate::relay::placement_cost::PREFILL_TOKENS_PER_MS;

/// Time per generated token on a lightly loaded engine: a step takes 3.4 to 3.6 ms, and
/// slightly more with other requests in the batch.
const TOKEN_INTERVAL_US: Micros = Micros::new(3_900);
/// Duration of a stream on a lightly loaded engine, in ppm of the estimate.
const IDLE_PPM: u64 = 1_000_000;
/// Deviation before any stream has finished, in ppm of the estimate.
const INITIAL_DEVIATION_PPM: u64 = 100_000;
/// Durations beyond this, in ppm of the estimate, come from faults of engines rather than
/// from their load.
const LONGEST_PPM: u64 = 4_000_000;
/// Divisor of the weight of the latest stream.
const LATEST_WEIGHT_DIVISOR: u64 = 8;
/// Mean deviations beyond the mean by which nearly all streams have ended.
const DEVIATIONS: u64 = 2;

/// Durations of a service's recent streams, in ppm of the estimate for an idle engine.
#[derive(Clone, Copy, Debug)]
pub struct StreamDurations {
    mean_ppm: u64,
    deviation_ppm: u64,
}

impl Default for StreamDurations {
    fn default() -> Self {
        Self {
            mean_ppm: IDLE_PPM,
            deviation_ppm: INITIAL_DEVIATION_PPM,
        }
    }
}

impl StreamDurations {
    /// Records that one attempt has run a whole stream in `duration`.
    pub fn record(&mut self, size: StreamSize, duration: Micros) {
        let estimate = idle_duration(size).get().max(1);
        let latest = duration.get().saturating_mul(IDLE_PPM) / estimate;
        // A stream may have fewer tokens than its maximum.
        let latest = latest.clamp(IDLE_PPM, LONGEST_PPM);
        let deviation = latest.abs_diff(self.mean_ppm);
        self.deviation_ppm = weighted(self.deviation_ppm, deviation);
        self.mean_ppm = weighted(self.mean_ppm, latest);
    }

    /// Time within which a stream that is sent now very likely ends.
    pub fn expected(&self, size: StreamSize) -> Micros {
        let ppm = self.mean_ppm + DEVIATIONS * self.deviation_ppm;
        Micros::new(idle_duration(size).get().saturating_mul(ppm) / IDLE_PPM)
    }
}

fn weighted(earlier: u64, latest: u64) -> u64 {
    (earlier * (LATEST_WEIGHT_DIVISOR - 1) + latest) / LATEST_WEIGHT_DIVISOR
}

/// Estimated duration on a lightly loaded engine.
fn idle_duration(size: StreamSize) -> Micros {
    let prefill = Millis::new(u64::from(size.prompt.get()) / PREFILL_TOKENS_PER_MS);
    let decode = TOKEN_INTERVAL_US.saturating_mul(u64::from(size.output.get()));
    prefill.micros().saturating_add(decode)
}
