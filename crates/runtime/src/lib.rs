//! Functionality shared by all daemons: the clock, threads with their own Tokio
//! runtime, the connections of a listener, the limit on descriptors, and the exit status for invalid settings.

mod accepted_stream;
mod clock;
mod connections;
mod descriptors;
mod thread;

pub use accepted_stream::{AcceptedStream, ConnectionHandle, ConnectionUse};
pub use clock::Clock;
pub use connections::{ConnectionEvent, Connections};
pub use descriptors::descriptor_limit;
pub use thread::spawn;

/// Process exit status for invalid settings.
pub const INVALID_SETTINGS_EXIT_STATUS: i32 = 2;
