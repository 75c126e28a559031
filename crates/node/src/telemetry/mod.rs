//! Logs, counters and traces.

mod counters;
mod event_log;
mod logs;
mod relay_metrics;
mod traces;

pub use counters::Counter;
pub(crate) use counters::{Counters, StatsdReporter};
pub(crate) use event_log::{flush_log, start_event_log};
pub(crate) use logs::start_logging;
pub(crate) use relay_metrics::{RelayCounter, RelayLatency, RelayMetrics};
pub(crate) use traces::{child_span, encode_parent, flush, root_span, start_traces};
