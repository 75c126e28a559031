//! What every daemon has: a clock, threads with a runtime of their own, and the
//! status with which it ends over bad settings.

mod clock;
mod thread;

pub use clock::Clock;
pub use thread::spawn;

/// Exit status for settings that can't be used.
pub const INVALID_SETTINGS_EXIT_STATUS: i32 = 2;
