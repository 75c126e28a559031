//! Relay processes: settings files, start, logs and exit.

use std::{
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{ExitStatus, Stdio},
};

use eyre::{Result, WrapErr, eyre};
use parsleylatch_bench::process::started_relay_address;
use parsleylatch_types::Millis;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader},
    process::{Child, Command},
    sync::mpsc,
};

use crate::{
    environment::{FAILURE_DOMAINS, REGION},
    invariants::{MAX_CONFIGURATION_DELAY_MS, MAX_DRAIN_DELAY_MS},
    lifecycle::STOP_TIMEOUT_MS,
};

/// Notification about a relay process, sent to the control thread.
#[derive(Debug)]
pub(crate) struct ProcessUpdate {
    pub(crate) relay: usize,
    /// Process id, to discard notifications of an earlier process of the same relay.
    pub(crate) pid: u32,
    pub(crate) change: ProcessChange,
}

/// What changed in a process.
#[derive(Debug)]
pub(crate) enum ProcessChange {
    /// It accepts callers at an address.
    Started(SocketAddr),
    /// It exited.
    Exited(ExitStatus),
    /// Its settings file has been written, or not; it may be asked to reload it.
    SettingsWritten {
        result: Result<()>,
        with_signal: bool,
    },
}

/// Retry budget in the settings of the relays.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    pub(crate) ratio: f64,
    pub(crate) slack: u64,
}

/// Resources of a relay process.
#[derive(Clone, Debug, Default)]
pub(crate) struct RelayResources {
    /// Memory in the settings, by revision in turn; the default of the relay if there is none.
    pub(crate) memory_mb: Vec<u64>,
    /// Soft limit on descriptors, if it differs from that of the soak.
    pub(crate) descriptors: Option<u64>,
}

/// The relay binary and the directory of its files.
#[derive(Clone, Debug)]
pub(crate) struct RelayProgram {
    pub(crate) file: PathBuf,
    /// Directory for settings and logs.
    pub(crate) directory: PathBuf,
    pub(crate) retry_budget: RetryBudget,
    /// By index of the relay; relays beyond them have the default.
    pub(crate) resources: Vec<RelayResources>,
}

impl RelayProgram {
    fn settings_file(&self, relay: usize) -> PathBuf {
        self.directory.join(format!("relay-{relay}.jsonc"))
    }

    /// Writes a relay's settings file. Each revision has a different `retry_slack`.
    ///
    /// # Errors
    /// The file can't be written.
    pub(crate) fn write_settings(
        &self,
        relay: usize,
        store: SocketAddr,
        revision: u64,
    ) -> Result<()> {
        let file = self.settings_file(relay);
        // Write to a temporary file and rename it, so that a relay never reads a partial file.
        let temporary = file.with_extension(format!("{revision}.new"));
        let mut document = settings(relay, store, self.retry_budget, revision);
        let memory_mb = self.resources.get(relay).map(|it| &it.memory_mb);
        if let Some(memory_mb) = memory_mb.filter(|it| !it.is_empty()) {
            document["memory_mb"] = json!(memory_mb[revision as usize % memory_mb.len()]);
        }
        fs::write(&temporary, document.to_string())
            .wrap_err_with(|| format!("writing {}", temporary.display()))?;
        fs::rename(&temporary, &file).wrap_err_with(|| format!("writing {}", file.display()))
    }

    /// Writes a relay's settings file on a thread for blocking calls, as a busy disk may take
    /// seconds, and sends the result to `updates`.
    pub(crate) fn write_settings_in_background(
        &self,
        relay: usize,
        store: SocketAddr,
        revision: u64,
        with_signal: bool,
        (pid, updates): (u32, mpsc::Sender<ProcessUpdate>),
    ) {
        let program = self.clone();
        tokio::task::spawn_blocking(move || {
            let result = program.write_settings(relay, store, revision);
            let change = ProcessChange::SettingsWritten {
                result,
                with_signal,
            };
            // The control thread may have ended.
            let _ = updates.blocking_send(ProcessUpdate { relay, pid, change });
        });
    }

