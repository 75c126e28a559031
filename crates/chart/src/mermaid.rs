//! Renders a chart as a Mermaid state diagram.

use std::fmt::Write as _;

use crate::file::{ChartFile, StateDefinition};

/// Returns the source of a Mermaid `stateDiagram-v2` of the chart.
pub fn to_mermaid(file: &ChartFile) -> String {
    let mut text = format!("%% {}: {}\nstateDiagram-v2\n", file.chart, file.about);
    let _ = writeln!(text, "    [*] --> {}", file.initial);
    for (name, state) in &file.states {
        write_state(&mut text, name, state);
    }
    text
}

fn write_state(text: &mut String, name: &str, state: &StateDefinition) {
    for (event, transitions) in &state.on {
        for transition in transitions {
            let target = transition.to.as_deref().unwrap_or(name);
            let guard = transition.guard.as_ref().map(|guard| format!(" [{guard}]"));
            let _ = writeln!(
                text,
                "    {name} --> {target}: {event}{}",
                guard.unwrap_or_default()
            );
        }
    }
    if let Some(after) = &state.after {
        let _ = writeln!(
            text,
            "    note right of {name}: {} after {}",
            after.event, after.timeout
        );
    }
    if state.is_final {
        let _ = writeln!(text, "    {name} --> [*]");
    }
}
