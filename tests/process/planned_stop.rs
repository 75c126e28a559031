//! Planned stops interrupt no generation: long ones continue at another node.

use std::{process::Command, time::Duration};

use futures::future::join_all;
use parsleylatch::{
    bench::{
        caller::{Caller, check_response},
        resuming::{GenerationRecord, ResumingCaller},
    },
    types::RequestId,
    wire::caller::GenerationBody,
};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::harness::{EVENT_TIMEOUT, FleetSpec, RunningFleet, body, signal};

/// Longest gap between tokens that a planned stop may cause at a caller.
const MAX_TOKEN_GAP: Duration = Duration::from_secs(3);

/// The pace makes long responses outlast the time that a stopping node waits for streams
/// to end.
const FLEET: FleetSpec<'_> = FleetSpec {
    nodes: 4,
    engines: 3,
    services: 0,
    options: &["--pace-ms", "10"],
};
/// Length of a response that outlasts the drain of its node.
const LONG_TOKENS: u32 = 600;
/// Length of a response that outlasts a rolling restart of the fleet.
const ROLLING_RESTART_TOKENS: u32 = 1_500;
/// Number of callers per node.
const CALLERS_PER_NODE: usize = 5;

/// Runs one caller that starts at `first_node` and can resume at every node.
async fn run_caller(
    running: &RunningFleet,
    first_node: usize,
    prompt: String,
    max_tokens: u32,
) -> (GenerationBody, GenerationRecord) {
    let mut nodes: Vec<_> = running.fleet.nodes.iter().map(|node| node.caller).collect();
    nodes.rotate_left(first_node);
    let caller = Caller::new(nodes[0], &running.fleet.workspaces[0].key);
    let body = body(&prompt, max_tokens);
    let history = ResumingCaller::new(caller, nodes)
        .run(RequestId::generate(), &body)
        .await
        .unwrap_or_else(|error| panic!("{prompt}: {error:#}"));
    (body, history)
}

/// Runs callers at every node during a disruption of the fleet, and checks each response.
async fn run_load(
    running: &RunningFleet,
    max_tokens: u32,
    disruption: impl Future<Output = ()>,
) -> Vec<GenerationRecord> {
    let callers = (0..FLEET.nodes * CALLERS_PER_NODE).map(|number| {
        run_caller(
            running,
            number % FLEET.nodes,
            format!("caller {number}"),
            max_tokens,
        )
    });
    let (finished, ()) = futures::future::join(join_all(callers), disruption).await;
    let mut histories = Vec::new();
    for (body, history) in finished {
        let done = history.done.as_ref().expect("the response is complete");
        check_response(&body, &history.token_data(), done).unwrap();
        let gap = history.longest_gap();
        assert!(
            gap < MAX_TOKEN_GAP,
            "no token for {gap:?}: {:?}",
            history.moves
        );
        assert_eq!(
            history.rebuilds, 0,
            "a generation was rebuilt without the journal"
        );
        histories.push(history);
    }
    histories
}

