//! Chart file format: JSON with comments.

use std::collections::BTreeMap;

use json_comments::StripComments;
use serde::Deserialize;

use crate::error::{ChartError, ChartErrorKind};

/// A deserialized chart file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChartFile {
    /// Name of the chart.
    pub chart: String,
    /// One-sentence description of what the chart models.
    pub about: String,
    /// State in which instances start.
    pub initial: String,
    /// Constant timeouts by name, in milliseconds.
    #[serde(default)]
    pub timeouts_ms: BTreeMap<String, u64>,
    /// States by name.
    pub states: BTreeMap<String, StateDefinition>,
}

/// Definition of a state in a chart file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateDefinition {
    /// Whether the state is final.
    #[serde(default, rename = "final")]
    pub is_final: bool,
    /// Actions that run when the state is entered.
    #[serde(default)]
    pub entry: Vec<String>,
    /// Actions that run when the state is left.
    #[serde(default)]
    pub exit: Vec<String>,
    /// Timeout of the state, with the event that it fires.
    pub after: Option<TimeoutDefinition>,
    /// Transitions by event. The first one whose guard holds is taken.
    #[serde(default)]
    pub on: BTreeMap<String, Vec<TransitionDefinition>>,
    /// Events that have no effect in this state.
    #[serde(default)]
    pub ignore: Vec<String>,
}

/// Definition of a state's timeout.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimeoutDefinition {
    /// Name of a constant timeout or of a computed duration.
    pub timeout: String,
    /// Event that fires on timeout.
    pub event: String,
}

/// Definition of a transition.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TransitionDefinition {
    /// Name of the guard that must hold; a leading `!` negates it.
    pub guard: Option<String>,
    /// Target state. Without a target the transition is internal: the state is neither left
    /// nor entered, and its timeout keeps running.
    pub to: Option<String>,
    /// Actions that run after the exit actions and before the entry actions.
    #[serde(default, rename = "do")]
    pub actions: Vec<String>,
}

impl ChartFile {
    /// Parses the text of a chart file.
    ///
    /// # Errors
    /// [`ChartErrorKind::Malformed`] with the line and the field if the text does not have the
    /// expected format.
    pub fn parse(name: &str, text: &str) -> Result<Self, ChartError> {
        let stripped = StripComments::new(text.as_bytes());
        let mut reader = serde_json::Deserializer::from_reader(stripped);
        serde_path_to_error::deserialize(&mut reader).map_err(|error| ChartError {
            chart: name.to_owned(),
            kind: ChartErrorKind::Malformed {
                line: error.inner().line(),
                field: error.path().to_string(),
                reason: error.inner().to_string(),
            },
        })
    }
}
