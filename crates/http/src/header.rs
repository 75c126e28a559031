//! Headers that must not come twice.

use http::{HeaderMap, HeaderName};

/// Value of a header, without spaces around it.
///
/// # Errors
/// The header's name if it comes twice or is not text.
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

/// Value of a header that holds a whole number.
///
/// # Errors
/// As [`single_header`], or that it is no whole number.
pub fn u64_header(headers: &HeaderMap, name: &HeaderName) -> Result<Option<u64>, String> {
    let Some(text) = single_header(headers, name)? else {
        return Ok(None);
    };
    let number = text.parse().map(Some);
    number.map_err(|_| format!("{name} is not a whole number"))
}
