//! Streams that can't begin before their deadline.
//!
//! Load pattern: callers that return after a loss or a rejection with little time left.
//! Their prompts would be read in vain, and delay the streams that can still be served.

use parsleylatch_types::{Millis, MonoTime, TokenCount};

use crate::relay::selector::PREFILL_TOKENS_PER_MS;

/// Part of a prompt that an engine may have in its cache, in percent.
const CACHED_PROMPT_PERCENT: u64 = 50;

/// Whether no engine can read the prompt before the deadline.
pub fn is_hopeless(now: MonoTime, deadline: MonoTime, prompt: TokenCount) -> bool {
    let unread = u64::from(prompt.get()) * (100 - CACHED_PROMPT_PERCENT) / 100;
    let reading = Millis::new(unread / PREFILL_TOKENS_PER_MS);
    now + reading >= deadline
}
