//! Form of a chart file: JSON with comments.

use std::collections::BTreeMap;

use json_comments::StripComments;
use serde::Deserialize;

use crate::error::{ChartError, ChartErrorKind};

/// A chart as its file has it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChartFile {
    /// Name of the chart.
    pub chart: String,
    /// One sentence on the life that the chart describes.
    pub about: String,
    /// State in which a life starts.
    pub initial: String,
    /// Named constant timeouts, in milliseconds.
    #[serde(default)]
    pub timeouts_ms: BTreeMap<String, u64>,
    /// States by name.
    pub states: BTreeMap<String, StateDefinition>,
}

/// One state of a chart file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateDefinition {
    /// Whether the life ends here.
    #[serde(default, rename = "final")]
    pub is_final: bool,
    /// Actions on entering the state.
    #[serde(default)]
    pub entry: Vec<String>,
    /// Actions on leaving the state.
    #[serde(default)]
    pub exit: Vec<String>,
    /// Event that fires if the state lasts too long.
    pub after: Option<TimeoutDefinition>,
    /// Transitions by event; the first whose guard holds is taken.
    #[serde(default)]
    pub on: BTreeMap<String, Vec<TransitionDefinition>>,
    /// Events that do nothing in this state.
    #[serde(default)]
    pub ignore: Vec<String>,
}

/// Timeout of a state.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TimeoutDefinition {
    /// Name of a constant timeout, or of a duration that the code computes.
    pub timeout: String,
    /// Event that fires.
    pub event: String,
}

/// One transition.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TransitionDefinition {
    /// Guard that has to hold; a leading `!` negates it.
    pub guard: Option<String>,
    /// Target state. Without one the state, and its timeout, stay as they are.
    pub to: Option<String>,
    /// Actions, between the exit and the entry actions.
    #[serde(default, rename = "do")]
    pub actions: Vec<String>,
}

impl ChartFile {
    /// Reads the text of a chart file.
    ///
    /// # Errors
    /// [`ChartErrorKind::Malformed`] with line and field if the text has another form.
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
