//! Monotonic time, wall-clock time and durations.
//!
//! Decisions never read a clock: the caller passes a [`MonoTime`] in. Its zero
//! is the start of the process, so it is never sent to another process.

use std::{fmt, ops, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::quantity::{ParseQuantityError, quantity};

/// Microseconds in a millisecond.
const MICROS_PER_MILLI: u64 = 1_000;

quantity!(
    /// Duration in milliseconds.
    Millis, u64, "ms"
);
quantity!(
    /// Duration in microseconds.
    Micros, u64, "us"
);
quantity!(
    /// Monotonic time, in microseconds since the process started.
    MonoTime, u64, "us"
);
quantity!(
    /// Wall-clock time, in milliseconds since the Unix epoch.
    UnixMillis, u64, "ms"
);

impl Millis {
    /// Same duration in microseconds.
    pub const fn micros(self) -> Micros {
        Micros::new(self.get().saturating_mul(MICROS_PER_MILLI))
    }

    /// Duration for the standard library.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.get())
    }
}

impl Micros {
    /// Duration for the standard library.
    pub const fn duration(self) -> Duration {
        Duration::from_micros(self.get())
    }

    /// Whole milliseconds, rounded down.
    pub const fn millis(self) -> Millis {
        Millis::new(self.get() / MICROS_PER_MILLI)
    }

    /// Product with a whole number; stays at the largest value.
    #[must_use]
    pub const fn saturating_mul(self, factor: u64) -> Self {
        Self::new(self.get().saturating_mul(factor))
    }
}

impl From<Duration> for Micros {
    fn from(duration: Duration) -> Self {
        Self::new(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl MonoTime {
    /// Time that has passed since `earlier`; zero if it lies ahead.
    pub const fn since(self, earlier: Self) -> Micros {
        Micros::new(self.get().saturating_sub(earlier.get()))
    }
}

impl ops::Add<Micros> for MonoTime {
    type Output = Self;

    fn add(self, duration: Micros) -> Self {
        Self::new(self.get().saturating_add(duration.get()))
    }
}

impl ops::Add<Millis> for MonoTime {
    type Output = Self;

    fn add(self, duration: Millis) -> Self {
        self + duration.micros()
    }
}

impl UnixMillis {
    /// Time that has passed since `earlier`; zero if it lies ahead.
    pub const fn since(self, earlier: Self) -> Millis {
        Millis::new(self.get().saturating_sub(earlier.get()))
    }
}
