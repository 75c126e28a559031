//! Whether the store is worth asking.

use parsleylatch_types::{Millis, MonoTime};

/// Time for which calls are refused at once after the store failed one.
const DOWN_PERIOD_MS: Millis = Millis::new(500);

/// What a node remembers of the store; the default is a healthy one.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    down_until: Option<MonoTime>,
}

impl StoreHealth {
    /// Health of a store that has just failed a call.
    pub fn failed_at(now: MonoTime) -> Self {
        let down_until = Some(now + DOWN_PERIOD_MS);
        Self { down_until }
    }

    /// Whether the store failed a moment ago.
    pub fn is_down(&self, now: MonoTime) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }
}
