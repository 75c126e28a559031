//! Memory of a process while a measurement runs.

use std::{
    sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    thread::{self, JoinHandle},
    time::Duration,
};

use eyre::{Result, WrapErr, eyre};
use parsleylatch_types::ByteCount;

use crate::process::{resident_memory, unread_bytes};

const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Largest samples of a process.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MemoryPeaks {
    /// Resident memory and unread bytes of one sample.
    pub(crate) total: ByteCount,
    /// Resident memory.
    pub(crate) resident: ByteCount,
    /// Bytes received and not read by the process.
    pub(crate) unread: ByteCount,
}

/// Samples the memory of a process on a thread of its own.
pub(crate) struct MemorySampler {
    stop: Sender<()>,
    thread: JoinHandle<(MemoryPeaks, Result<()>)>,
}

impl MemorySampler {
    /// Starts sampling.
    ///
    /// # Errors
    /// The thread can't be started.
    pub(crate) fn start(pid: u32) -> Result<Self> {
        let (stop, stopped) = channel();
        let spawned = thread::Builder::new()
            .name("memory-sampler".to_owned())
            .spawn(move || {
                let mut peaks = MemoryPeaks::default();
                let outcome = sample_until(&stopped, pid, &mut peaks);
                (peaks, outcome)
            });
        let thread = spawned.wrap_err("starting the memory sampler")?;
        Ok(Self { stop, thread })
    }

    /// Stops sampling. The second value is the error that has ended it before, as for a process
    /// that has ended.
    ///
    /// # Errors
    /// The thread panicked.
    pub(crate) fn finish(self) -> Result<(MemoryPeaks, Result<()>)> {
        drop(self.stop);
        self.thread
            .join()
            .map_err(|_| eyre!("the memory sampler panicked"))
    }
}

fn sample_until(stopped: &Receiver<()>, pid: u32, peaks: &mut MemoryPeaks) -> Result<()> {
    while stopped.recv_timeout(SAMPLE_INTERVAL) == Err(RecvTimeoutError::Timeout) {
        let resident = resident_memory(&pid.to_string())?;
        let unread = unread_bytes(pid)?;
        let total = ByteCount::new(resident.get() + unread.get());
        peaks.total = peaks.total.max(total);
        peaks.resident = peaks.resident.max(resident);
        peaks.unread = peaks.unread.max(unread);
    }
    Ok(())
}
