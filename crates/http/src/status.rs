//! Statuses that a response may have.
//!
//! The HTTP library reads any status of three digits. HTTP defines 100 to 599, and callers
//! can't interpret others, so a response with one counts as a failed attempt: neither its
//! body nor its headers are used.

use thiserror::Error;

/// Status outside the range that HTTP defines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("response with invalid status {0}")]
pub struct InvalidStatus(pub u16);

/// Checks the status of a response of an endpoint, another node or the store.
///
/// # Errors
/// [`InvalidStatus`] if HTTP does not define the status.
pub fn check_response_status(status: u16) -> Result<(), InvalidStatus> {
    match status {
        100..=599 => Ok(()),
        invalid => Err(InvalidStatus(invalid)),
    }
}
