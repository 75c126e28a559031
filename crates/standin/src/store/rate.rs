//! Token bucket rate limiter.

use std::time::Instant;

use parsleylatch_types::RequestsPerSecond;

/// Token bucket whose capacity is one second of calls at the configured rate.
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

    /// Takes one token; returns `false` if the bucket is empty.
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
