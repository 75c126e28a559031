//! Claims that the free tier may make.
//!
//! Every claim costs writes of the platform's store, which all share. The free
//! tier has a fixed rate over the whole fleet, divided by the threads that share
//! it, so that it can't use up the writes that paying calls need.

use parsleylatch_types::{Micros, MonoTime, RequestsPerSecond};

/// Claims of the free tier over the whole fleet.
const FREE_TIER_RATE: RequestsPerSecond = RequestsPerSecond::new(25);
/// Claims that a thread may save up.
const MAX_BURST_CLAIMS: u64 = 3;
/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Token bucket of one traffic thread.
#[derive(Clone, Copy, Debug, Default)]
pub struct FreeClaimLimiter {
    /// Time at which the bucket is full.
    full_at: MonoTime,
}

impl FreeClaimLimiter {
    /// Takes one claim; `false` if the share is used up.
    pub fn take(&mut self, now: MonoTime, threads: usize) -> bool {
        let interval = MICROS_PER_SECOND * threads.max(1) as u64 / FREE_TIER_RATE.get();
        let interval = Micros::new(interval);
        let full_at = self.full_at.max(now) + interval;
        let allowed = full_at.since(now) <= interval.times(MAX_BURST_CLAIMS);
        if allowed {
            self.full_at = full_at;
        }
        allowed
    }
}
