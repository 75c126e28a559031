//! Fleets of processes that a measurement starts and stops.

use std::{
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use eyre::{Result, WrapErr, bail, ensure};
use tokio::time::{Instant, sleep};

use crate::{
    fleet::Fleet,
    process::{Signal, send_signal},
};

const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval of checks for the fleet file.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Size and options of a fleet.
#[derive(Clone, Debug)]
pub(crate) struct FleetShape {
    /// Number of nodes.
    pub(crate) nodes: usize,
    /// Number of engines.
    pub(crate) engines: usize,
    /// Additional options for the script.
    pub(crate) options: Vec<String>,
}

/// Running fleet, stopped on drop.
pub(crate) struct LaunchedFleet {
    /// Addresses, keys and process ids of the fleet.
    pub(crate) fleet: Fleet,
    script: Child,
    dir: PathBuf,
}

impl LaunchedFleet {
    /// Starts a fleet by `script`, with the programs in this program's directory.
    ///
    /// # Errors
    /// Returns an error if the fleet does not start or is not ready in time.
    pub(crate) async fn start(script: &Path, shape: &FleetShape) -> Result<Self> {
        let name = format!("parsleylatch-bench-{}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        let program = std::env::current_exe().wrap_err("locating the current executable")?;
        let Some(bin_dir) = program.parent() else {
            bail!("{} has no parent directory", program.display());
        };
        let mut command = Command::new(script);
        command
            .args(["--nodes", &shape.nodes.to_string()])
            .args(["--engines", &shape.engines.to_string()])
            .args(["--services", "1"])
            .arg("--dir")
            .arg(&dir)
            .arg("--bin-dir")
            .arg(bin_dir)
            .args(&shape.options)
            .stdout(Stdio::null());
        let spawned = command.spawn();
        let mut script = spawned.wrap_err_with(|| format!("starting {}", script.display()))?;
        let file = dir.join("fleet.json");
        wait_for_file(&file, &mut script).await?;
        Ok(Self {
            fleet: Fleet::read(&file)?,
            script,
            dir,
        })
    }
}

impl Drop for LaunchedFleet {
    fn drop(&mut self) {
        // The script stops its processes and waits for them.
        if send_signal(self.script.id(), Signal::Term).is_ok() {
            let _ = self.script.wait();
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

async fn wait_for_file(file: &Path, script: &mut Child) -> Result<()> {
    let deadline = Instant::now() + START_TIMEOUT;
    while !file.exists() {
        if let Some(status) = script.try_wait()? {
            bail!("the script exited before the fleet was ready: {status}");
        }
        ensure!(
            Instant::now() < deadline,
            "the fleet was not ready within {START_TIMEOUT:?}"
        );
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
