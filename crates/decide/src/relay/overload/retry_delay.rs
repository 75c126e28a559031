//! Delay after which a rejected caller may return.
//!
//! Load pattern: a storm of retries. Callers that are rejected at the same moment and
//! given the same delay return at the same moment. The delay follows the expected wait
//! and is drawn from its second half, so that they return one after the other, and it
//! leaves the caller enough time to be served.

use parsleylatch_types::{Micros, Millis};

/// Part of the remaining time that a caller may be told to stay away.
const REMAINING_DIVISOR: u64 = 3;

/// Delay for a caller with `remaining` time; `draw` is a uniform random number in [0, 1).
pub fn retry_delay(
    expected_wait: Micros,
    remaining: Micros,
    shortest: Millis,
    draw: f64,
) -> Millis {
    let longest = remaining.get() / REMAINING_DIVISOR;
    let wait = expected_wait
        .get()
        .max(shortest.micros().get())
        .min(longest);
    let spread = (wait / 2) as f64 * draw.clamp(0.0, 1.0);
    Micros::new(wait / 2 + spread as u64).millis()
}
