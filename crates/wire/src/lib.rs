//! Message formats: JSON bodies over HTTP, and protobuf messages between nodes.
//!
//! The types only mirror the encoding; decisions are made in other crates.

pub mod caller;
pub mod engine;
mod frame;
pub mod platform;

pub use frame::{FrameError, MAX_FRAME_SIZE, PeerCodec, uncompressed_frame_size};
pub use generated::{gossip, journal, moves, peer, relay};

/// Code that `prost` generates from `proto/*.proto`; it is committed so that the build
/// does not run a generator.
#[allow(missing_docs, clippy::all, clippy::redundant_closure_for_method_calls)]
#[rustfmt::skip]
mod generated {
    /// Gossip between nodes.
    pub mod gossip {
        include!("generated/parsleylatch.gossip.rs");
    }
    /// Replication of generation journals.
    pub mod journal {
        include!("generated/parsleylatch.journal.rs");
    }
    /// Trial counts of version moves.
    pub mod moves {
        include!("generated/parsleylatch.moves.rs");
    }
    /// State exchange between relays.
    pub mod relay {
        include!("generated/parsleylatch.relay.rs");
    }
    /// Envelope of all messages between nodes.
    pub mod peer {
        include!("generated/parsleylatch.peer.rs");
    }
}
