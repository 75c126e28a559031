//! Positions in the history of a store that may be restored from a copy.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Revision, StoreEra};

/// Largest era that is readable; JSON numbers are exact up to here.
const MAX_ERA: u64 = 1 << 53;

/// Position in the history of a store. A restore issues revisions again, so an era comes
/// before all revisions of the eras that follow it.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// Era of the store.
    pub era: StoreEra,
    /// Revision within the era.
    pub revision: Revision,
}

/// Error returned when a string is not a store position.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{text}` is not a store position: expected an era and a revision, as in `1:204`")]
pub struct ParsePositionError {
    /// Rejected input.
    pub text: String,
}

impl StorePosition {
    /// Start of the first era.
    pub const ZERO: Self = Self::new(StoreEra::ZERO, Revision::ZERO);

    /// Creates a position.
    pub const fn new(era: StoreEra, revision: Revision) -> Self {
        Self { era, revision }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}", self.era, self.revision)
    }
}

impl FromStr for StorePosition {
    type Err = ParsePositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts = text.split_once(':');
        let parsed = parts
            .and_then(|(era, revision)| Some(Self::new(era.parse().ok()?, revision.parse().ok()?)));
        parsed.ok_or_else(|| ParsePositionError {
            text: text.to_owned(),
        })
    }
}

/// Era that a response of the store states.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EraReading {
    /// A readable era; zero if the response states none.
    Read(StoreEra),
    /// Text that is not an era.
    Unreadable(Box<str>),
}

impl EraReading {
    /// Reads an era that another node states.
    pub fn of_number(era: u64) -> Self {
        match era <= MAX_ERA {
            true => Self::Read(StoreEra::new(era)),
            false => Self::Unreadable(era.to_string().into()),
        }
    }

    /// Reads the text of a response; `None` if the response states no era.
    pub fn parse(text: Option<&str>) -> Self {
        let Some(text) = text else {
            return Self::Read(StoreEra::ZERO);
        };
        let trimmed = text.trim();
        let is_number = !trimmed.is_empty() && trimmed.bytes().all(|it| it.is_ascii_digit());
        let number = trimmed.parse().ok().filter(|it| *it <= MAX_ERA);
        match number.filter(|_| is_number) {
            Some(era) => Self::Read(StoreEra::new(era)),
            None => Self::Unreadable(text.into()),
        }
    }
}
