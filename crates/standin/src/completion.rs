//! Deterministic engine output: a pure function of prompt, version and index.

use parsleylatch_types::{EndpointVersion, TokenId, TokenIndex};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const VOCABULARY_SIZE: u64 = 50_000;

/// Returns the token that an engine generates at an index.
pub fn token_at(prompt: &str, version: &EndpointVersion, index: TokenIndex) -> TokenId {
    let prompt_hash = xxh3_64_with_seed(prompt.as_bytes(), 0);
    let version_hash = xxh3_64_with_seed(version.as_str().as_bytes(), prompt_hash);
    let hash = xxh3_64_with_seed(&index.get().to_le_bytes(), version_hash);
    TokenId::new((hash % VOCABULARY_SIZE) as u32)
}

/// Returns the text of a token.
pub fn token_text(token: TokenId) -> String {
    format!(" w{token}")
}
