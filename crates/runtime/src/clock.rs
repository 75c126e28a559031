//! The only reader of clocks: monotonic time since the node started, and wall
//! time for what other processes read.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use parsleylatch_types::{Micros, MonoTime, UnixMillis};

/// Clock of one process; copies agree.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Clock whose zero is now.
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }

    /// Monotonic time.
    pub fn now(&self) -> MonoTime {
        MonoTime::ZERO + Micros::from(self.started_at.elapsed())
    }

    /// Instant of a monotonic time, for timers.
    pub fn to_instant(&self, time: MonoTime) -> tokio::time::Instant {
        (self.started_at + time.since(MonoTime::ZERO).duration()).into()
    }

    /// Wall-clock time.
    pub fn unix_now() -> UnixMillis {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        UnixMillis::new(since_epoch.as_millis() as u64)
    }

    /// Sleeps until a deadline; for ever without one.
    pub async fn sleep_until(&self, deadline: Option<MonoTime>) {
        match deadline {
            Some(deadline) => tokio::time::sleep_until(self.to_instant(deadline)).await,
            None => std::future::pending().await,
        }
    }
}
