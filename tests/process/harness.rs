//! Starts and stops a fleet of processes for one test.

use std::{
    io::Read as _,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use parsleylatch::{
    bench::{
        caller::{Caller, Collected, GenerationResponse},
        fleet::{Fleet, FleetEngine},
    },
    standin::{EngineFault, FaultSpec},
    types::{RequestId, TokenCount, TokenIndex},
    wire::caller::{GenerationBody, TokenData},
};
use parsleylatch_http::Client;
use serde::Serialize;

/// Longest wait for a fleet to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest wait for any other event that a test expects.
pub(crate) const EVENT_TIMEOUT: Duration = Duration::from_secs(30);

static NEXT_FLEET_NUMBER: AtomicU32 = AtomicU32::new(0);

/// Process counts of a fleet, and further options of `scripts/local-fleet`.
#[derive(Clone, Copy)]
pub(crate) struct FleetSpec<'a> {
    pub(crate) nodes: usize,
    pub(crate) engines: usize,
    pub(crate) services: usize,
    pub(crate) options: &'a [&'a str],
}

/// A running fleet, which is stopped when dropped.
pub(crate) struct RunningFleet {
    pub(crate) fleet: Fleet,
    pub(crate) dir: PathBuf,
    script: Child,
    http: Client,
}

impl RunningFleet {
    /// Starts a fleet and waits until it is ready.
    pub(crate) async fn start(shape: FleetSpec<'_>) -> Self {
        let number = NEXT_FLEET_NUMBER.fetch_add(1, Ordering::Relaxed);
        let name = format!("parsleylatch-test-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        let root = Path::new(env!("CARGO_MANIFEST_DIR"));
        let bin_dir = Path::new(env!("CARGO_BIN_EXE_parsleylatch-node"))
            .parent()
            .unwrap();
        let mut command = Command::new(root.join("scripts/local-fleet"));
        command
            .args(["--nodes", &shape.nodes.to_string()])
            .args(["--engines", &shape.engines.to_string()])
            .args(["--services", &shape.services.to_string()])
            .arg("--dir")
            .arg(&dir)
            .arg("--bin-dir")
            .arg(bin_dir)
            .args(shape.options)
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        let mut script = command.spawn().expect("the script starts");
        await_fleet_file(&dir.join("fleet.json"), &mut script).await;
        let fleet = Fleet::read(&dir.join("fleet.json")).expect("the fleet file is readable");
        Self {
            fleet,
            dir,
            script,
            http: Client::new(),
        }
    }

    /// Starts a fleet and waits until every node has journal links to all others.
    pub(crate) async fn start_linked(shape: FleetSpec<'_>) -> Self {
        let running = Self::start(shape).await;
        let others = shape.nodes as u64 - 1;
        for node in 0..shape.nodes {
            running
                .await_counter(node, "journal_peers_up", others)
                .await;
        }
        running
    }

    /// Returns a caller of the paying workspace at a node.
    pub(crate) fn paying_caller(&self, node: usize) -> Caller {
        Caller::new(self.fleet.nodes[node].caller, &self.fleet.workspaces[0].key)
    }

    /// Makes an engine show a fault.
    pub(crate) async fn inject_engine_fault(
        &self,
        engine: &FleetEngine,
        fault: EngineFault,
        at_index: Option<TokenIndex>,
    ) {
        let spec = FaultSpec {
            fault,
            at_index,
            delay_ms: None,
        };
        self.post(engine.control, "/fault", &spec).await;
    }

    /// Posts JSON to a control address and checks that it is accepted.
    pub(crate) async fn post<Payload>(
        &self,
        peer: std::net::SocketAddr,
        path: &str,
        payload: &Payload,
    ) where
        Payload: Serialize,
    {
        let body = serde_json::to_vec(payload).unwrap().into();
        let request = http::Request::post(path);
        let reply = self.http.call(peer, request, body, EVENT_TIMEOUT).await;
        let status = reply.expect("the control address responds").status;
        assert!(status.is_success(), "{path} at {peer}: {status}");
    }

    /// Fetches JSON from a control or administration address.
    pub(crate) async fn get(&self, peer: std::net::SocketAddr, path: &str) -> serde_json::Value {
        let request = http::Request::get(path)
            .header("authorization", format!("Bearer {}", self.fleet.admin_key));
        let reply = self
            .http
            .call(peer, request, bytes::Bytes::new(), EVENT_TIMEOUT)
            .await;
        let reply = reply.expect("the peer responds");
        assert!(
            reply.status.is_success(),
            "{path} at {peer}: {}",
            reply.status
        );
        serde_json::from_slice(&reply.body).expect("the response body is JSON")
    }

    /// Returns the value of a counter of a node.
    pub(crate) async fn counter(&self, node: usize, name: &str) -> u64 {
        let counters = self
            .get(self.fleet.nodes[node].admin, "/admin/v1/counters")
            .await;
        counters[name]
            .as_u64()
            .unwrap_or_else(|| panic!("no counter {name}"))
    }

    /// Returns the index of the engine that has generated the most tokens.
    pub(crate) async fn busiest_engine(&self) -> usize {
        let mut generated = Vec::new();
        for engine in &self.fleet.engines {
            let counters = self.get(engine.control, "/counters").await;
            generated.push(counters["generated_tokens"].as_u64().unwrap());
        }
        (0..generated.len())
            .max_by_key(|index| generated[*index])
            .unwrap()
    }

    /// Waits until a counter of a node reaches `minimum`.
    pub(crate) async fn await_counter(&self, node: usize, name: &str, minimum: u64) {
        let deadline = Instant::now() + EVENT_TIMEOUT;
        while self.counter(node, name).await < minimum {
            assert!(
                Instant::now() < deadline,
                "{name} of node {node} did not reach {minimum} within {EVENT_TIMEOUT:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for RunningFleet {
    fn drop(&mut self) {
        signal(self.script.id(), "TERM");
        let _ = self.script.wait();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

async fn await_fleet_file(path: &Path, script: &mut Child) {
    let deadline = Instant::now() + START_TIMEOUT;
    while !path.exists() {
        if let Some(status) = script.try_wait().expect("the script is a child") {
            let mut reason = String::new();
            let _ = script
                .stderr
                .take()
                .expect("piped")
                .read_to_string(&mut reason);
            panic!("the fleet did not start ({status}): {reason}");
        }
        assert!(
            Instant::now() < deadline,
            "the fleet was not ready within {START_TIMEOUT:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends the signal `name` to a process with `kill`.
pub(crate) fn signal(pid: u32, name: &str) {
    let status = Command::new("kill")
        .args([format!("-{name}"), pid.to_string()])
        .status();
    assert!(status.expect("kill runs").success(), "kill -{name} {pid}");
}

/// Returns the request body of a generation.
pub(crate) fn body(prompt: &str, max_tokens: u32) -> GenerationBody {
    GenerationBody {
        model: "drafts".parse().unwrap(),
        prompt: prompt.to_owned(),
        max_tokens: TokenCount::new(max_tokens),
        seed: None,
        adapter: None,
    }
}

/// Runs a generation to its end at one node; panics if it is refused.
pub(crate) async fn generate(caller: &Caller, body: &GenerationBody) -> Collected {
    match caller
        .generate(RequestId::generate(), body)
        .await
        .expect("the node responds")
    {
        GenerationResponse::Events(events) => events.collect(|_| {}).await,
        GenerationResponse::Refused(problem) => panic!("refused: {problem:?}"),
    }
}

/// Returns the data of the received tokens.
pub(crate) fn token_data(collected: &Collected) -> Vec<TokenData> {
    collected
        .tokens
        .iter()
        .map(|token| token.data.clone())
        .collect()
}

/// Returns the digest of a key in the form used by settings and templates.
pub(crate) fn key_digest(key: &str) -> String {
    parsleylatch::settings::KeyDigest::of_key(key).to_string()
}
