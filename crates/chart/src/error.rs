//! Errors of loading and checking a chart.

use thiserror::Error;

/// A chart that can't be used, with the chart's name and what is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("chart `{chart}`: {kind}")]
pub struct ChartError {
    /// Name of the chart, or of its file where the name can't be read.
    pub chart: String,
    /// What is wrong.
    pub kind: ChartErrorKind,
}

/// What is wrong with a chart.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ChartErrorKind {
    /// The file is not JSON of the expected form.
    #[error("line {line}, field `{field}`: {reason}")]
    Malformed {
        /// Line of the file, from 1.
        line: usize,
        /// Path of the field.
        field: String,
        /// What the reader said.
        reason: String,
    },
    /// A name that nothing defines.
    #[error("{location} names the {kind} `{name}`, which is not defined")]
    Unresolved {
        /// Where the name stands.
        location: String,
        /// Kind of the name.
        kind: &'static str,
        /// The name.
        name: String,
    },
    /// A definition that nothing uses.
    #[error("the {kind} `{name}` is defined but not used")]
    Unused {
        /// Kind of the definition.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// A state that no transition leads to.
    #[error("state `{state}` can't be reached from the initial state")]
    Unreachable {
        /// The state.
        state: String,
    },
    /// An event that a state neither handles nor ignores.
    #[error("state `{state}` neither handles nor ignores the event `{event}`")]
    Unhandled {
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
    /// An event that a state both handles and ignores.
    #[error("state `{state}` both handles and ignores the event `{event}`")]
    HandledAndIgnored {
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
    /// Transitions of which not exactly the last is unguarded.
    #[error("state `{state}`, event `{event}`: exactly the last transition has no guard")]
    InvalidDefaultTransition {
        /// The state.
        state: String,
        /// The event.
        event: String,
    },
    /// A final state that handles, ignores or waits for something.
    #[error("final state `{state}` has transitions, ignored events or a timeout")]
    FinalWithTransitions {
        /// The state.
        state: String,
    },
}
