//! Process clock. All other code obtains the time from here: monotonic time since
//! the start of the process, and wall-clock time for data that other processes read.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use parsleylatch_types::{Micros, MonoTime, UnixMillis};

/// Clock of a process. Copies share the same epoch.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Creates a clock whose epoch is the current time.
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }

    /// Returns the monotonic time since the clock's epoch.
    pub fn now(&self) -> MonoTime {
        MonoTime::ZERO + Micros::from(self.started_at.elapsed())
    }

    /// Converts a monotonic time to an [`Instant`](tokio::time::Instant) for Tokio timers.
    pub fn to_instant(&self, time: MonoTime) -> tokio::time::Instant {
        (self.started_at + time.since(MonoTime::ZERO).duration()).into()
    }

    /// Returns the wall-clock time.
    pub fn unix_now() -> UnixMillis {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        UnixMillis::new(since_epoch.as_millis() as u64)
    }

    /// Sleeps until `deadline`, or forever if there is none.
    pub async fn sleep_until(&self, deadline: Option<MonoTime>) {
        match deadline {
            Some(deadline) => tokio::time::sleep_until(self.to_instant(deadline)).await,
            None => std::future::pending().await,
        }
    }
}
