//! Links between nodes: framing, batching of writes, reconnects.
//!
//! Each node opens one connection to each node that it talks to, and answers
//! come back on the same connection. A link says when it is up and down; what
//! was sent on a link that went down may be lost, and the sender has to send it
//! again when it still matters.

mod link;
mod move_counts;
mod query;
mod server;

pub use link::{Identity, Link, LinkEvent, Received, ReplySender, connect};
pub use move_counts::{decode_move_counts, encode_move_counts};
pub use query::send_query;
pub use server::serve;
