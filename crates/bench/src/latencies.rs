//! Histogram of latencies.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Significant decimal digits that are kept.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1_000.0;

/// Latencies in microseconds.
#[derive(Clone, Debug)]
pub struct Latencies {
    histogram: Histogram<u64>,
}

impl Default for Latencies {
    fn default() -> Self {
        Self::new()
    }
}

impl Latencies {
    /// Histogram without latencies.
    pub fn new() -> Self {
        let histogram = Histogram::new(SIGNIFICANT_DIGITS).expect("3 digits are allowed");
        Self { histogram }
    }

    /// Adds a latency.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        // The histogram grows as needed.
        let _ = self.histogram.record(micros);
    }

    /// Adds the latencies of another histogram.
    pub fn merge(&mut self, other: &Self) {
        let _ = self.histogram.add(&other.histogram);
    }

    /// Latencies that were recorded.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Latency that a percentage does not exceed; 0 without latencies.
    pub fn percentile_ms(&self, percent: f64) -> f64 {
        if self.histogram.is_empty() {
            return 0.0;
        }
        self.histogram.value_at_percentile(percent) as f64 / MICROS_PER_MILLI
    }
}
