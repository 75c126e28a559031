//! Randomized fault soak of the relay.
//!
//! Runs relays as separate processes and injects faults from outside: signals, links that
//! delay, stall or reset connections, and faults of the store and the endpoints. Checks the
//! requests and responses that callers and endpoints observe against invariants during the
//! whole run. The seed determines which faults are injected and when, and the random choices
//! of each caller; timing still depends on the machine.

mod args;
mod callers;
mod checker;
mod controller;
mod disturbances;
mod environment;
mod invariants;
mod lifecycle;
mod link;
mod observations;
mod plan;
mod process;
mod run;
mod run_time;
mod silence_plan;

pub use args::{SoakArgs, main};
pub use invariants::{Invariant, Violation};
pub use observations::Tally;
pub use plan::Profile;
pub use run::{RunReport, RunSpec, run};
