//! Rate limit for claims of the free tier.
//!
//! Every claim costs writes in the platform's shared store. The free tier has a
//! fixed rate for the whole fleet, divided evenly among all traffic threads, so
//! that it can't exhaust the writes that paying calls need.

use parsleylatch_types::{Micros, MonoTime, RequestsPerSecond};

/// Claims of the free tier in the whole fleet.
const FREE_TIER_RATE: RequestsPerSecond = RequestsPerSecond::new(25);
/// Bucket capacity of one thread, in claims.
const MAX_BURST_CLAIMS: u64 = 3;
/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Token bucket of one traffic thread.
#[derive(Clone, Copy, Debug, Default)]
pub struct FreeClaimLimiter {
    /// Time at which the bucket is full again.
    full_at: MonoTime,
}

impl FreeClaimLimiter {
    /// Takes one claim, with the rate divided by `threads`; `false` if the bucket is
    /// empty.
    pub fn take(&mut self, now: MonoTime, threads: usize) -> bool {
        let interval = MICROS_PER_SECOND * threads.max(1) as u64 / FREE_TIER_RATE.get();
        let interval = Micros::new(interval);
        let full_at = self.full_at.max(now) + interval;
        let allowed = full_at.since(now) <= interval.saturating_mul(MAX_BURST_CLAIMS);
        if allowed {
            self.full_at = full_at;
        }
        allowed
    }
}
