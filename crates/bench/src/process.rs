//! Processor time and memory of processes from `/proc`, and signals to them.

use std::{
    collections::BTreeMap, fs, ops::AddAssign, path::Path, process::Command, time::Duration,
};

use eyre::{Result, WrapErr, ensure, eyre};
use parsleylatch_types::ByteCount;
use strum::Display;

/// Size of a page of memory.
const PAGE_BYTES: u64 = 4_096;

/// Signal to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "UPPERCASE")]
pub enum Signal {
    /// Kills the process.
    Kill,
    /// Pauses the process.
    Stop,
    /// Continues a paused process.
    Cont,
    /// Requests termination.
    Term,
    /// Makes the process reload its settings.
    Hup,
}

/// Sends a signal to a process.
///
/// # Errors
/// `kill` failed, for example because the process no longer exists.
pub fn send_signal(pid: u32, signal: Signal) -> Result<()> {
    let status = Command::new("kill")
        .args([format!("-{signal}"), pid.to_string()])
        .status()
        .wrap_err("starting kill")?;
    ensure!(status.success(), "kill -{signal} {pid}: {status}");
    Ok(())
}

/// Scheduler statistics of a group of threads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ThreadTime {
    /// Time spent running.
    pub ran: Duration,
    /// Time spent runnable but waiting for a processor.
    pub waited: Duration,
}

impl ThreadTime {
    /// Time since an earlier reading.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            ran: self.ran.saturating_sub(earlier.ran),
            waited: self.waited.saturating_sub(earlier.waited),
        }
    }
}

impl AddAssign for ThreadTime {
    fn add_assign(&mut self, other: Self) {
        self.ran += other.ran;
        self.waited += other.waited;
    }
}

/// Processor time of a process by thread name, summed over threads whose names differ only in
/// their number.
///
/// # Errors
/// The file that can't be read.
pub fn processor_time(pid: u32) -> Result<BTreeMap<String, ThreadTime>> {
    let mut by_thread = BTreeMap::new();
    let tasks = format!("/proc/{pid}/task");
    for task in fs::read_dir(&tasks).wrap_err_with(|| format!("reading {tasks}"))? {
        let task = task?.path();
        let name = read(&task.join("comm"))?;
        let kind = name
            .trim()
            .trim_end_matches(|last: char| last.is_ascii_digit());
        let kind = kind.trim_end_matches('-').to_owned();
        let schedstat = read(&task.join("schedstat"))?;
        let time = ThreadTime {
            ran: Duration::from_nanos(field(&schedstat, 0)?),
            waited: Duration::from_nanos(field(&schedstat, 1)?),
        };
        *by_thread.entry(kind).or_default() += time;
    }
    Ok(by_thread)
}

/// Resident memory of a process; `self` is the calling process.
///
/// # Errors
/// The file that can't be read.
pub fn resident_memory(pid: &str) -> Result<ByteCount> {
    let statm = read(Path::new(&format!("/proc/{pid}/statm")))?;
    let pages: u64 = field(&statm, 1)?;
    Ok(ByteCount::new(pages * PAGE_BYTES))
}

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).wrap_err_with(|| format!("reading {}", path.display()))
}

fn field(text: &str, position: usize) -> Result<u64> {
    let field = text.split_whitespace().nth(position);
    let field = field.ok_or_else(|| eyre!("field {position} missing in `{text}`"))?;
    Ok(field.parse()?)
}
