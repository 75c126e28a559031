//! Prints answers as aligned text or as JSON.

use eyre::Result;
use serde_json::Value;

/// Prints a list of objects, one a line.
pub(crate) fn list(answer: &Value, as_json: bool) -> Result<()> {
    if as_json {
        println!("{}", serde_json::to_string_pretty(answer)?);
        return Ok(());
    }
    for item in answer.as_array().into_iter().flatten() {
        println!("{}", line(item));
    }
    Ok(())
}

/// Text of an object on one line.
pub(crate) fn line(item: &Value) -> String {
    let fields = item.as_object().into_iter().flatten();
    let shown = fields.map(|(name, value)| format!("{name}={}", plain(value)));
    shown.collect::<Vec<_>>().join("  ")
}

/// Prints an object, one field a line.
pub(crate) fn fields(answer: &Value, as_json: bool) -> Result<()> {
    if as_json {
        println!("{}", serde_json::to_string_pretty(answer)?);
        return Ok(());
    }
    for (name, value) in answer.as_object().into_iter().flatten() {
        println!("{name:<28} {}", plain(value));
    }
    Ok(())
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
