//! Decision logic of a node, free of I/O.
//!
//! Each role is one struct. It takes an event and the monotonic time, and
//! returns the effects that the calling code has to carry out:
//! `handle(now, input) -> Vec<Effect>`. `next_deadline()` returns the time at
//! which `expire(now)` is due. Nothing here reads a clock, starts a thread, opens
//! a socket or encodes a message, and random numbers come from a generator that
//! the calling code seeds, so tests and other front ends run the same code.
//!
//! State machines are defined by state charts (`charts/*.jsonc`), which are
//! compiled when the process starts; [`verify::charts`] returns the first error.

pub mod admission;
pub mod call;
pub mod charts;
pub mod configuration;

pub mod deployment;
pub mod endpoint_health;
pub mod generation;
pub mod gossip;
pub mod journal;
pub mod lease_holder;
pub mod limits;
pub mod listener_places;
pub mod membership;
pub mod moves;
pub mod node_life;
pub mod placement;
pub mod refusal;
pub mod relay;
pub mod store_eras;
pub mod store_session;
pub mod verify;
pub mod version_choice;
pub mod view;
pub mod vm_list;
