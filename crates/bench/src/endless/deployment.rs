//! The relay as a process, with a store, a sound service and the faulty endpoints.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::Path,
    process::{ExitStatus, Stdio},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use eyre::{Result, WrapErr, bail, eyre};
use http::{Request, StatusCode};
use parsleylatch_http::Client;
use parsleylatch_standin::{RelayedEndpoint, RelayedSettings, Store, StoreSettings};
use parsleylatch_types::Millis;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines},
    process::{Child, ChildStdout, Command},
    time::{sleep, timeout},
};

use crate::process::started_relay_address;

/// Name of the relay binary.
const RELAY_PROGRAM: &str = "parsleylatch-relay-own";
/// Limit on request bodies in the relay's configuration.
pub(crate) const BODY_LIMIT_BYTES: usize = 1 << 20;
const HOST: &str = "endless.example";
const WORKSPACE_KEY: &str = "key-1";
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Pause between two checks whether the relay serves.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit of requests, longer than a measurement.
const REQUEST_TIMEOUT_MS: u64 = 60_000;
/// Run time of a call of the sound service.
const SOUND_CALL_MS: Millis = Millis::new(2);
const FAULTY_ENDPOINTS: usize = 2;
const SLOTS: u32 = 1_000;

/// A running deployment. The relay is killed when it is dropped.
pub(crate) struct Deployment {
    /// Process id of the relay.
    pub(crate) pid: u32,
    /// Address of the relay for callers.
    pub(crate) relay: SocketAddr,
    process: Child,
    _store: Store,
    _sound: RelayedEndpoint,
}

/// Binds the ports of the faulty endpoints.
///
/// # Errors
/// A port can't be bound.
pub(crate) fn bind_faulty_endpoints() -> Result<Vec<TcpListener>> {
    let bind = |_| TcpListener::bind("127.0.0.1:0").wrap_err("binding a faulty endpoint");
    (0..FAULTY_ENDPOINTS).map(bind).collect()
}

impl Deployment {
    /// Starts the deployment and waits until the relay serves the sound service.
    ///
    /// # Errors
    /// The relay does not start or does not serve in time.
    pub(crate) async fn start(
        programs: &Path,
        directory: &Path,
        memory_mb: Option<u64>,
        faulty: &[TcpListener],
    ) -> Result<Self> {
        let store = Store::start(&StoreSettings::local()).wrap_err("starting the store")?;
        let id = "sound-0".parse().map_err(|error| eyre!("{error}"))?;
        let sound = RelayedEndpoint::start(RelayedSettings {
            id,
            pace_ms: SOUND_CALL_MS,
            arrivals: Arc::new(|_| {}),
        });
        let sound = sound.wrap_err("starting the sound service")?;
        register(&store, "sound-0", "sound", sound.address);
        for (index, listener) in faulty.iter().enumerate() {
            let address = listener.local_addr()?;
            register(&store, &format!("faulty-{index}"), "faulty", address);
        }
        store.put("operator/configuration", &configuration().to_string());

        let settings = directory.join("relay.jsonc");
        let text = relay_settings(store.server.addresses.address, memory_mb).to_string();
        fs::write(&settings, text).wrap_err_with(|| format!("writing {}", settings.display()))?;
        let (process, relay) = start_relay(programs, directory, &settings).await?;
        let pid = process.id().ok_or_else(|| eyre!("the relay has ended"))?;
        let deployment = Self {
            pid,
            relay,
            process,
            _store: store,
            _sound: sound,
        };
        timeout(START_TIMEOUT, deployment.wait_until_served())
            .await
            .wrap_err("the relay does not serve the sound service")?;
        Ok(deployment)
    }

    /// How the relay has ended, if it has.
    ///
    /// # Errors
    /// The state of the process can't be read.
    pub(crate) fn exit_status(&mut self) -> Result<Option<ExitStatus>> {
        self.process
            .try_wait()
            .wrap_err("reading the relay's state")
    }

