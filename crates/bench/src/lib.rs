//! Load generation, history checks and measurements of `parsleylatch-bench`.
//!
//! Callers record a history of their requests, which [`check`] verifies. The other
//! commands measure latency, resumption after losses, cost by system size, and what
//! endless messages take of a relay.

mod args;
pub mod caller;
mod calls;
pub mod check;
pub mod control;
mod direct;
mod endless;
pub mod exchange;
mod failover;
pub mod fleet;
mod group_commit;
pub mod history;
pub mod journal;
mod latencies;
mod latency;
mod launch;
mod load;
mod machine_steps;
mod node_loss;
mod plot;
pub mod process;
mod prompts;
mod replay;
pub mod report;
pub mod resuming;
mod slopes;
pub mod slots;
mod timing;

pub use args::{Args, run};
pub use latencies::Latencies;
