//! Token bucket that limits a kind of call.

use std::time::Instant;

use parsleylatch_types::RequestsPerSecond;

/// Bucket that holds one second's worth of calls.
#[derive(Debug)]
pub(crate) struct RateLimiter {
    rate: f64,
    available: f64,
    updated_at: Option<Instant>,
}

impl RateLimiter {
    pub(crate) fn new(rate: RequestsPerSecond) -> Self {
        let rate = rate.get() as f64;
        Self {
            rate,
            available: rate,
            updated_at: None,
        }
    }

    /// Takes one call; `false` if the rate is exceeded.
    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        if let Some(previous) = self.updated_at {
            let refill = now.duration_since(previous).as_secs_f64() * self.rate;
            self.available = (self.available + refill).min(self.rate);
        }
        self.updated_at = Some(now);
        let allowed = self.available >= 1.0;
        if allowed {
            self.available -= 1.0;
        }
        allowed
    }
}
