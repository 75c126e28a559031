//! Structured log lines, counters and latency histograms.

mod event_log;
mod metrics;

pub(crate) use event_log::{flush_log, start_event_log};
pub(crate) use metrics::{RelayCounter, RelayLatency, RelayMetrics};
