//! Reads headers that may occur only once.

use http::{HeaderMap, HeaderName};

/// Returns the trimmed value of a header, or `None` if it is absent.
///
/// # Errors
/// Returns a message with the header's name if it is repeated or not visible ASCII.
pub fn single_header<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, String> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(format!("{name} comes twice"));
    }
    let text = value.to_str().map_err(|_| format!("{name} is not text"))?;
    Ok(Some(text.trim()))
}

/// Returns the value of a header as an unsigned integer, or `None` if it is absent.
///
/// # Errors
/// Same as [`single_header`]; also if the value is not an unsigned integer.
pub fn u64_header(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, String> {
    let Some(text) = single_header(headers, name)? else {
        return Ok(None);
    };
    let number = text.parse().map(Some);
    number.map_err(|_| format!("{name} is not a whole number"))
}
