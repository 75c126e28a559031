//! State charts: files that say which states a life has and how events move it
//! between them, and the interpreter that the rest of the code steps.
//!
//! A chart file names states, events, guards, actions and timeouts. The code
//! gives guards, actions and computed durations by name in [`Bindings`];
//! [`Machine::compile`] checks the file against them and against the `State`
//! and `Event` enums, and lays the transitions out in a dense table. A step
//! costs an index into that table and the calls of the guards and actions.

mod bindings;
mod check;
mod error;
mod file;
mod machine;
mod mermaid;
mod names;

pub use bindings::Bindings;
pub use error::{ChartError, ChartErrorKind};
pub use file::{ChartFile, StateDefinition, TimeoutDefinition, TransitionDefinition};
pub use machine::{Instance, Machine};
pub use mermaid::to_mermaid;
#[doc(hidden)]
pub use strum;
