//! Whether the engines of a service may be full, as far as one node can tell.
//!
//! Load pattern: a burst that is spread over all nodes. Each node sees only its own few
//! streams, and none of them would notice that the engines are full. Each assumes
//! that the others have as many streams as it has, and asks the engines for their state
//! once these would fill a part of their memory. Copies of runs are made only while
//! there is memory for them: a copy at a full engine preempts a run.

use super::engine_load::{DEFAULT_MEMORY_TOKENS, StreamSize};

/// Part of the engines' memory from which their state is asked for, in percent.
const QUERY_FILL_PERCENT: u64 = 40;
/// Part of the engines' memory from which no copies are made, in percent.
const COPY_FILL_PERCENT: u64 = 100;

/// What a traffic thread knows about the engines of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OwnStreams {
    /// Streams of this thread.
    pub streams: u32,
    /// Copies of their memory.
    pub copies: u32,
    /// Usable engines.
    pub engines: usize,
}

/// Whether the engines may be full if each of `threads` traffic threads has as many
/// streams as this one.
pub fn may_be_full(own: OwnStreams, threads: usize, size: StreamSize) -> bool {
    exceeds(own, threads, size, QUERY_FILL_PERCENT)
}

/// Whether the engines' memory is needed for runs, so that no copies are made, if each of
/// `threads` traffic threads has as many streams as this one.
pub fn is_copy_unaffordable(own: OwnStreams, threads: usize, size: StreamSize) -> bool {
    exceeds(own, threads, size, COPY_FILL_PERCENT)
}

fn exceeds(own: OwnStreams, threads: usize, size: StreamSize, fill_percent: u64) -> bool {
    let own_streams = u64::from(own.streams) + u64::from(own.copies);
    let streams = own_streams.saturating_mul(threads as u64);
    let filled = streams.saturating_mul(size.total()).saturating_mul(100);
    let memory = u64::from(DEFAULT_MEMORY_TOKENS.get()).saturating_mul(own.engines as u64);
    filled > memory.saturating_mul(fill_percent)
}
