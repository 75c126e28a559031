//! The relay: a node whose front end passes on opaque requests.
//!
//! One control thread learns configuration and endpoints, from the store or from
//! other nodes while the store turns this one away, and publishes snapshots.
//! Traffic threads own callers' connections. What the messages of the platform
//! mean comes from outside as a [`RelayCodec`].

mod args;
mod codec;
mod control;
mod input;
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
pub use relay::{Relay, RelayAddresses};
