//! Messages: JSON bodies over HTTP, and prost messages between nodes.
//!
//! Nothing here decides; the types mirror what travels.

pub mod caller;
pub mod engine;
mod frame;
pub mod platform;

pub use frame::{FrameError, MAX_FRAME_SIZE, PeerCodec, uncompressed_frame_size};
pub use generated::{gossip, journal, moves, peer, relay};

/// Code that `prost` generates from `proto/*.proto`; committed, so that the
/// build needs no generator.
#[allow(missing_docs, clippy::all, clippy::redundant_closure_for_method_calls)]
#[rustfmt::skip]
mod generated {
    /// What nodes tell one another.
    pub mod gossip {
        include!("generated/parsleylatch.gossip.rs");
    }
    /// Journal of generations.
    pub mod journal {
        include!("generated/parsleylatch.journal.rs");
    }
    /// Counts of version moves.
    pub mod moves {
        include!("generated/parsleylatch.moves.rs");
    }
    /// What relays ask each other.
    pub mod relay {
        include!("generated/parsleylatch.relay.rs");
    }
    /// Envelope of the messages between nodes.
    pub mod peer {
        include!("generated/parsleylatch.peer.rs");
    }
}
