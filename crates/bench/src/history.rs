//! Recorded history of requests from the callers' side.
//!
//! Every connection adds the requests it sends and the events it receives, with
//! timestamps. Apart from the backends' counters the checks in [`crate::check`] read
//! nothing else, so that a run can be checked again later or by another program.

use std::{
    fs::File,
    io::{BufRead, BufReader, BufWriter, Write},
    net::SocketAddr,
    path::Path,
    sync::{Mutex, PoisonError},
    time::Instant,
};

use eyre::{Result, WrapErr};
use parsleylatch_types::{Micros, RequestId, TokenId, TokenIndex, WorkspaceId};
use parsleylatch_wire::caller::{DoneData, GenerationBody, Problem};
use serde::{Deserialize, Serialize};

/// Event in the history of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum HistoryEvent {
    /// The caller requests a generation.
    Asked {
        /// Workspace of the caller.
        workspace: WorkspaceId,
        /// Body of the request.
        body: GenerationBody,
    },
    /// The caller resumes a generation at a node.
    Resumed {
        /// Id of the last event that arrived.
        last_event_id: String,
    },
    /// A token arrived.
    Token {
        /// Position in the response.
        index: TokenIndex,
        /// Token id.
        token: TokenId,
    },
    /// The response is complete.
    Done(DoneData),
    /// The node refused the request.
    Refused(Problem),
    /// The node ended the response with an error.
    Failed(Problem),
    /// The node redirected the caller to another node.
    Moved,
    /// The connection was lost, or there was no response.
    Broken {
        /// Reason.
        reason: String,
    },
    /// The caller has opened the maximum number of connections and stops retrying.
    GivenUp,
}

/// One line of a history.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Time since the start of the recording.
    pub at_us: Micros,
    /// Request.
    pub request_id: RequestId,
    /// Address of the node for callers.
    pub node: SocketAddr,
    /// Event.
    #[serde(flatten)]
    pub event: HistoryEvent,
}

/// Collects the history of one run.
#[derive(Debug)]
pub struct Recorder {
    started_at: Instant,
    entries: Mutex<Vec<HistoryEntry>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self::new()
    }
}

impl Recorder {
    /// Starts a recording.
    pub fn new() -> Self {
        Self {
            started_at: Instant::now(),
            entries: Mutex::default(),
        }
    }

    /// Adds an event with the current time.
    pub fn record(&self, request_id: RequestId, node: SocketAddr, event: HistoryEvent) {
        let entry = HistoryEntry {
            at_us: self.started_at.elapsed().into(),
            request_id,
            node,
            event,
        };
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.push(entry);
    }

    /// Returns all entries in order.
    pub fn into_entries(self) -> Vec<HistoryEntry> {
        self.entries
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a copy of the entries recorded so far, in order.
    pub fn entries(&self) -> Vec<HistoryEntry> {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.clone()
    }
}

/// Writes a history as JSON lines.
///
/// # Errors
/// The file and the reason.
pub fn write(path: &Path, entries: &[HistoryEntry]) -> Result<()> {
    let file = File::create(path).wrap_err_with(|| format!("creating {}", path.display()))?;
    let mut out = BufWriter::new(file);
    for entry in entries {
        serde_json::to_writer(&mut out, entry)?;
        out.write_all(b"\n")?;
    }
    out.flush()
        .wrap_err_with(|| format!("writing {}", path.display()))
}

/// Reads a history.
///
/// # Errors
/// The file and the reason.
pub fn read(path: &Path) -> Result<Vec<HistoryEntry>> {
    let file = File::open(path).wrap_err_with(|| format!("opening {}", path.display()))?;
    let lines = BufReader::new(file).lines();
    let entries = lines.map(|line| Ok(serde_json::from_str(&line?)?));
    let entries: Result<Vec<HistoryEntry>> = entries.collect();
    entries.wrap_err_with(|| format!("reading {}", path.display()))
}
