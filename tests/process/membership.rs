//! Nodes and endpoints that leave or die get no new work.

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
    configuration::Replacement,
    harness::{EVENT_TIMEOUT, Running, Shape, body, generate, signal},
};

/// Longest time until a leaving endpoint or node gets no new work.
const LEAVING_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time until a node that was killed is known to be gone.
const DEATH_TIMEOUT: Duration = Duration::from_secs(5);
/// Time between two looks at a node.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Order of an engine's control address.
#[derive(Serialize)]
struct LeavingOrder {
    leaving: bool,
}

async fn condition(running: &Running, admin: SocketAddr, endpoint: &str) -> String {
    let endpoints = running.get(admin, "/admin/v1/endpoints").await;
    let known = endpoints.as_array().unwrap().iter();
    let mut known = known.filter(|known| known["id"] == endpoint);
    let condition = known
        .next()
        .map(|known| known["condition"].as_str().unwrap().to_owned());
    condition.unwrap_or_else(|| "unlisted".to_owned())
}

/// Waits until nodes give an endpoint no new work; returns the longest time.
async fn await_leaving(
    running: &Running,
    admins: &[SocketAddr],
    endpoint: &str,
    since: Instant,
    timeout: Duration,
) -> Duration {
    for admin in admins {
        loop {
            let condition = condition(running, *admin, endpoint).await;
            if condition == "leaving" {
                break;
            }
            assert!(
                since.elapsed() < timeout,
                "{endpoint} is {condition} at {admin} after {:?}",
                since.elapsed()
            );
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }
    since.elapsed()
}

fn admins(running: &Running) -> Vec<SocketAddr> {
    running.fleet.nodes.iter().map(|node| node.admin).collect()
}

async fn vm_entry(running: &Running, id: &str) -> VmEntry {
    let list: VmListReply = Client::new()
        .get_json(running.fleet.vm_list.address, "/v1/vms", EVENT_TIMEOUT)
        .await
        .expect("the list answers");
    let mut vms = list.vms.into_iter();
    vms.find(|vm| vm.id.as_str() == id).expect("listed")
}

async fn generated_tokens(running: &Running, engine: usize) -> u64 {
    let control = running.fleet.engines[engine].control;
    let counters = running.get(control, "/counters").await;
    counters["generated_tokens"].as_u64().unwrap()
}

#[tokio::test]
async fn leaving_own_word_list_lags() {
    let running = Running::start(Shape {
        nodes: 3,
        engines: 3,
        services: 0,
        options: &["--pace-ms", "2", "--vm-lag-ms", "5000"],
    })
    .await;
    let since = Instant::now();
    let control = running.fleet.engines[0].control;
    running
        .post(control, "/leaving", &LeavingOrder { leaving: true })
        .await;
    let time = await_leaving(
        &running,
        &admins(&running),
        "engine-1",
        since,
        LEAVING_TIMEOUT,
    )
    .await;
    println!("no new work at 3 nodes after {time:?}, by the engine's own word");
    let before = generated_tokens(&running, 0).await;
    for prompt in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        for node in 0..3 {
            generate(&running.paying(node), &body(prompt, 3)).await;
        }
    }
    assert_eq!(generated_tokens(&running, 0).await, before, "new work came");
}

