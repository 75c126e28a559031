//! Randomized fault soak of the relay.
//!
//! Relays run as processes of their own. Faults come from outside them: signals,
//! links that delay, reset, hold back or silence, a store and endpoints that
//! misbehave. What callers and endpoints see is held against the promises all the
//! while. A seed fixes which faults strike when; the rest is up to the machine.

mod args;
mod callers;
mod controller;
mod disturbances;
mod environment;
mod invariants;
mod lifecycle;
mod link;
mod plan;
mod process;
mod run;

pub use args::{SoakArgs, main};
pub use invariants::{Invariant, Tally, Violation};
pub use run::{RunReport, RunSpec, run};
