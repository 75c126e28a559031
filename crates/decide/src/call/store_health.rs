//! Availability of the store, as seen by one node.

use parsleylatch_types::{Millis, MonoTime};

/// Time after a failed store operation during which calls that need a claim are
/// refused without another attempt to reach the store.
const DOWN_PERIOD_MS: Millis = Millis::new(500);

/// Health of the store; healthy by default.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    down_until: Option<MonoTime>,
}

impl StoreHealth {
    /// Health after a store operation failed at `now`.
    pub fn failed_at(now: MonoTime) -> Self {
        let down_until = Some(now + DOWN_PERIOD_MS);
        Self { down_until }
    }

    /// Whether the store failed within the down period.
    pub fn is_down(&self, now: MonoTime) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }
}
