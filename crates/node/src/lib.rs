//! The node: its threads and sockets, and the I/O that the decision logic requests.
//!
//! The control thread owns the configuration, the endpoint table and the node's
//! lifecycle, and publishes immutable snapshots. Each traffic thread owns the
//! requests that it accepted, reads snapshots without locks and sends reports
//! over a bounded channel. All waits block on an event or a deadline.

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
