//! Logging, counters and tracing.

mod counters;
mod logs;
mod traces;

pub use counters::Counter;
pub(crate) use counters::{Counters, StatsdReporter};
pub(crate) use logs::start_logging;
pub(crate) use traces::{child_span, encode_traceparent, flush, root_span, start_traces};
