//! Nodes and endpoints that are leaving or have failed get no new work.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use parsleylatch::wire::platform::{VmEntry, VmListReply};
use parsleylatch_http::Client;
use serde::Serialize;
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
};

use crate::{
    configuration::ReplacementNode,
    harness::{EVENT_TIMEOUT, FleetSpec, RunningFleet, body, generate, signal},
};

/// Longest time until a leaving endpoint or node gets no new work.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time until the other nodes detect that a node has failed.
const FAILURE_DETECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between two requests to a node.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Request to an engine's control address that sets its leaving flag.
#[derive(Serialize)]
struct LeavingRequest {
    leaving: bool,
}

async fn endpoint_condition(running: &RunningFleet, admin: SocketAddr, endpoint: &str) -> String {
    let endpoints = running.get(admin, "/admin/v1/endpoints").await;
    let entries = endpoints.as_array().unwrap().iter();
    let mut matching = entries.filter(|entry| entry["id"] == endpoint);
    let condition = matching
        .next()
        .map(|entry| entry["condition"].as_str().unwrap().to_owned());
    condition.unwrap_or_else(|| "unlisted".to_owned())
}

/// Waits until every node lists an endpoint as leaving; returns the time since `since`.
async fn await_leaving(
    running: &RunningFleet,
    admins: &[SocketAddr],
    endpoint: &str,
    since: Instant,
    timeout: Duration,
) -> Duration {
    for admin in admins {
        loop {
            let condition = endpoint_condition(running, *admin, endpoint).await;
            if condition == "leaving" {
                break;
            }
            assert!(
                since.elapsed() < timeout,
                "{endpoint} is {condition} at {admin} after {:?}",
                since.elapsed()
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    since.elapsed()
}

fn admins(running: &RunningFleet) -> Vec<SocketAddr> {
    running.fleet.nodes.iter().map(|node| node.admin).collect()
}

async fn vm_entry(running: &RunningFleet, id: &str) -> VmEntry {
    let list: VmListReply = Client::new()
        .get_json(running.fleet.vm_list.address, "/v1/vms", EVENT_TIMEOUT)
        .await
        .expect("the VM list responds");
    let mut vms = list.vms.into_iter();
    vms.find(|vm| vm.id.as_str() == id).expect("listed")
}

async fn generated_tokens(running: &RunningFleet, engine: usize) -> u64 {
    let control = running.fleet.engines[engine].control;
    let counters = running.get(control, "/counters").await;
    counters["generated_tokens"].as_u64().unwrap()
}

#[tokio::test]
async fn leaving_reported_by_engine() {
    let running = RunningFleet::start(FleetSpec {
        nodes: 3,
        engines: 3,
        services: 0,
        options: &["--pace-ms", "2", "--vm-lag-ms", "5000"],
    })
    .await;
    let since = Instant::now();
    let control = running.fleet.engines[0].control;
    running
        .post(control, "/leaving", &LeavingRequest { leaving: true })
        .await;
    let time = await_leaving(
        &running,
        &admins(&running),
        "engine-1",
        since,
        LEAVING_TIMEOUT,
    )
    .await;
    println!("leaving at 3 nodes after {time:?}, reported by the engine");
    let before = generated_tokens(&running, 0).await;
    for prompt in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        for node in 0..3 {
            generate(&running.paying_caller(node), &body(prompt, 3)).await;
        }
    }
    assert_eq!(
        generated_tokens(&running, 0).await,
        before,
        "the leaving engine got new work"
    );
}

#[tokio::test]
async fn leaving_reported_by_list() {
    let running = RunningFleet::start(FleetSpec {
        nodes: 3,
        engines: 2,
        services: 0,
        options: &["--vm-lag-ms", "200"],
    })
    .await;
    let mut vm = vm_entry(&running, "engine-2").await;
    vm.leaving = true;
    let since = Instant::now();
    running
        .post(running.fleet.vm_list.control, "/vms", &vm)
        .await;
    let time = await_leaving(
        &running,
        &admins(&running),
        "engine-2",
        since,
        LEAVING_TIMEOUT,
    )
    .await;
    println!("leaving at 3 nodes after {time:?}, reported by the VM list");
}

/// A node that can no longer reach the VM list receives changes of it from its peers.
// The proxy needs a worker thread while the test blocks on the start of the node.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_node_isolated_from_list() {
    let running = RunningFleet::start(FleetSpec {
        nodes: 3,
        engines: 2,
        services: 0,
        options: &["--vm-lag-ms", "200"],
    })
    .await;
    let proxy = Proxy::start(running.fleet.vm_list.address).await;
    signal(running.fleet.nodes[2].pid, "KILL");
    let settings = running.dir.join("node-3.jsonc");
    let text = std::fs::read_to_string(&settings).unwrap();
    let list = running.fleet.vm_list.address.to_string();
    std::fs::write(&settings, text.replace(&list, &proxy.address.to_string())).unwrap();
    let replacement = ReplacementNode::start(&running, 3);
    proxy.disconnect();
    let mut vm = vm_entry(&running, "engine-2").await;
    vm.leaving = true;
    let since = Instant::now();
    running
        .post(running.fleet.vm_list.control, "/vms", &vm)
        .await;
    let admins = [replacement.admin];
    let time = await_leaving(&running, &admins, "engine-2", since, LEAVING_TIMEOUT).await;
    println!("leaving at the node without the VM list after {time:?}");
}

async fn await_not_live(
    running: &RunningFleet,
    nodes: &[usize],
    node_id: &str,
    since: Instant,
    timeout: Duration,
) -> Duration {
    for node in nodes {
        loop {
            let admin = running.fleet.nodes[*node].admin;
            let listed = running.get(admin, "/admin/v1/nodes").await;
            let mut entries = listed.as_array().unwrap().iter();
            let live = entries.any(|entry| entry["id"] == node_id && entry["live"] == true);
            if !live {
                break;
            }
            assert!(
                since.elapsed() < timeout,
                "{node_id} is still live at node {node} after {:?}",
                since.elapsed()
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    since.elapsed()
}

const NINE_NODES: FleetSpec<'static> = FleetSpec {
    nodes: 9,
    engines: 1,
    services: 0,
    options: &[],
};

#[tokio::test]
async fn node_killed() {
    let running = RunningFleet::start(NINE_NODES).await;
    let since = Instant::now();
    signal(running.fleet.nodes[0].pid, "KILL");
    let others: Vec<usize> = (1..9).collect();
    let time = await_not_live(
        &running,
        &others,
        "node-1",
        since,
        FAILURE_DETECTION_TIMEOUT,
    )
    .await;
    println!("killed node not live at the 8 others after {time:?}");
}

/// A paused process does not respond although its connections stay open; it has to be
/// detected as failed, and as live again once it continues.
#[tokio::test]
async fn node_paused_then_continued() {
    let running = RunningFleet::start(NINE_NODES).await;
    let since = Instant::now();
    signal(running.fleet.nodes[1].pid, "STOP");
    let others: Vec<usize> = (0..9).filter(|node| *node != 1).collect();
    let time = await_not_live(
        &running,
        &others,
        "node-2",
        since,
        FAILURE_DETECTION_TIMEOUT,
    )
    .await;
    println!("paused node not live at the 8 others after {time:?}");
    tokio::time::sleep(Duration::from_secs(4)).await;
    let continued_at = Instant::now();
    signal(running.fleet.nodes[1].pid, "CONT");
    for node in others {
        await_live(&running, node, "node-2", continued_at).await;
    }
    println!(
        "continued node live at the 8 others after {:?}",
        continued_at.elapsed()
    );
}

async fn await_live(running: &RunningFleet, node: usize, node_id: &str, since: Instant) {
    loop {
        let listed = running
            .get(running.fleet.nodes[node].admin, "/admin/v1/nodes")
            .await;
        let mut entries = listed.as_array().unwrap().iter();
        if entries.any(|entry| entry["id"] == node_id && entry["live"] == true) {
            return;
        }
        assert!(
            since.elapsed() < EVENT_TIMEOUT,
            "{node_id} is not live at node {node} after {EVENT_TIMEOUT:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test]
async fn node_planned_stop() {
    let running = RunningFleet::start(NINE_NODES).await;
    let since = Instant::now();
    signal(running.fleet.nodes[0].pid, "TERM");
    let others: Vec<usize> = (1..9).collect();
    let time = await_not_live(&running, &others, "node-1", since, LEAVING_TIMEOUT).await;
    println!("stopping node not live at the 8 others after {time:?}");
}

/// TCP proxy that forwards connections until it is disconnected.
struct Proxy {
    address: SocketAddr,
    disconnected: watch::Sender<bool>,
}

impl Proxy {
    async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let disconnected = watch::Sender::new(false);
        let is_disconnected = disconnected.subscribe();
        tokio::spawn(async move {
            while let Ok((mut inner, _)) = listener.accept().await {
                let mut is_disconnected = is_disconnected.clone();
                tokio::spawn(async move {
                    let Ok(mut outer) = TcpStream::connect(target).await else {
                        return;
                    };
                    tokio::select! {
                        _ = copy_bidirectional(&mut inner, &mut outer) => {}
                        _ = is_disconnected.wait_for(|is_disconnected| *is_disconnected) => {}
                    }
                });
            }
        });
        Self {
            address,
            disconnected,
        }
    }

    fn disconnect(&self) {
        self.disconnected.send_replace(true);
    }
}
