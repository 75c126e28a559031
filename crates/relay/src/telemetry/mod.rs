//! Structured log lines, counters and latency histograms.

mod crossings;
mod event_log;
mod metrics;

pub(crate) use crossings::CrossingCounter;
pub(crate) use event_log::{flush_log, start_event_log};
pub(crate) use metrics::{RelayCounter, RelayLatency, RelayMetrics};