    async fn wait_until_served(&self) {
        let client = Client::new();
        for count in 0.. {
            let request = sound_request(&format!("start-{count}"));
            let reply = client.call(self.relay, request, Bytes::new(), START_TIMEOUT);
            if reply.await.is_ok_and(|it| it.status == StatusCode::OK) {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}

/// Starts the relay and copies its log to `directory`.
async fn start_relay(
    programs: &Path,
    directory: &Path,
    settings: &Path,
) -> Result<(Child, SocketAddr)> {
    let program = programs.join(RELAY_PROGRAM);
    let errors = fs::File::create(directory.join("relay.err")).wrap_err("creating a log")?;
    let mut process = Command::new(&program)
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(errors)
        .kill_on_drop(true)
        .spawn()
        .wrap_err_with(|| format!("starting {}", program.display()))?;
    let stdout = process
        .stdout
        .take()
        .ok_or_else(|| eyre!("the relay has no standard output"))?;
    let mut lines = BufReader::new(stdout).lines();
    let started = timeout(START_TIMEOUT, read_address(&mut lines))
        .await
        .wrap_err("the relay does not start")?;
    let address = started.wrap_err_with(|| format!("starting {}", program.display()))?;
    let log = tokio::fs::File::create(directory.join("relay.log")).await;
    let mut log = log.wrap_err("creating a log")?;
    tokio::spawn(async move {
        while let Ok(Some(line)) = lines.next_line().await {
            let written = log.write_all(format!("{line}\n").as_bytes()).await;
            if let Err(error) = written {
                eprintln!("writing the relay's log: {error}");
            }
        }
    });
    Ok((process, address))
}

async fn read_address(lines: &mut Lines<BufReader<ChildStdout>>) -> Result<SocketAddr> {
    while let Some(line) = lines.next_line().await? {
        if let Some(address) = started_relay_address(&line) {
            return Ok(address);
        }
    }
    bail!("the relay ended before it accepted callers; see relay.err")
}

/// Head of a request of the bench's workspace; `framing` is the header of the body's length.
pub(crate) fn request_head(method: &str, path: &str, id: &str, framing: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\n\
         remaining-ms: {REQUEST_TIMEOUT_MS}\r\nworkspace-key: {WORKSPACE_KEY}\r\n\
         prompt-tokens: 10\r\noutput-tokens: 1000000\r\nconnection: close\r\n{framing}\r\n\r\n"
    )
}

/// Request for the sound service.
pub(crate) fn sound_request(id: &str) -> http::request::Builder {
    Request::get("/sound/1")
        .header("host", HOST)
        .header("request-id", id)
        .header("remaining-ms", REQUEST_TIMEOUT_MS)
        .header("workspace-key", WORKSPACE_KEY)
}

fn register(store: &Store, id: &str, service: &str, address: SocketAddr) {
    let entry = json!({
        "service": service, "address": address, "failure_domain": "fd-1",
        "endpoint_version": "v1", "slots": SLOTS, "incarnation": 1,
    });
    store.put(&format!("endpoints/{id}"), &entry.to_string());
}

fn configuration() -> Value {
    let route = |name: &str, repeat: &str, service: &str| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "repeat": repeat,
            "timeout_ms": REQUEST_TIMEOUT_MS, "goal_ms": REQUEST_TIMEOUT_MS,
            "gap_goal_ms": REQUEST_TIMEOUT_MS, "rank": 1, "attempts": 2,
            "backends": [{"service": service, "weight": 1}],
        })
    };
    json!({
        "version": 1,
        "routes": [
            route("call", "idempotent", "faulty"), route("stream", "resumable_stream", "faulty"),
            route("sound", "idempotent", "sound"),
        ],
        "services": [
            {"name": "faulty", "connection_limit": SLOTS},
            {"name": "sound", "connection_limit": SLOTS},
        ],
        "limits": {
            "head_bytes": 16_384, "body_bytes": BODY_LIMIT_BYTES, "head_timeout_ms": 5_000,
            "idle_timeout_ms": 15_000,
        },
        "workspaces": [{"id": "w-1", "keys": [WORKSPACE_KEY], "rank": 5}],
    })
}

fn relay_settings(store: SocketAddr, memory_mb: Option<u64>) -> Value {
    let any_port = "127.0.0.1:0";
    let mut settings = json!({
        "node_id": "node-0", "failure_domain": "fd-1", "region": "r-1",
        "regions": {"fd-1": "r-1"}, "caller_address": any_port, "ready_address": any_port,
        "peer_address": any_port, "metrics_address": any_port, "store_address": store,
    });
    if let Some(memory_mb) = memory_mb {
        settings["memory_mb"] = memory_mb.into();
    }
    settings
}
