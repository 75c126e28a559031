//! The node: threads, sockets and the effects that decisions ask for.
//!
//! One control thread owns the configuration, the endpoint table and the
//! node's life, and publishes immutable snapshots. Traffic threads own the
//! requests they accepted; they read snapshots without locks and send reports
//! over a bounded channel. Every wait is for an event or a deadline.

mod args;
mod claims;
mod control;
pub mod gossip_codec;
mod node;
mod peering;
mod running;
mod shared;
mod telemetry;
mod traffic;

pub use args::{Args, main};
pub use node::{Addresses, Node};
pub use telemetry::Counter;
