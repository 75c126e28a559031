//! Errors from reading and validating a document.

use thiserror::Error;

/// Error that makes a document unusable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: field `{field}`: {kind}")]
pub struct SettingsError {
    /// File name of the document.
    pub file: String,
    /// Line number, starting at 1; 0 if the error concerns the whole file.
    pub line: usize,
    /// Path of the field, separated by dots.
    pub field: String,
    /// Cause of the error.
    pub kind: SettingsErrorKind,
}

/// Cause of a [`SettingsError`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsErrorKind {
    /// Reading the file failed.
    #[error("the file can't be read: {0}")]
    Unreadable(String),
    /// The text is not JSON with comments, or a value has the wrong type.
    #[error("{0}")]
    Malformed(String),
    /// The document has a field that is not defined.
    #[error("unknown field `{name}`; the nearest known field is `{nearest}`")]
    UnknownField {
        /// Name in the document.
        name: String,
        /// Known name with the smallest edit distance.
        nearest: String,
    },
    /// The value has the right type but is not allowed.
    #[error("{0}")]
    InvalidValue(String),
}
