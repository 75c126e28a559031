//! Streams that can't begin before their deadline.
//!
//! Load pattern: callers that return after a loss or a rejection with little time left.
//! Their prompts would be read in vain, and delay the streams that can still be served.

use parsleylatch_types::{Millis, MonoTime, TokenCount};

use crate::relay::placement_cost::PREFILL_TOKENS_PER_MS;

/// Part of a prompt that an engine may have in its cache, in percent.
const CACHED_PROMPT_PERCENT: u64 = 50;

/// Whether no engine can read the prompt before the deadline.
pub fn is_hopeless(now: MonoTime, deadline: MonoTime, prompt: TokenCount) -> bool {
    let unread = u64::from(prompt.get()) * (100 - CACHED_PROMPT_PERCENT) / 100;
    !can_read(now, deadline, unread)
}

/// Whether an engine that has no part of the prompt can't read it before the deadline. A
/// stream does not leave an engine that is merely silent for such a one.
pub fn is_restart_hopeless(now: MonoTime, deadline: MonoTime, prompt: TokenCount) -> bool {
    !can_read(now, deadline, u64::from(prompt.get()))
}

/// Whether an engine can read so many tokens before the deadline.
fn can_read(now: MonoTime, deadline: MonoTime, tokens: u64) -> bool {
    now + Millis::new(tokens / PREFILL_TOKENS_PER_MS) < deadline
}
