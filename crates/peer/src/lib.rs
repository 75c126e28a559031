//! Connections between nodes: framing, batched writes, reconnection.
//!
//! A node opens one connection to each peer that it sends to; replies return on
//! the same connection. A [`Link`] reports when it goes up and down. Messages
//! sent on a link that went down may be lost, so senders resend what they still
//! need delivered.

mod codec;
mod link;
mod move_counts;
mod query;
mod server;

pub use link::{Identity, Link, LinkEvent, Received, ReplySender, connect};
pub use move_counts::{decode_move_counts, encode_move_counts};
pub use query::send_query;
pub use server::{ServeLimits, serve};
