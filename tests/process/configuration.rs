//! Accepted templates come into force on every node, and no node reverts to an earlier
//! revision.

use std::{
    collections::BTreeMap,
    io::{BufRead as _, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use parsleylatch::{
    bench::fleet::FleetNode,
    decide::{
        membership::MemberLocation,
        store_session::{WatchMode, watch_mode},
    },
    standin::{FaultSpec, StoreFault},
    store::{Condition, StoreClient},
    types::Revision,
};
use test_case::test_case;

use crate::harness::{FleetSpec, RunningFleet, signal};

/// Longest time until an accepted template is in force on every node.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(8);
/// Interval between two requests to a node.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const TEMPLATE_KEY: &str = "templates/local-paying";

fn fleet_spec(nodes: usize) -> FleetSpec<'static> {
    FleetSpec {
        nodes,
        engines: 1,
        services: 0,
        options: &["--pace-ms", "5"],
    }
}

/// A node started by the test instead of the fleet script; killed when dropped.
pub(crate) struct ReplacementNode {
    child: Child,
    pub(crate) admin: SocketAddr,
}

impl ReplacementNode {
    /// Starts a node with the settings of node `number`, which was killed.
    pub(crate) fn start(running: &RunningFleet, number: usize) -> Self {
        let settings = running.dir.join(format!("node-{number}.jsonc"));
        let mut child = Command::new(env!("CARGO_BIN_EXE_parsleylatch-node"))
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("the node starts");
        let (sender, line) = std::sync::mpsc::channel();
        let stdout = child.stdout.take().expect("piped");
        std::thread::spawn(move || {
            let mut text = String::new();
            let _ = BufReader::new(stdout).read_line(&mut text);
            let _ = sender.send(text);
        });
        let line = line.recv_timeout(IN_FORCE_TIMEOUT);
        let admin = line.ok().and_then(|line| parse_admin_address(&line));
        if admin.is_none() {
            let _ = child.kill();
            let _ = child.wait();
        }
        Self {
            child,
            admin: admin.expect("the node becomes ready"),
        }
    }
}

impl Drop for ReplacementNode {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn parse_admin_address(ready: &str) -> Option<SocketAddr> {
    let mut words = ready.split_whitespace();
    let word = words.find_map(|word| word.strip_prefix("admin="));
    word?.parse().ok()
}

async fn inject_store_fault(running: &RunningFleet, fault: StoreFault) {
    let spec = FaultSpec {
        fault,
        at_index: None,
        delay_ms: None,
    };
    running
        .post(running.fleet.store.control, "/fault", &spec)
        .await;
}

/// Writes a new revision of the template, identified by its weight.
async fn accept_template(running: &RunningFleet, weight: u32) -> Revision {
    let store = StoreClient::new(running.fleet.store.address);
    let entry = store
        .read(TEMPLATE_KEY)
        .await
        .unwrap()
        .reply
        .expect("the template exists");
    let value = set_weight(&entry.value, weight);
    let reply = store
        .write(TEMPLATE_KEY, value, Condition::At(entry.revision), None)
        .await;
    let reply = reply.expect("the store responds").reply;
    assert!(reply.written);
    reply.entry.expect("written").revision
}

fn set_weight(text: &str, weight: u32) -> String {
    let mut lines: Vec<&str> = text
        .lines()
        .filter(|line| !line.contains("\"weight\""))
        .collect();
    let line = format!("  \"weight\": {weight},");
    let first = lines.iter().position(|line| line.contains('{')).unwrap() + 1;
    lines.insert(first, &line);
    lines.join("\n")
}

async fn template_revision(running: &RunningFleet, admin: SocketAddr) -> Revision {
    let templates = running.get(admin, "/admin/v1/revisions").await;
    Revision::new(templates["local-paying"].as_u64().unwrap_or_default())
}

/// Waits until the revision is in force at the nodes; returns the longest time.
async fn await_in_force(
    running: &RunningFleet,
    admins: &[SocketAddr],
    revision: Revision,
) -> Duration {
    let started = Instant::now();
    for admin in admins {
        let mut observed = Revision::ZERO;
        while observed < revision {
            let current = template_revision(running, *admin).await;
            assert!(
                current >= observed,
                "{admin} reverted from revision {observed} to {current}"
            );
            observed = current;
            assert!(
                started.elapsed() < IN_FORCE_TIMEOUT,
                "{admin} has revision {observed} in force instead of {revision}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    started.elapsed()
}

fn admins(running: &RunningFleet) -> Vec<SocketAddr> {
    running.fleet.nodes.iter().map(|node| node.admin).collect()
}

#[test_case(3 ; "3 nodes")]
#[test_case(6 ; "6 nodes")]
#[test_case(9 ; "9 nodes")]
#[tokio::test]
async fn accept_store_available(nodes: usize) {
    let running = RunningFleet::start(fleet_spec(nodes)).await;
    let revision = accept_template(&running, 2).await;
    let time = await_in_force(&running, &admins(&running), revision).await;
    println!("store up: in force on {nodes} nodes after {time:?}");
}

/// A revision that one node has when a store outage begins reaches all others, including
/// a node that starts during the outage.
#[test_case(3 ; "3 nodes")]
#[test_case(6 ; "6 nodes")]
#[test_case(9 ; "9 nodes")]
#[tokio::test]
async fn accept_store_outage_then_new_node(nodes: usize) {
    let running = RunningFleet::start(fleet_spec(nodes)).await;
    let revision = accept_template(&running, 3).await;
    await_in_force(&running, &admins(&running)[..1], revision).await;
    inject_store_fault(&running, StoreFault::Outage).await;
    signal(running.fleet.nodes[2].pid, "KILL");
    let replacement = ReplacementNode::start(&running, 3);
    let mut admins = admins(&running);
    admins[2] = replacement.admin;
    let time = await_in_force(&running, &admins, revision).await;
    println!("store out: in force on {nodes} nodes, one of them new, after {time:?}");
    inject_store_fault(&running, StoreFault::None).await;
    let next = accept_template(&running, 4).await;
    await_in_force(&running, &admins, next).await;
}

#[tokio::test]
async fn accept_watchers_killed() {
    let running = RunningFleet::start(fleet_spec(9)).await;
    let (watching, idle) = partition_by_watch_mode(&running);
    for node in &watching {
        signal(node.pid, "KILL");
    }
    // Written before the other nodes detect the loss, so that no node has a watch open.
    let revision = accept_template(&running, 5).await;
    let admins: Vec<SocketAddr> = idle.iter().map(|node| node.admin).collect();
    let time = await_in_force(&running, &admins, revision).await;
    println!(
        "in force on {} nodes after {time:?}; the {} watchers were killed",
        idle.len(),
        watching.len()
    );
}

/// Splits the nodes into those that keep a watch open at the store and the others.
fn partition_by_watch_mode(running: &RunningFleet) -> (Vec<&FleetNode>, Vec<&FleetNode>) {
    let location = |node: &FleetNode| MemberLocation {
        node: node.id.clone(),
        failure_domain: node.failure_domain.clone(),
        region: match node.failure_domain.as_str() {
            "domain-3" => "region-2".parse().unwrap(),
            _ => "region-1".parse().unwrap(),
        },
    };
    let nodes = &running.fleet.nodes;
    let live: Vec<MemberLocation> = nodes.iter().map(location).collect();
    nodes
        .iter()
        .partition(|node| watch_mode(&location(node), live.iter()) == WatchMode::Watch)
}

#[tokio::test]
async fn accept_unreadable_document() {
    let running = RunningFleet::start(fleet_spec(1)).await;
    let before = template_revision(&running, running.fleet.nodes[0].admin).await;
    let store = StoreClient::new(running.fleet.store.address);
    let entry = store.read(TEMPLATE_KEY).await.unwrap().reply.unwrap();
    let condition = Condition::At(entry.revision);
    let text = "{ \"tier\": 7 }".to_owned();
    store
        .write(TEMPLATE_KEY, text, condition, None)
        .await
        .unwrap();
    running.await_counter(0, "templates_unreadable", 1).await;
    let after = template_revision(&running, running.fleet.nodes[0].admin).await;
    assert_eq!(after, before, "the last valid document stays in force");
    let next = replace_unreadable(&running, &entry.value).await;
    await_in_force(&running, &admins(&running), next).await;
}

async fn replace_unreadable(running: &RunningFleet, good: &str) -> Revision {
    let store = StoreClient::new(running.fleet.store.address);
    let entry = store.read(TEMPLATE_KEY).await.unwrap().reply.unwrap();
    let condition = Condition::At(entry.revision);
    let reply = store
        .write(TEMPLATE_KEY, set_weight(good, 6), condition, None)
        .await;
    reply.unwrap().reply.entry.unwrap().revision
}

/// Several operators write the same template at once. Each node's revisions never
/// decrease, are all revisions that one of them wrote, and end with the last one written.
#[tokio::test]
async fn accept_concurrent_operators() {
    let running = RunningFleet::start(fleet_spec(3)).await;
    let writers = (0..4_u32).map(|writer| write_revisions(&running, 10 + 10 * writer));
    let watching = poll_revisions(&running);
    let (written, observed) = tokio::join!(futures::future::join_all(writers), watching);
    let written: BTreeMap<u64, u32> = written.into_iter().flatten().collect();
    let last = *written
        .keys()
        .last()
        .expect("at least one revision was written");
    for (node, revisions) in observed.iter().enumerate() {
        assert!(
            revisions.is_sorted(),
            "node {node} reverted to an earlier revision: {revisions:?}"
        );
        let first = revisions.first().copied();
        for revision in revisions {
            let is_known = written.contains_key(revision) || Some(*revision) == first;
            assert!(is_known, "no operator wrote revision {revision}");
        }
    }
    await_in_force(&running, &admins(&running), Revision::new(last)).await;
}

/// Writes five revisions, retrying each on a conflict with the other operators.
async fn write_revisions(running: &RunningFleet, first_weight: u32) -> Vec<(u64, u32)> {
    let store = StoreClient::new(running.fleet.store.address);
    let mut written = Vec::new();
    for weight in first_weight..first_weight + 5 {
        loop {
            let entry = store.read(TEMPLATE_KEY).await.unwrap().reply.unwrap();
            let value = set_weight(&entry.value, weight);
            let condition = Condition::At(entry.revision);
            let reply = store
                .write(TEMPLATE_KEY, value, condition, None)
                .await
                .unwrap()
                .reply;
            if reply.written {
                written.push((reply.entry.unwrap().revision.get(), weight));
                break;
            }
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    written
}

async fn poll_revisions(running: &RunningFleet) -> Vec<Vec<u64>> {
    let mut observed = vec![Vec::new(); running.fleet.nodes.len()];
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(3) {
        for (node, revisions) in observed.iter_mut().enumerate() {
            let admin = running.fleet.nodes[node].admin;
            revisions.push(template_revision(running, admin).await.get());
        }
    }
    observed
}

#[tokio::test]
async fn store_calls_idle_fleet() {
    let running = RunningFleet::start(fleet_spec(9)).await;
    let before = template_call_count(&running).await;
    let window = Duration::from_secs(5);
    tokio::time::sleep(window).await;
    let call_count = template_call_count(&running).await - before;
    println!("{call_count} calls to the store for templates by 9 nodes in {window:?}");
    // A node with an open watch makes one call per 30 s, any other node one per minute.
    assert!(call_count <= 18, "{call_count} calls in {window:?}");
}

async fn template_call_count(running: &RunningFleet) -> u64 {
    let mut sum = 0;
    for node in 0..running.fleet.nodes.len() {
        sum += running.counter(node, "template_calls").await;
    }
    sum
}
