//! Cost of one node's share of gossip, membership and endpoint watching.

use std::time::{Duration, Instant};

use eyre::Result;
use parsleylatch_decide::{endpoint_health::WatchInput, gossip::GossipMessage};
use parsleylatch_types::{Millis, MonoTime, NodeId};

use super::{
    control::SIZES,
    frames::encode,
    node_share::{Counts, NodeShare},
    state::Size,
};
use crate::{process::resident_memory, report::Report, timing::nanos_per_call};

/// Seconds for which the share is driven.
const SECONDS: u64 = 30;
/// Nodes whose shares are driven.
const NODES_MEASURED: usize = 6;
/// Seconds before that, in which new links settle.
const SETTLE_SECONDS: u64 = 5;
/// Time between two looks at the deadlines.
const STEP_MS: Millis = Millis::new(50);
/// Steps in a second.
const STEPS_PER_SECOND: u64 = 20;

pub(super) fn measure(report: &mut Report) -> Result<()> {
    for size in SIZES {
        measure_share(size, report)?;
        measure_member_change(size, report);
    }
    Ok(())
}

/// Gossip in the steady state: mean of a few nodes.
fn measure_share(size: Size, report: &mut Report) -> Result<()> {
    let memory_before = resident_memory("self")?;
    let positions = (0..NODES_MEASURED).map(|part| part * size.nodes / NODES_MEASURED);
    let mut shares: Vec<NodeShare> = positions
        .map(|position| NodeShare::new(size, position))
        .collect();
    let memory = resident_memory("self")?.saturating_sub(memory_before);
    let (mut spent, mut largest) = (Duration::ZERO, 0);
    let mut total = Counts::default();
    for share in &mut shares {
        spent += drive(share);
        let counts = share.counts;
        total.bytes_in += counts.bytes_in;
        total.bytes_out += counts.bytes_out;
        total.messages_out += counts.messages_out;
        total.loads_in += counts.loads_in;
        largest = largest.max(counts.bytes_in + counts.bytes_out);
    }
    let nodes = size.nodes as u64;
    let case = "mean of six nodes, by nodes; the rest grows along";
    let each = |sum: f64| sum / NODES_MEASURED as f64;
    let each_second = |sum: u64| each(sum as f64) / SECONDS as f64;
    let mut add = |name: &str, value: f64, unit| report.add_sized(name, case, nodes, value, unit);
    let percent = each(spent.as_secs_f64()) * 100.0 / SECONDS as f64;
    add("gossip_processor", percent, "% of a core");
    add("gossip_bytes_out", each_second(total.bytes_out), "B/s");
    add("gossip_bytes_in", each_second(total.bytes_in), "B/s");
    add(
        "gossip_bytes_largest",
        largest as f64 / SECONDS as f64,
        "B/s",
    );
    add(
        "gossip_messages_out",
        each_second(total.messages_out),
        "1/s",
    );
    add("gossip_loads_in", each_second(total.loads_in), "1/s");
    let sum_of = |of: fn(&NodeShare) -> usize| shares.iter().map(of).sum::<usize>() as f64;
    add("gossip_links", each(sum_of(NodeShare::links)), "");
    add(
        "gossip_watched_endpoints",
        each(sum_of(NodeShare::watched)),
        "",
    );
    add("gossip_state_memory", each(memory.get() as f64), "B");
    add(
        "gossip_full_state",
        full_state_bytes(&shares[0]) as f64,
        "B",
    );
    Ok(())
}

/// Drives a share through virtual time; returns the processor time it took.
fn drive(share: &mut NodeShare) -> Duration {
    let mut now = MonoTime::ZERO;
    let mut spent = Duration::ZERO;
    for second in 0..SETTLE_SECONDS + SECONDS {
        if second == SETTLE_SECONDS {
            share.reset_counts();
            spent = Duration::ZERO;
        }
        let frames = share.frames_of_second();
        let per_step = frames.len().div_ceil(STEPS_PER_SECOND as usize);
        let mut frames = frames.into_iter();
        for step in 0..STEPS_PER_SECOND {
            now = now + STEP_MS;
            let due: Vec<(NodeId, Vec<u8>)> = frames.by_ref().take(per_step).collect();
            let loads = share.own_loads(now, step, STEPS_PER_SECOND);
            let started_at = Instant::now();
            for (from, frame) in due {
                share.take_frame(now, from, &frame);
            }
            share.take_loads(now, loads);
            share.expire(now);
            spent += started_at.elapsed();
        }
    }
    spent
}

/// Bytes that a node without state gets from a peer, loads left out.
fn full_state_bytes(share: &NodeShare) -> usize {
    let message = GossipMessage::Items(share.lasting_items());
    encode(message).len()
}

/// Taking in that one other node is dead, with the duties that move.
fn measure_member_change(size: Size, report: &mut Report) {
    let mut share = NodeShare::new(size, 0);
    let all = share.locations();
    let mut without = all.clone();
    without.remove(size.nodes / 2);
    let mut lost = false;
    let nanos = nanos_per_call(|| {
        lost = !lost;
        let members = if lost { without.clone() } else { all.clone() };
        share
            .endpoints
            .handle(MonoTime::ZERO, WatchInput::Members(members))
    });
    let case = "duties anew after one node's loss, by nodes";
    let millis = nanos / 1e6;
    report.add_sized("member_change", case, size.nodes as u64, millis, "ms");
}
