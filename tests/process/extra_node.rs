//! An additional node that a test starts next to its fleet.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
};

use crate::harness::{RunningFleet, key_digest, signal};

const NODE_PROGRAM: &str = env!("CARGO_BIN_EXE_parsleylatch-node");

/// A running node, which is stopped when dropped.
pub(crate) struct ExtraNode {
    process: Child,
    settings: PathBuf,
    pub(crate) admin: SocketAddr,
    pub(crate) caller: SocketAddr,
}

impl ExtraNode {
    /// Starts a node that has one administration key per role.
    pub(crate) fn start(running: &RunningFleet) -> Self {
        Self::start_by(running, Command::new(NODE_PROGRAM))
    }

    /// Starts a node that may open `descriptors` files and sockets.
    pub(crate) fn start_with_descriptors(running: &RunningFleet, descriptors: u32) -> Self {
        let mut command = Command::new("sh");
        let script = format!("ulimit -n {descriptors} && exec {NODE_PROGRAM} \"$@\"");
        command.arg("-c").arg(script).arg("sh");
        Self::start_by(running, command)
    }

    fn start_by(running: &RunningFleet, mut command: Command) -> Self {
        let settings = running.dir.join("extra-node.jsonc");
        let keys = ["read", "edit", "accept"].map(|role| {
            let digest = key_digest(role);
            format!(r#"{{ "name": "{role}", "key_sha256": "{digest}", "roles": ["{role}"] }}"#)
        });
        let text = format!(
            r#"{{ "node_id": "extra-node", "failure_domain": "domain-1", "region": "region-1",
  "caller_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
  "peer_address": "127.0.0.1:0", "store_address": "{}", "vm_list_address": "{}",
  "admin_keys": [{}] }}"#,
            running.fleet.store.address,
            running.fleet.vm_list.address,
            keys.join(", ")
        );
        std::fs::write(&settings, text).unwrap();
        let mut process = command
            .arg("--settings")
            .arg(&settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the node starts");
        let mut ready = String::new();
        let stdout = process.stdout.take().expect("piped");
        BufReader::new(stdout).read_line(&mut ready).unwrap();
        let address = |name: &str| {
            let mut words = ready.split_whitespace();
            let address = words.find_map(|word| word.strip_prefix(name));
            let address = address.unwrap_or_else(|| panic!("not ready: {ready}"));
            address.parse().unwrap()
        };
        Self {
            admin: address("admin="),
            caller: address("caller="),
            process,
            settings,
        }
    }
}

impl Drop for ExtraNode {
    fn drop(&mut self) {
        signal(self.process.id(), "TERM");
        let _ = self.process.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}
