//! Parses JSON with comments and maps field paths to line numbers.

use std::path::Path;

use json_comments::StripComments;
use serde::de::DeserializeOwned;

use crate::error::{SettingsError, SettingsErrorKind};

/// Contents of a file together with the file name, which error messages include.
#[derive(Clone, Debug)]
pub struct Document {
    file: String,
    text: String,
}

impl Document {
    /// Creates a document from text that is already in memory.
    pub fn new(file: &str, text: &str) -> Self {
        Self {
            file: file.to_owned(),
            text: text.to_owned(),
        }
    }

    /// Reads a document from a file.
    ///
    /// # Errors
    /// [`SettingsErrorKind::Unreadable`] with the error of the operating system.
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

    /// Returns the text, including comments.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Deserializes the text. Values are not validated beyond their types.
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

    /// Builds the error for a value of the right type that is not allowed.
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

    /// Returns the line of a field's key.
    ///
    /// Searches the text for each name of the path in turn. Array indices are
    /// skipped, so for a field of an array element the first matching key is found.
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

/// Extracts the field names, which are in backquotes, from serde's unknown-field message.
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
