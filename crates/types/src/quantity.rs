//! Counts, sizes, rates and ordered numbers.
//!
//! `Display` writes the number with its unit and `FromStr` reads the same text
//! back. In JSON a quantity is a plain number.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A text that is not a quantity of the named kind.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{text}` is not a {kind}: expected a whole number followed by `{unit}`")]
pub struct ParseQuantityError {
    /// Kind of quantity that was expected.
    pub kind: &'static str,
    /// Text that was given.
    pub text: String,
    /// Unit that has to follow the number; may be empty.
    pub unit: &'static str,
}

macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident, $repr:ty, $unit:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name($repr);

        impl $name {
            /// Zero.
            pub const ZERO: Self = Self(0);
            /// Largest value.
            pub const MAX: Self = Self(<$repr>::MAX);

            /// Wraps a plain number.
            pub const fn new(value: $repr) -> Self {
                Self(value)
            }

            /// Plain number.
            pub const fn get(self) -> $repr {
                self.0
            }

            /// Next larger value; stays at the largest.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }

            /// Sum; stays at the largest value.
            #[must_use]
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Difference; stays at zero.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}{}", self.0, $unit)
            }
        }

        impl FromStr for $name {
            type Err = ParseQuantityError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.strip_suffix($unit)
                    .and_then(|digits| digits.parse().ok())
                    .map(Self)
                    .ok_or_else(|| ParseQuantityError {
                        kind: stringify!($name),
                        text: text.to_owned(),
                        unit: $unit,
                    })
            }
        }
    };
}
pub(crate) use quantity;

quantity!(
    /// Number of an attempt at one generation, from 1.
    AttemptNumber, u32, ""
);
quantity!(
    /// Position of a token in an answer, from 0.
    TokenIndex, u32, ""
);
quantity!(
    /// Vocabulary number of a token.
    TokenId, u32, ""
);
quantity!(
    /// Count of tokens.
    TokenCount, u32, "tok"
);
quantity!(
    /// Epoch of a generation's owner; grows by one at each take-over.
    OwnerEpoch, u64, ""
);
quantity!(
    /// Revision of a document in the store.
    Revision, u64, ""
);
quantity!(
    /// Fencing number of a lease holder; a later holder has a larger one.
    FencingNumber, u64, ""
);
quantity!(
    /// Start number of a process; grows when the process starts again.
    Incarnation, u64, ""
);
quantity!(
    /// Seed of a generation.
    Seed, u64, ""
);
quantity!(
    /// Priority at an engine; larger goes first.
    Priority, u32, ""
);
quantity!(
    /// Weight of a workspace among those of its tier.
    Weight, u32, ""
);
quantity!(
    /// Whole percentage.
    Percent, u32, "%"
);
quantity!(
    /// Share of traffic, in parts per million.
    Share, u32, "ppm"
);
quantity!(
    /// Count of requests.
    RequestCount, u64, "req"
);
quantity!(
    /// Count of bytes.
    ByteCount, u64, "B"
);
quantity!(
    /// Rate in bytes a second.
    BytesPerSecond, u64, "B/s"
);
quantity!(
    /// Rate in tokens a second.
    TokensPerSecond, u64, "tok/s"
);
quantity!(
    /// Rate in requests a second.
    RequestsPerSecond, u64, "req/s"
);

quantity!(
    /// Id of an event in a relayed stream; grows with every event.
    StreamEventId, u64, ""
);
quantity!(
    /// Count of requests that an endpoint runs at the same time.
    SlotCount, u32, ""
);
quantity!(
    /// Rank of a request; 0 goes first.
    Rank, u8, ""
);

impl TokenIndex {
    /// Index of the first token after `count` tokens.
    pub const fn after(count: usize) -> Self {
        Self(count as u32)
    }

    /// Index as a position in a slice.
    pub const fn as_usize(self) -> usize {
        self.0 as usize
    }
}
