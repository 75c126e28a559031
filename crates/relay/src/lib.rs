//! The relay: a node that forwards requests without interpreting their bodies.
//!
//! One control thread reads the configuration and the endpoints from the store, or
//! from other nodes while the store is unavailable, and publishes snapshots of them.
//! Traffic threads own the callers' connections. The platform's message formats are
//! supplied from outside as a [`RelayCodec`].

mod args;
mod caller_places;
mod codec;
mod control;
mod input;
mod load_header;
mod memory;
mod own_codec;
mod relay;
mod shared;
mod telemetry;
mod traffic;

pub use args::{RelayArgs, main};
pub use codec::{
    CopyCodec, DocumentCodec, ForwardMetadata, RelayCodec, RequestCodec, RequestMetadata,
    ResponseCodec, ResponseMetadata, RolloutCodec,
};
pub use load_header::read_load;
pub use relay::{Relay, RelayAddresses};
