//! Digests of caller and administration keys. The keys themselves are not stored.

use std::{fmt, str::FromStr};

use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest, Sha256};
use thiserror::Error;

/// Length of a SHA-256 digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// Error returned when a string is not a key digest.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("`{text}` is not a key digest: expected 64 hexadecimal digits (SHA-256 of the key)")]
pub struct ParseKeyDigestError {
    /// Rejected input.
    pub text: String,
}

/// SHA-256 digest of a key.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of_key(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl FromStr for KeyDigest {
    type Err = ParseKeyDigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseKeyDigestError {
            text: text.to_owned(),
        };
        if text.len() != 2 * DIGEST_BYTES || !text.is_ascii() {
            return Err(error());
        }
        let mut digest = [0; DIGEST_BYTES];
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| error())?;
        }
        Ok(Self(digest))
    }
}
