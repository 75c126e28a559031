//! Request ids: version 7 UUIDs, which begin with their creation time.

use std::{fmt, str::FromStr};

use serde_with::{DeserializeFromStr, SerializeDisplay};
use thiserror::Error;
use uuid::{Uuid, Version};
use xxhash_rust::xxh3::xxh3_64;

use crate::UnixMillis;

/// Bits below the timestamp in a version 7 UUID.
const TIMESTAMP_SHIFT_BITS: u32 = 80;

/// Error returned when a string is not a version 7 UUID.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{text}` is not a request id: expected a UUID of version 7 (RFC 9562)")]
pub struct ParseRequestIdError {
    /// Rejected input.
    pub text: String,
}

/// Id of a request, chosen by the caller. Retries of a request carry the same id.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct RequestId(Uuid);

impl RequestId {
    /// Generates an id from the current time and the operating system's random source.
    pub fn generate() -> Self {
        Self(Uuid::now_v7())
    }

    /// Builds an id from a creation time and a random part, for tests and benchmarks.
    pub fn from_parts(created_at_unix_ms: UnixMillis, random: u128) -> Self {
        let bytes = random.to_be_bytes();
        let mut tail = [0_u8; 10];
        tail.copy_from_slice(&bytes[6..]);
        let builder = uuid::Builder::from_unix_timestamp_millis(created_at_unix_ms.get(), &tail);
        Self(builder.into_uuid())
    }

    /// Returns the creation time according to the clock of the process that created the id.
    pub fn created_at(self) -> UnixMillis {
        let millis = (self.0.as_u128() >> TIMESTAMP_SHIFT_BITS) as u64;
        UnixMillis::new(millis)
    }

    /// Returns the 16 bytes of the id in big-endian order.
    pub fn to_bytes(self) -> [u8; 16] {
        *self.0.as_bytes()
    }

    /// Parses 16 big-endian bytes; returns `None` unless they are a version 7 UUID.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let uuid = Uuid::from_slice(bytes).ok()?;
        (uuid.get_version() == Some(Version::SortRand)).then_some(Self(uuid))
    }

    /// Returns a 64-bit hash that is the same on every node.
    pub fn stable_hash(self) -> u64 {
        xxh3_64(self.0.as_bytes())
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.as_hyphenated().fmt(formatter)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "RequestId({self})")
    }
}

impl FromStr for RequestId {
    type Err = ParseRequestIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let uuid = Uuid::try_parse(text).ok();
        uuid.filter(|uuid| uuid.get_version() == Some(Version::SortRand))
            .map(Self)
            .ok_or_else(|| ParseRequestIdError {
                text: text.to_owned(),
            })
    }
}
