//! Processor time, memory and unread bytes of processes from `/proc`, and signals to them.

use std::{
    collections::{BTreeMap, BTreeSet},
    fs, io,
    net::SocketAddr,
    ops::AddAssign,
    path::Path,
    str::FromStr,
    time::Duration,
};

use eyre::{Result, WrapErr, eyre};
use parsleylatch_types::ByteCount;
use rustix::process;
use serde_json::Value;
use strum::Display;

/// Size of a page of memory.
const PAGE_BYTES: u64 = 4_096;
/// Columns of `/proc/net/tcp`.
const STATE_COLUMN: usize = 3;
const QUEUES_COLUMN: usize = 4;
const INODE_COLUMN: usize = 9;
/// State of a listening socket in `/proc/net/tcp`.
const LISTEN_STATE: &str = "0A";

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
/// The signal can't be sent, for example because the process no longer exists.
pub fn send_signal(pid: u32, signal: Signal) -> Result<()> {
    let raw = match signal {
        Signal::Kill => process::Signal::KILL,
        Signal::Stop => process::Signal::STOP,
        Signal::Cont => process::Signal::CONT,
        Signal::Term => process::Signal::TERM,
        Signal::Hup => process::Signal::HUP,
    };
    let target = i32::try_from(pid).ok().and_then(process::Pid::from_raw);
    let target = target.ok_or_else(|| eyre!("{pid} is no process id"))?;
    process::kill_process(target, raw).wrap_err_with(|| format!("sending {signal} to {pid}"))
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

/// Number of descriptors that a process has open.
///
/// # Errors
/// The directory that can't be read.
pub fn open_descriptors(pid: u32) -> Result<usize> {
    let descriptors = format!("/proc/{pid}/fd");
    let entries = fs::read_dir(&descriptors).wrap_err_with(|| format!("reading {descriptors}"))?;
    Ok(entries.count())
}

/// Bytes that the kernel has received for a process and that it has not read: the receive queues
/// of its IPv4 connections, without the kernel's own overhead and without connections that are
/// not accepted yet.
///
/// # Errors
/// The file that can't be read.
pub fn unread_bytes(pid: u32) -> Result<ByteCount> {
    let sockets = socket_inodes(pid)?;
    let table = read(Path::new("/proc/net/tcp"))?;
    let mut total = 0;
    for row in table.lines().skip(1) {
        let inode = field(row, INODE_COLUMN)?;
        let state: String = field(row, STATE_COLUMN)?;
        // The queue of a listening socket counts connections.
        if state == LISTEN_STATE || !sockets.contains(&inode) {
            continue;
        }
        let queues: String = field(row, QUEUES_COLUMN)?;
        let (_, receive_queue) = queues
            .split_once(':')
            .ok_or_else(|| eyre!("no receive queue in `{row}`"))?;
        total += u64::from_str_radix(receive_queue, 16)
            .wrap_err_with(|| format!("receive queue in `{row}`"))?;
    }
    Ok(ByteCount::new(total))
}

fn socket_inodes(pid: u32) -> Result<BTreeSet<u64>> {
    let descriptors = format!("/proc/{pid}/fd");
    let mut inodes = BTreeSet::new();
    for entry in fs::read_dir(&descriptors).wrap_err_with(|| format!("reading {descriptors}"))? {
        let link = match fs::read_link(entry?.path()) {
            Ok(link) => link,
            // Closed since the directory was read.
            Err(error) if error.kind() == io::ErrorKind::NotFound => continue,
            Err(error) => return Err(error).wrap_err_with(|| format!("reading {descriptors}")),
        };
        let target = link.to_string_lossy();
        let inode = target
            .strip_prefix("socket:[")
            .and_then(|rest| rest.strip_suffix(']'));
        if let Some(inode) = inode {
            inodes.insert(inode.parse()?);
        }
    }
    Ok(inodes)
}

/// Caller address in a relay's log line, if the line is its `started` event.
pub fn started_relay_address(line: &str) -> Option<SocketAddr> {
    if !line.contains("\"started\"") {
        return None;
    }
    let line: Value = serde_json::from_str(line).ok()?;
    (line["event"] == "started").then_some(())?;
    line["caller"].as_str()?.parse().ok()
}

fn read(path: &Path) -> Result<String> {
    fs::read_to_string(path).wrap_err_with(|| format!("reading {}", path.display()))
}

fn field<Value>(text: &str, position: usize) -> Result<Value>
where
    Value: FromStr<Err: std::error::Error + Send + Sync + 'static>,
{
    let field = text.split_whitespace().nth(position);
    let field = field.ok_or_else(|| eyre!("field {position} missing in `{text}`"))?;
    Ok(field.parse()?)
}
