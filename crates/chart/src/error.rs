//! Errors from loading and validating a chart.

use thiserror::Error;

/// Error that makes a chart unusable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("chart `{chart}`: {kind}")]
pub struct ChartError {
    /// Name of the chart, or of its file if the file could not be parsed.
    pub chart: String,
    /// Cause of the error.
    pub kind: ChartErrorKind,
}

/// Cause of a [`ChartError`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChartErrorKind {
    /// The file is not JSON of the expected structure.
    #[error("line {line}, field `{field}`: {reason}")]
    Malformed {
        /// Line number, starting at 1.
        line: usize,
        /// Path of the field.
        field: String,
        /// Error message of the JSON parser.
        reason: String,
    },
    /// A name is used but not defined.
    #[error("{location} refers to the undefined {kind} `{name}`")]
    Unresolved {
        /// Place where the name is used.
        location: String,
        /// Kind of item that the name refers to.
        kind: &'static str,
        /// Undefined name.
        name: String,
    },
    /// An item is defined but not used.
    #[error("the {kind} `{name}` is defined but not used")]
    Unused {
        /// Kind of item.
        kind: &'static str,
        /// Name of the item.
        name: String,
    },
    /// A state is not reachable from the initial state.
    #[error("state `{state}` is unreachable from the initial state")]
    Unreachable {
        /// Name of the state.
        state: String,
    },
    /// A state neither handles nor ignores an event.
    #[error("state `{state}` neither handles nor ignores the event `{event}`")]
    Unhandled {
        /// Name of the state.
        state: String,
        /// Name of the event.
        event: String,
    },
    /// A state both handles and ignores an event.
    #[error("state `{state}` both handles and ignores the event `{event}`")]
    HandledAndIgnored {
        /// Name of the state.
        state: String,
        /// Name of the event.
        event: String,
    },
    /// The last transition for an event has a guard, or an earlier one has none.
    #[error(
        "state `{state}`, event `{event}`: the last transition, and no other, must be unguarded"
    )]
    InvalidDefaultTransition {
        /// Name of the state.
        state: String,
        /// Name of the event.
        event: String,
    },
    /// A final state has transitions, ignored events or a timeout.
    #[error("final state `{state}` has transitions, ignored events or a timeout")]
    FinalWithTransitions {
        /// Name of the state.
        state: String,
    },
}