    /// Command that runs the relay with its limit on descriptors.
    fn command(&self, relay: usize) -> Command {
        let descriptors = self.resources.get(relay).and_then(|it| it.descriptors);
        let Some(descriptors) = descriptors else {
            return Command::new(&self.file);
        };
        let mut command = Command::new("sh");
        // The shell becomes the relay, so its process id is that of the relay.
        command
            .args(["-c", "ulimit -S -n \"$0\" && exec \"$@\""])
            .arg(descriptors.to_string())
            .arg(&self.file);
        command
    }

    /// Starts a relay and returns its process id. Its start and exit are sent to `updates`.
    ///
    /// # Errors
    /// A log file can't be opened or the program can't be started.
    pub(crate) fn spawn(&self, relay: usize, updates: mpsc::Sender<ProcessUpdate>) -> Result<u32> {
        let log = self.directory.join(format!("relay-{relay}.log"));
        let stderr_file = self.directory.join(format!("relay-{relay}.err"));
        let stderr = fs::File::options()
            .create(true)
            .append(true)
            .open(&stderr_file);
        let stderr = stderr.wrap_err_with(|| format!("opening {}", stderr_file.display()))?;
        let child = self
            .command(relay)
            .arg("--settings")
            .arg(self.settings_file(relay))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(stderr)
            .kill_on_drop(true)
            .spawn()
            .wrap_err_with(|| format!("starting {}", self.file.display()))?;
        let pid = child
            .id()
            .ok_or_else(|| eyre!("relay process has no process id"))?;
        tokio::spawn(async move {
            let exit = supervise(
                child,
                &log,
                |address| ProcessUpdate {
                    relay,
                    pid,
                    change: ProcessChange::Started(address),
                },
                &updates,
            );
            match exit.await {
                Ok(status) => {
                    let change = ProcessChange::Exited(status);
                    // The control thread may have ended.
                    let _ = updates.send(ProcessUpdate { relay, pid, change }).await;
                }
                Err(error) => eprintln!("relay {relay}: {error:#}"),
            }
        });
        Ok(pid)
    }
}

/// Copies the process's stdout to its log file, reports its start, and waits for its exit.
async fn supervise(
    mut child: Child,
    log: &Path,
    started: impl Fn(SocketAddr) -> ProcessUpdate,
    updates: &mpsc::Sender<ProcessUpdate>,
) -> Result<ExitStatus> {
    let stdout = child
        .stdout
        .take()
        .ok_or_else(|| eyre!("relay process has no stdout pipe"))?;
    let mut lines = BufReader::new(stdout).lines();
    let mut options = tokio::fs::File::options();
    let mut file = options.create(true).append(true).open(log).await?;
    while let Some(line) = lines.next_line().await? {
        if let Some(address) = started_relay_address(&line) {
            // The control thread may have ended.
            let _ = updates.send(started(address)).await;
        }
        file.write_all(line.as_bytes()).await?;
        file.write_all(b"\n").await?;
    }
    file.flush().await?;
    child
        .wait()
        .await
        .wrap_err("waiting for the relay process to exit")
}

fn settings(relay: usize, store: SocketAddr, retry_budget: RetryBudget, revision: u64) -> Value {
    let any_port = "127.0.0.1:0";
    let seconds = |duration: Millis| duration.get() / 1_000;
    json!({
        "node_id": format!("node-{relay}"),
        "failure_domain": FAILURE_DOMAINS[relay % FAILURE_DOMAINS.len()],
        "region": REGION,
        "regions": {FAILURE_DOMAINS[0]: REGION, FAILURE_DOMAINS[1]: REGION},
        "caller_address": any_port, "ready_address": any_port,
        "peer_address": any_port, "metrics_address": any_port,
        "store_address": store,
        "bounds": {
            "configuration_ms": MAX_CONFIGURATION_DELAY_MS, "leaving_ms": MAX_DRAIN_DELAY_MS,
            "stop_s": seconds(STOP_TIMEOUT_MS), "retry_ratio": retry_budget.ratio,
            "retry_slack": retry_budget.slack + revision,
        },
    })
}
