//! Prints API responses as text or JSON.

use eyre::Result;
use serde_json::Value;

/// Prints a list of objects, one per line.
pub(crate) fn list(response: &Value, as_json: bool) -> Result<()> {
    if as_json {
        println!("{}", serde_json::to_string_pretty(response)?);
        return Ok(());
    }
    for item in response.as_array().into_iter().flatten() {
        println!("{}", line(item));
    }
    Ok(())
}

/// Formats an object on a single line.
pub(crate) fn line(item: &Value) -> String {
    let fields = item.as_object().into_iter().flatten();
    let shown = fields.map(|(name, value)| format!("{name}={}", format_value(value)));
    shown.collect::<Vec<_>>().join("  ")
}

/// Prints an object, one field per line.
pub(crate) fn fields(response: &Value, as_json: bool) -> Result<()> {
    if as_json {
        println!("{}", serde_json::to_string_pretty(response)?);
        return Ok(());
    }
    for (name, value) in response.as_object().into_iter().flatten() {
        println!("{name:<28} {}", format_value(value));
    }
    Ok(())
}

fn format_value(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_owned)
}
