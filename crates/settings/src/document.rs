//! Reads JSON with comments and locates fields in its text.

use std::path::Path;

use json_comments::StripComments;
use serde::de::DeserializeOwned;

use crate::error::{SettingsError, SettingsErrorKind};

/// A text with the name of its file, for errors that name both.
#[derive(Clone, Debug)]
pub struct Document {
    file: String,
    text: String,
}

impl Document {
    /// Wraps a text.
    pub fn new(file: &str, text: &str) -> Self {
        Self {
            file: file.to_owned(),
            text: text.to_owned(),
        }
    }

    /// Reads a file.
    ///
    /// # Errors
    /// [`SettingsErrorKind::Unreadable`] with the system's reason.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Ok(Self { file, text }),
            Err(error) => Err(SettingsError {
                file,
                line: 0,
                field: String::new(),
                kind: SettingsErrorKind::Unreadable(error.to_string()),
            }),
        }
    }

    /// Text with its comments.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Reads the text into its raw form.
    ///
    /// # Errors
    /// [`SettingsErrorKind::Malformed`] or [`SettingsErrorKind::UnknownField`].
    pub fn parse<Raw>(&self) -> Result<Raw, SettingsError>
    where
        Raw: DeserializeOwned,
    {
        let stripped = StripComments::new(self.text.as_bytes());
        let mut reader = serde_json::Deserializer::from_reader(stripped);
        let raw = serde_path_to_error::deserialize(&mut reader)
            .map_err(|error| self.parse_error(error.path().to_string(), error.inner()))?;
        reader
            .end()
            .map_err(|error| self.parse_error(String::new(), &error))?;
        Ok(raw)
    }

    /// Error for a value that is of the right type but not allowed.
    pub fn value_error(&self, field: &str, reason: impl Into<String>) -> SettingsError {
        SettingsError {
            file: self.file.clone(),
            line: self.line_of(field),
            field: field.to_owned(),
            kind: SettingsErrorKind::InvalidValue(reason.into()),
        }
    }

    fn parse_error(&self, field: String, error: &serde_json::Error) -> SettingsError {
        let message = error.to_string();
        let kind = match unknown_field(&message) {
            Some(kind) => kind,
            None => SettingsErrorKind::Malformed(message),
        };
        SettingsError {
            file: self.file.clone(),
            line: error.line(),
            field,
            kind,
        }
    }

    /// Line of a field's key; follows the path's names through the text in order.
    fn line_of(&self, field: &str) -> usize {
        let names = field.split(['.', '[', ']']).filter(|name| !name.is_empty());
        let mut offset = 0;
        for name in names.filter(|name| name.parse::<usize>().is_err()) {
            match self.text[offset..].find(&format!("\"{name}\"")) {
                Some(position) => offset += position,
                None => break,
            }
        }
        self.text[..offset].lines().count().max(1)
    }
}

/// Reads serde's message on an unknown field, whose names stand in backquotes.
fn unknown_field(message: &str) -> Option<SettingsErrorKind> {
    let mut quoted = message
        .strip_prefix("unknown field ")?
        .split('`')
        .skip(1)
        .step_by(2);
    let name = quoted.next()?.to_owned();
    let nearest = quoted
        .min_by_key(|known| strsim::damerau_levenshtein(known, &name))?
        .to_owned();
    Some(SettingsErrorKind::UnknownField { name, nearest })
}
