//! Timing of functions that are too short to be timed by a single call.

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

/// Number of batches. Only the fastest counts, as other load on the machine slows the rest.
const BATCHES: u32 = 9;
const MIN_BATCH_DURATION: Duration = Duration::from_millis(15);

/// Returns the time of one call, from the fastest of several batches.
pub(crate) fn nanos_per_call<Output>(mut call: impl FnMut() -> Output) -> f64 {
    let mut calls = 1_u32;
    while time_batch(calls, &mut call) < MIN_BATCH_DURATION && calls < u32::MAX / 2 {
        calls *= 2;
    }
    let batches = (0..BATCHES).map(|_| time_batch(calls, &mut call));
    let fastest = batches.min().unwrap_or_default();
    fastest.as_secs_f64() * 1e9 / f64::from(calls)
}

fn time_batch<Output>(calls: u32, call: &mut impl FnMut() -> Output) -> Duration {
    let started_at = Instant::now();
    for _ in 0..calls {
        black_box(call());
    }
    started_at.elapsed()
}
