//! Newtypes for counts, sizes, rates and sequence numbers.
//!
//! `Display` writes the number followed by its unit, and `FromStr` parses the same
//! format. In JSON a quantity is a plain number.

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Error returned when a string is not a valid quantity of the expected kind.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{text}` is not a {kind}: expected a whole number followed by `{unit}`")]
pub struct ParseQuantityError {
    /// Expected kind of quantity.
    pub kind: &'static str,
    /// Rejected input.
    pub text: String,
    /// Expected unit suffix; empty for quantities without a unit.
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
            /// Largest representable value.
            pub const MAX: Self = Self(<$repr>::MAX);

            /// Wraps a plain number.
            pub const fn new(value: $repr) -> Self {
                Self(value)
            }

            /// Returns the value without its unit.
            pub const fn get(self) -> $repr {
                self.0
            }

            /// Returns the value plus one, saturating at [`Self::MAX`].
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0.saturating_add(1))
            }

            /// Adds two values, saturating at [`Self::MAX`].
            #[must_use]
            pub const fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Subtracts `other`, saturating at zero.
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
    /// Number of an attempt within one generation, starting at 1.
    AttemptNumber, u32, ""
);
quantity!(
    /// Zero-based position of a token in the output of a generation.
    TokenIndex, u32, ""
);
quantity!(
    /// Id of a token in the model's vocabulary.
    TokenId, u32, ""
);
quantity!(
    /// Number of tokens.
    TokenCount, u32, "tok"
);
quantity!(
    /// Ownership epoch of a generation; incremented by one at each take-over.
    OwnerEpoch, u64, ""
);
quantity!(
    /// Revision of a document in the store.
    Revision, u64, ""
);
quantity!(
    /// Era of the store; increases by one each time it is restored from a copy.
    StoreEra, u64, ""
);
quantity!(
    /// Number of the writes that an endpoint has made to its entry.
    EntrySequence, u64, ""
);
quantity!(
    /// Fencing number of a lease; each new holder gets a larger one.
    FencingNumber, u64, ""
);
quantity!(
    /// Incarnation of a process; increases with every restart.
    Incarnation, u64, ""
);
quantity!(
    /// Random seed of a generation.
    Seed, u64, ""
);
quantity!(
    /// Scheduling priority at an engine; larger values are served first.
    Priority, u32, ""
);
quantity!(
    /// Scheduling weight of a workspace relative to the others in its tier.
    Weight, u32, ""
);
quantity!(
    /// Whole percentage.
    Percent, u32, "%"
);
quantity!(
    /// Time that work takes at an endpoint at present, relative to the usual time.
    PacePercent, u32, "%"
);
quantity!(
    /// Time that the transfer of a kilobyte is worth.
    MicrosPerKilobyte, u64, "us/kB"
);
quantity!(
    /// Fraction in parts per million, such as a share of traffic or a failure rate.
    Share, u32, "ppm"
);
quantity!(
    /// Number of requests.
    RequestCount, u64, "req"
);
quantity!(
    /// Number of file descriptors.
    DescriptorCount, u64, "fd"
);
quantity!(
    /// Number of connections.
    ConnectionCount, u64, "conn"
);
quantity!(
    /// Number of a connection that a process accepted; increases with each one.
    ConnectionNumber, u64, ""
);
quantity!(
    /// Number of bytes.
    ByteCount, u64, "B"
);
quantity!(
    /// Rate in bytes per second.
    BytesPerSecond, u64, "B/s"
);
quantity!(
    /// Rate in tokens per second.
    TokensPerSecond, u64, "tok/s"
);
quantity!(
    /// Rate in requests per second.
    RequestsPerSecond, u64, "req/s"
);

quantity!(
    /// Id of an event in a relayed stream; increases with every event.
    StreamEventId, u64, ""
);
quantity!(
    /// Number of requests that an endpoint runs concurrently.
    SlotCount, u32, ""
);
quantity!(
    /// Number of an attempt that is evidence on a version, within one process.
    TrialNumber, u64, ""
);
quantity!(
    /// Rank of a request; lower ranks are served first.
    Rank, u8, ""
);

impl TokenIndex {
    /// Returns the index of the token that follows the first `count` tokens.
    pub const fn after(count: usize) -> Self {
        Self(count as u32)
    }

    /// Converts the index for use with slices.
    pub const fn as_usize(self) -> usize {
        self.0 as usize
    }
}
