//! Errors of reading and checking a document.

use thiserror::Error;

/// A document that can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: field `{field}`: {kind}")]
pub struct SettingsError {
    /// Name of the file.
    pub file: String,
    /// Line, from 1; 0 where the whole file is meant.
    pub line: usize,
    /// Path of the field, with dots.
    pub field: String,
    /// What is wrong.
    pub kind: SettingsErrorKind,
}

/// What is wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SettingsErrorKind {
    /// The file can't be read.
    #[error("the file can't be read: {0}")]
    Unreadable(String),
    /// The text is not JSON with comments, or a value has another type.
    #[error("{0}")]
    Malformed(String),
    /// No such field.
    #[error("unknown field `{name}`; the nearest known field is `{nearest}`")]
    UnknownField {
        /// Name that was given.
        name: String,
        /// Known name that resembles it most.
        nearest: String,
    },
    /// The value is of the right type but not allowed.
    #[error("{0}")]
    InvalidValue(String),
}
