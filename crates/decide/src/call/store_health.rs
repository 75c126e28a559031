//! Whether the store is worth asking.

use parsleylatch_types::{Millis, MonoTime};

/// Time for which calls are refused at once after the store failed one.
const DOWN_MS: Millis = Millis::new(500);

/// What a traffic thread remembers of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    down_until: Option<MonoTime>,
}

impl StoreHealth {
    /// Notes a call that the store failed.
    pub fn note_failure(&mut self, now: MonoTime) {
        self.down_until = Some(now + DOWN_MS);
    }

    /// Notes a call that the store answered.
    pub fn note_success(&mut self) {
        self.down_until = None;
    }

    /// Whether the store failed a moment ago.
    pub fn is_down(&self, now: MonoTime) -> bool {
        self.down_until.is_some_and(|until| now < until)
    }
}
