//! Histogram of latencies.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Significant decimal digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;
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
    /// Creates an empty histogram.
    pub fn new() -> Self {
        let histogram = Histogram::new(SIGNIFICANT_DIGITS).expect("3 digits are allowed");
        Self { histogram }
    }

    /// Adds a latency.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        // The histogram resizes automatically, so recording does not fail.
        let _ = self.histogram.record(micros);
    }

    /// Merges the latencies of another histogram.
    pub fn merge(&mut self, other: &Self) {
        let _ = self.histogram.add(&other.histogram);
    }

    /// Number of recorded latencies.
    pub fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// Returns a percentile in milliseconds, or 0 if nothing was recorded.
    pub fn percentile_ms(&self, percent: f64) -> f64 {
        if self.histogram.is_empty() {
            return 0.0;
        }
        self.histogram.value_at_percentile(percent) as f64 / MICROS_PER_MILLI
    }
}
