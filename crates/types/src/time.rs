//! Monotonic time, wall-clock time and durations.
//!
//! Decision code never reads a clock: the caller passes in a [`MonoTime`]. Its
//! epoch is the start of the process, so it is meaningless to other processes and
//! never sent to them.

use std::{fmt, ops, str::FromStr, time::Duration};

use serde::{Deserialize, Serialize};

use crate::quantity::{ParseQuantityError, quantity};

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
    /// Monotonic time, in microseconds since the start of the process.
    MonoTime, u64, "us"
);
quantity!(
    /// Wall-clock time, in milliseconds since the Unix epoch.
    UnixMillis, u64, "ms"
);

impl Millis {
    /// Converts to microseconds, saturating at the largest value.
    pub const fn micros(self) -> Micros {
        Micros::new(self.get().saturating_mul(MICROS_PER_MILLI))
    }

    /// Converts to a standard library duration.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.get())
    }
}

impl Micros {
    /// Converts to a standard library duration.
    pub const fn duration(self) -> Duration {
        Duration::from_micros(self.get())
    }

    /// Converts to milliseconds, rounding down.
    pub const fn millis(self) -> Millis {
        Millis::new(self.get() / MICROS_PER_MILLI)
    }

    /// Multiplies by `factor`, saturating at the largest value.
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
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
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
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> Millis {
        Millis::new(self.get().saturating_sub(earlier.get()))
    }
}
