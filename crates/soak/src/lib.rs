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
mod fault_injection;
mod invariants;
mod lifecycle;
mod limits_plan;
mod link;
mod loss_judge;
mod new_caller_check;
mod notice_checks;
mod observations;
mod plan;
mod process;
mod run;
mod run_time;
mod silence_plan;
mod silent_caller;
mod timeline;

pub use args::{SoakArgs, main};
pub use disturbances::{DisturbanceLog, SETTLE_MS, Scope};
pub use invariants::{Invariant, Violation};
pub use loss_judge::{EndedRequest, Loss, LossJudge, RequestEnd};
pub use observations::Tally;
pub use plan::Profile;
pub use run::{RunReport, RunSpec, run};
