//! Threads that each run their own Tokio runtime.

use std::thread::{self, JoinHandle};

use eyre::{Result, WrapErr};
use tokio::runtime::{Builder, Runtime};

/// Spawns a named thread and passes it a new single-threaded Tokio runtime.
///
/// # Errors
/// The operating system's error, with the name of the thread.
pub fn spawn<Work>(name: &str, work: Work) -> Result<JoinHandle<()>>
where
    Work: FnOnce(Runtime) + Send + 'static,
{
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime =
        runtime.wrap_err_with(|| format!("failed to build the runtime of thread {name}"))?;
    let spawned = thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || work(runtime));
    spawned.wrap_err_with(|| format!("failed to spawn thread {name}"))
}