async fn await_exit(pid: u32) {
    let deadline = tokio::time::Instant::now() + EVENT_TIMEOUT;
    while is_running(pid) {
        assert!(tokio::time::Instant::now() < deadline, "{pid} still runs");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn is_running(pid: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{pid}/stat"));
    // An exited process stays a zombie until its parent reaps it.
    status.is_ok_and(|stat| !stat.contains(") Z "))
}

#[test_case(&[0] ; "one node")]
#[test_case(&[0, 1] ; "two nodes at once")]
#[tokio::test]
async fn stop_node_under_load(stopped: &[usize]) {
    let running = RunningFleet::start_linked(FLEET).await;
    let histories = run_load(&running, LONG_TOKENS, async {
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        for node in stopped {
            signal(running.fleet.nodes[*node].pid, "TERM");
        }
        for node in stopped {
            await_exit(running.fleet.nodes[*node].pid).await;
        }
    })
    .await;
    let moved = histories.iter().filter(|it| !it.moves.is_empty()).count();
    assert!(
        moved >= stopped.len() * CALLERS_PER_NODE,
        "only {moved} generations were moved"
    );
    // A caller may find the second stopping node only as a refused connection.
    for history in &histories {
        let (disconnections, moves) = (&history.disconnections, &history.moves);
        assert!(
            disconnections.len() <= stopped.len() + 1,
            "{disconnections:?}"
        );
        assert!(
            moves.len() >= disconnections.len().min(1),
            "{disconnections:?}, {moves:?}"
        );
    }
}

/// Replacement of a stopped node, started as the platform does; killed when dropped.
struct RestartedNode(std::process::Child);

impl Drop for RestartedNode {
    fn drop(&mut self) {
        signal(self.0.id(), "KILL");
        let _ = self.0.wait();
    }
}

/// Starts a node again with its settings and registers it in the VM list.
async fn restart_node(
    running: &RunningFleet,
    node: usize,
) -> (RestartedNode, std::net::SocketAddr) {
    let number = node + 1;
    let settings = running.dir.join(format!("node-{number}.jsonc"));
    let mut child = Command::new(env!("CARGO_BIN_EXE_parsleylatch-node"))
        .arg("--settings")
        .arg(settings)
        .stdout(std::process::Stdio::piped())
        .stderr(std::process::Stdio::null())
        .spawn()
        .unwrap();
    let stdout = child.stdout.take().unwrap();
    let ready = tokio::task::spawn_blocking(move || {
        let mut line = String::new();
        std::io::BufRead::read_line(&mut std::io::BufReader::new(stdout), &mut line).unwrap();
        line
    });
    let ready = ready.await.unwrap();
    let field = |name: &str| {
        let found = ready
            .split_whitespace()
            .find_map(|word| word.strip_prefix(name));
        found.expect("the ready line has the field").to_owned()
    };
    let old = &running.fleet.nodes[node];
    let caller = field("caller=");
    let region = if node % 3 == 2 {
        "region-2"
    } else {
        "region-1"
    };
    let status = Command::new(env!("CARGO_BIN_EXE_parsleylatch-standin"))
        .args([
            "register",
            "--vm-list",
            &running.fleet.vm_list.control.to_string(),
        ])
        .args(["--id", old.id.as_str(), "--address", &field("peer=")])
        .args(["--failure-domain", old.failure_domain.as_str()])
        .args(["--region", region, "--caller-address", &caller])
        .status();
    assert!(status.unwrap().success());
    (RestartedNode(child), caller.parse().unwrap())
}

#[tokio::test]
async fn stop_node_rolling_restart() {
    let running = RunningFleet::start_linked(FLEET).await;
    let mut restarted_nodes = Vec::new();
    let histories = run_load(&running, ROLLING_RESTART_TOKENS, async {
        for node in 0..FLEET.nodes {
            tokio::time::sleep(Duration::from_millis(300)).await;
            let pid = running.fleet.nodes[node].pid;
            signal(pid, "TERM");
            await_exit(pid).await;
            restarted_nodes.push(restart_node(&running, node).await);
        }
    })
    .await;
    let moved: usize = histories.iter().map(|it| it.moves.len()).sum();
    assert!(moved > 0, "no generation was moved");
}

/// Size of a call whose response doesn't fit into the buffers of a connection.
const LARGE_CALL_BYTES: usize = 800_000;

/// Longest time from the signal to the end of a node's process.
const MAX_STOP_DURATION: Duration = Duration::from_secs(10);

/// Sends a large call and reads the first 12 bytes of its response.
async fn start_large_response(running: &RunningFleet) -> (tokio::net::TcpStream, Vec<u8>) {
    let body = format!("\"{}\"", "x".repeat(LARGE_CALL_BYTES));
    let head = format!(
        "POST /v1/services/dispatch/book HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {}\r\n\
         request-id: {}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
        running.fleet.workspaces[0].key,
        RequestId::generate(),
        body.len()
    );
    let node = &running.fleet.nodes[0];
    let mut stream = tokio::net::TcpStream::connect(node.caller).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(body.as_bytes()).await.unwrap();
    let mut received = vec![0; 12];
    stream.read_exact(&mut received).await.unwrap();
    assert_eq!(received, b"HTTP/1.1 200");
    (stream, received)
}

/// A response that its caller reads slowly is delivered as a whole before the process
/// ends.
#[tokio::test]
async fn stop_node_slowly_read_response() {
    let running = RunningFleet::start(crate::calls::FLEET).await;
    let pid = running.fleet.nodes[0].pid;
    let (mut stream, mut received) = start_large_response(&running).await;
    signal(pid, "TERM");
    tokio::time::sleep(Duration::from_millis(800)).await;
    // Fails if the connection is reset; the length shows it.
    let _ = stream.read_to_end(&mut received).await;
    assert!(
        received.len() > LARGE_CALL_BYTES,
        "{} bytes arrived",
        received.len()
    );
    await_exit(pid).await;
}

/// A caller that doesn't read its response doesn't keep the process from ending.
#[tokio::test]
async fn stop_node_unread_response() {
    let running = RunningFleet::start(crate::calls::FLEET).await;
    let pid = running.fleet.nodes[0].pid;
    let (_unread, _) = start_large_response(&running).await;
    let stopped_at = tokio::time::Instant::now();
    signal(pid, "TERM");
    await_exit(pid).await;
    let duration = stopped_at.elapsed();
    assert!(duration < MAX_STOP_DURATION, "stopped after {duration:?}");
}
