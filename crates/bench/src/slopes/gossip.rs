//! Cost of gossip, membership and endpoint watching on one node.

use std::time::{Duration, Instant};

use eyre::Result;
use parsleylatch_decide::{endpoint_health::WatchInput, gossip::GossipMessage};
use parsleylatch_types::{Millis, MonoTime, NodeId};

use super::{
    control::SIZES,
    frames::encode,
    simulated_node::{SimulatedNode, TrafficCounts},
    state::Size,
};
use crate::{process::resident_memory, report::Report, timing::nanos_per_call};

/// Virtual seconds for which each node is measured.
const MEASURED_SECONDS: u64 = 30;
/// Simulated nodes, at evenly spaced positions of the list.
const MEASURED_NODES: usize = 6;
/// Virtual seconds before the measurement, in which new links settle.
const SETTLE_SECONDS: u64 = 5;
/// Interval at which deadlines are checked.
const STEP_MS: Millis = Millis::new(50);
const STEPS_PER_SECOND: u64 = 20;

pub(super) fn measure(report: &mut Report) -> Result<()> {
    for size in SIZES {
        measure_steady_state(size, report)?;
        measure_member_change(size, report);
    }
    Ok(())
}

/// Measures gossip in the steady state, as the mean of several nodes.
fn measure_steady_state(size: Size, report: &mut Report) -> Result<()> {
    let memory_before = resident_memory("self")?;
    let positions = (0..MEASURED_NODES).map(|part| part * size.nodes / MEASURED_NODES);
    let mut simulated_nodes: Vec<SimulatedNode> = positions
        .map(|position| SimulatedNode::new(size, position))
        .collect();
    let memory = resident_memory("self")?.saturating_sub(memory_before);
    let (mut processing_time, mut largest) = (Duration::ZERO, 0);
    let mut total = TrafficCounts::default();
    for node in &mut simulated_nodes {
        processing_time += run(node);
        let counts = node.counts;
        total.bytes_in += counts.bytes_in;
        total.bytes_out += counts.bytes_out;
        total.messages_out += counts.messages_out;
        total.loads_in += counts.loads_in;
        largest = largest.max(counts.bytes_in + counts.bytes_out);
    }
    let nodes = size.nodes as u64;
    let case = "mean of six nodes, by nodes; the rest grows along";
    let per_node = |sum: f64| sum / MEASURED_NODES as f64;
    let per_node_second = |sum: u64| per_node(sum as f64) / MEASURED_SECONDS as f64;
    let mut add = |name: &str, value: f64, unit| report.add_sized(name, case, nodes, value, unit);
    let percent = per_node(processing_time.as_secs_f64()) * 100.0 / MEASURED_SECONDS as f64;
    add("gossip_processor", percent, "% of a core");
    add("gossip_bytes_out", per_node_second(total.bytes_out), "B/s");
    add("gossip_bytes_in", per_node_second(total.bytes_in), "B/s");
    add(
        "gossip_bytes_largest",
        largest as f64 / MEASURED_SECONDS as f64,
        "B/s",
    );
    add(
        "gossip_messages_out",
        per_node_second(total.messages_out),
        "1/s",
    );
    add("gossip_loads_in", per_node_second(total.loads_in), "1/s");
    let sum_of =
        |of: fn(&SimulatedNode) -> usize| simulated_nodes.iter().map(of).sum::<usize>() as f64;
    add("gossip_links", per_node(sum_of(SimulatedNode::links)), "");
    add(
        "gossip_watched_endpoints",
        per_node(sum_of(SimulatedNode::watched)),
        "",
    );
    add("gossip_state_memory", per_node(memory.get() as f64), "B");
    add(
        "gossip_full_state",
        full_state_bytes(&simulated_nodes[0]) as f64,
        "B",
    );
    Ok(())
}

/// Runs a node through virtual time and returns the time its handlers took.
fn run(node: &mut SimulatedNode) -> Duration {
    let mut now = MonoTime::ZERO;
    let mut processing_time = Duration::ZERO;
    for second in 0..SETTLE_SECONDS + MEASURED_SECONDS {
        if second == SETTLE_SECONDS {
            node.reset_counts();
            processing_time = Duration::ZERO;
        }
        let frames = node.next_peer_frames();
        let per_step = frames.len().div_ceil(STEPS_PER_SECOND as usize);
        let mut frames = frames.into_iter();
        for step in 0..STEPS_PER_SECOND {
            now = now + STEP_MS;
            let due: Vec<(NodeId, Vec<u8>)> = frames.by_ref().take(per_step).collect();
            let loads = node.next_load_responses(now, step, STEPS_PER_SECOND);
            let started_at = Instant::now();
            for (from, frame) in due {
                node.handle_frame(now, from, &frame);
            }
            node.handle_load_responses(now, loads);
            node.expire(now);
            processing_time += started_at.elapsed();
        }
    }
    processing_time
}

/// Returns the size of the state that a peer sends to a new node, without loads.
fn full_state_bytes(node: &SimulatedNode) -> usize {
    let message = GossipMessage::Items(node.items_without_loads());
    encode(message).len()
}

/// Measures the reassignment of watched endpoints when another node is lost or returns.
fn measure_member_change(size: Size, report: &mut Report) {
    let mut node = SimulatedNode::new(size, 0);
    let all_members = node.locations();
    let mut remaining = all_members.clone();
    remaining.remove(size.nodes / 2);
    let mut is_lost = false;
    let nanos = nanos_per_call(|| {
        is_lost = !is_lost;
        let members = if is_lost {
            remaining.clone()
        } else {
            all_members.clone()
        };
        node.endpoints
            .handle(MonoTime::ZERO, WatchInput::Members(members))
    });
    let case = "duties anew after one node's loss, by nodes";
    let millis = nanos / 1e6;
    report.add_sized("member_change", case, size.nodes as u64, millis, "ms");
}