#[tokio::test]
async fn leaving_list_alone() {
    let running = Running::start(Shape {
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
    println!("no new work at 3 nodes after {time:?}, by the list");
}

/// A node that can't reach the list any more learns of a change from the others.
// The proxy has to run while the test waits for the node.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_node_cut_off_from_list() {
    let running = Running::start(Shape {
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
    let replacement = Replacement::start(&running, 3);
    proxy.cut();
    let mut vm = vm_entry(&running, "engine-2").await;
    vm.leaving = true;
    let since = Instant::now();
    running
        .post(running.fleet.vm_list.control, "/vms", &vm)
        .await;
    let admins = [replacement.admin];
    let time = await_leaving(&running, &admins, "engine-2", since, LEAVING_TIMEOUT).await;
    println!("no new work at the node without the list after {time:?}");
}

async fn await_not_live(
    running: &Running,
    nodes: &[usize],
    gone: &str,
    since: Instant,
    timeout: Duration,
) -> Duration {
    for node in nodes {
        loop {
            let admin = running.fleet.nodes[*node].admin;
            let listed = running.get(admin, "/admin/v1/nodes").await;
            let mut known = listed.as_array().unwrap().iter();
            let live = known.any(|known| known["id"] == gone && known["live"] == true);
            if !live {
                break;
            }
            assert!(
                since.elapsed() < timeout,
                "{gone} is live at node {node} after {:?}",
                since.elapsed()
            );
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
    }
    since.elapsed()
}

const NINE_NODES: Shape<'static> = Shape {
    nodes: 9,
    engines: 1,
    services: 0,
    options: &[],
};

#[tokio::test]
async fn node_killed() {
    let running = Running::start(NINE_NODES).await;
    let since = Instant::now();
    signal(running.fleet.nodes[0].pid, "KILL");
    let others: Vec<usize> = (1..9).collect();
    let time = await_not_live(&running, &others, "node-1", since, DEATH_TIMEOUT).await;
    println!("a killed node is not live at 8 others after {time:?}");
}

/// A frozen node answers nothing, and its connections stay open.
#[tokio::test]
async fn node_frozen_then_back() {
    let running = Running::start(NINE_NODES).await;
    let since = Instant::now();
    signal(running.fleet.nodes[1].pid, "STOP");
    let others: Vec<usize> = (0..9).filter(|node| *node != 1).collect();
    let time = await_not_live(&running, &others, "node-2", since, DEATH_TIMEOUT).await;
    println!("a frozen node is not live at 8 others after {time:?}");
    tokio::time::sleep(Duration::from_secs(4)).await;
    let woken = Instant::now();
    signal(running.fleet.nodes[1].pid, "CONT");
    for node in others {
        await_live(&running, node, "node-2", woken).await;
    }
    println!("it is live again at 8 others after {:?}", woken.elapsed());
}

async fn await_live(running: &Running, node: usize, back: &str, since: Instant) {
    loop {
        let listed = running
            .get(running.fleet.nodes[node].admin, "/admin/v1/nodes")
            .await;
        let mut known = listed.as_array().unwrap().iter();
        if known.any(|known| known["id"] == back && known["live"] == true) {
            return;
        }
        assert!(
            since.elapsed() < EVENT_TIMEOUT,
            "{back} stays dead at node {node}"
        );
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}

#[tokio::test]
async fn node_stops_as_planned() {
    let running = Running::start(NINE_NODES).await;
    let since = Instant::now();
    signal(running.fleet.nodes[0].pid, "TERM");
    let others: Vec<usize> = (1..9).collect();
    let time = await_not_live(&running, &others, "node-1", since, LEAVING_TIMEOUT).await;
    println!("a stopping node is not live at 8 others after {time:?}");
}

/// Passes connections on until it is cut.
struct Proxy {
    address: SocketAddr,
    cut: watch::Sender<bool>,
}

impl Proxy {
    async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let cut = watch::Sender::new(false);
        let is_cut = cut.subscribe();
        tokio::spawn(async move {
            while let Ok((mut inner, _)) = listener.accept().await {
                let mut is_cut = is_cut.clone();
                tokio::spawn(async move {
                    let Ok(mut outer) = TcpStream::connect(target).await else {
                        return;
                    };
                    tokio::select! {
                        _ = copy_bidirectional(&mut inner, &mut outer) => {}
                        _ = is_cut.wait_for(|is_cut| *is_cut) => {}
                    }
                });
            }
        });
        Self { address, cut }
    }

    fn cut(&self) {
        self.cut.send_replace(true);
    }
}
