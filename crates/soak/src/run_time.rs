//! Run time of the traffic thread. It has the links, endpoints and callers, and other work of
//! the machine may hold it up.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use parsleylatch_types::{Micros, Millis};
use tokio::time::{Instant, MissedTickBehavior, interval};

const TICK_MS: Millis = Millis::new(5);
/// Longest time between two ticks that counts as run time.
const MAX_TICK: Duration = Duration::from_millis(20);

/// Clock that stands while the thread is held up.
#[derive(Clone, Default)]
pub(crate) struct RunTime {
    micros: Arc<AtomicU64>,
}

impl RunTime {
    /// Starts the clock of the current thread.
    pub(crate) fn start() -> Self {
        let run_time = Self::default();
        let micros = Arc::clone(&run_time.micros);
        tokio::spawn(async move {
            let mut timer = interval(TICK_MS.duration());
            timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
            let mut last = Instant::now();
            loop {
                timer.tick().await;
                let now = Instant::now();
                let delay = now - last;
                last = now;
                let ran_us = u64::try_from(delay.min(MAX_TICK).as_micros()).unwrap_or_default();
                micros.fetch_add(ran_us, Ordering::Relaxed);
            }
        });
        run_time
    }

    /// Time for which the thread has run.
    pub(crate) fn elapsed(&self) -> Micros {
        Micros::new(self.micros.load(Ordering::Relaxed))
    }
}
