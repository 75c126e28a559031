//! Threads with a runtime of their own.

use std::thread::{self, JoinHandle};

use eyre::{Result, WrapErr};
use tokio::runtime::{Builder, Runtime};

/// Starts a thread with a single-threaded runtime.
///
/// # Errors
/// The system's reason, with the name of the thread.
pub fn spawn<Work>(name: &str, work: Work) -> Result<JoinHandle<()>>
where
    Work: FnOnce(Runtime) + Send + 'static,
{
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.wrap_err_with(|| format!("building the runtime of thread {name}"))?;
    let spawned = thread::Builder::new()
        .name(name.to_owned())
        .spawn(move || work(runtime));
    spawned.wrap_err_with(|| format!("starting thread {name}"))
}
