//! Functionality shared by all daemons: the clock, threads with their own Tokio
//! runtime, and the exit status for invalid settings.

mod clock;
mod thread;

pub use clock::Clock;
pub use thread::spawn;

/// Process exit status for invalid settings.
pub const INVALID_SETTINGS_EXIT_STATUS: i32 = 2;
