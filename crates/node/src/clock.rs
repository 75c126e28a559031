//! The only reader of clocks: monotonic time since the node started, and wall
//! time for what other processes read.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use parsleylatch_types::{Micros, MonoTime, UnixMillis};

/// Clock of one process; copies agree.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }

    /// Monotonic time.
    pub(crate) fn now(&self) -> MonoTime {
        MonoTime::ZERO + Micros::from(self.started_at.elapsed())
    }

    /// Wall-clock time; never used to order events.
    pub(crate) fn unix_now(&self) -> UnixMillis {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = since_epoch.unwrap_or_default().as_millis();
        UnixMillis::new(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// Instant of a monotonic time, for timers.
    pub(crate) fn instant(&self, time: MonoTime) -> tokio::time::Instant {
        (self.started_at + time.since(MonoTime::ZERO).duration()).into()
    }

    /// Sleeps until a deadline; for ever without one.
    pub(crate) async fn sleep_until(&self, deadline: Option<MonoTime>) {
        match deadline {
            Some(deadline) => tokio::time::sleep_until(self.instant(deadline)).await,
            None => std::future::pending().await,
        }
    }
}
