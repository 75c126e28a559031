//! Prefix cache of an engine: blocks of prompt text with least-recently-used
//! eviction.

use std::collections::VecDeque;

use parsleylatch_types::ByteCount;
use xxhash_rust::xxh3::xxh3_64;

const BLOCK_BYTES: usize = 64;

/// Cache of prompt blocks, identified by the hash of the prompt up to the block's end.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    blocks: VecDeque<u64>,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: VecDeque::new(),
        }
    }

    /// Caches a prompt and returns how much of it was not in the cache.
    pub(crate) fn insert(&mut self, prompt: &str) -> ByteCount {
        let bytes = prompt.as_bytes();
        let mut uncached = bytes.len() % BLOCK_BYTES;
        for end in (BLOCK_BYTES..=bytes.len()).step_by(BLOCK_BYTES) {
            let hash = xxh3_64(&bytes[..end]);
            match self.blocks.iter().position(|block| *block == hash) {
                Some(position) => {
                    self.blocks.remove(position);
                }
                None => uncached += BLOCK_BYTES,
            }
            self.blocks.push_back(hash);
        }
        while self.blocks.len() > self.capacity {
            self.blocks.pop_front();
        }
        ByteCount::new(uncached as u64)
    }

    /// Returns the hashes of the cached blocks, least recently used first.
    pub(crate) fn blocks(&self) -> Vec<u64> {
        self.blocks.iter().copied().collect()
    }
}
