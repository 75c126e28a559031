//! State charts: a file format for state machines, and its interpreter.
//!
//! A chart file refers to states, events, guards, actions and timeouts by name. The
//! code provides guards, actions and computed durations through [`Bindings`], and
//! states and events as enums. [`Machine::compile`] validates the file against both
//! and builds a dense transition table, so that a step costs one table lookup plus
//! the calls of its guards and actions.

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
