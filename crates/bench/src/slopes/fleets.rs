//! Cost of real nodes at small counts, idle and under load.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use eyre::{Result, ensure};
use futures::future::join_all;
use parsleylatch_settings::Tier;
use parsleylatch_types::{RequestId, TokenCount};
use parsleylatch_wire::caller::GenerationBody;

use super::SlopesArgs;
use crate::{
    control::{Control, StoreCounts},
    exchange::GenerationClient,
    fleet::Fleet,
    history::Recorder,
    launch::{FleetShape, LaunchedFleet},
    load::{node_callers, tier_workspace},
    process::{ThreadTime, processor_time, resident_memory},
    prompts::Prompts,
    report::Report,
};

/// Nodes of the fleets, with as many engines for the node sweep.
const NODE_COUNTS: [usize; 3] = [3, 6, 9];
/// Engines while nodes are swept.
const ENGINES_OF_NODE_SWEEP: usize = 6;
/// Engines while engines are swept, with three nodes.
const ENGINE_COUNTS: [usize; 3] = [6, 18, 36];
/// Nodes while engines are swept.
const NODES_OF_ENGINE_SWEEP: usize = 3;
/// Streams of the sweep of streams, on one node.
const STREAM_COUNTS: [usize; 3] = [20, 80, 320];
/// Engines of the sweep of streams.
const ENGINES_OF_STREAM_SWEEP: usize = 10;
/// Time after which all streams of a sweep run.
const MIDWAY: Duration = Duration::from_millis(1_500);
/// Delay from the start of one stream to the next.
const START_INTERVAL: Duration = Duration::from_millis(1);
/// Streams on each node under load.
const STREAMS_PER_NODE: usize = 20;
/// Tokens of a stream under load.
const MAX_TOKENS: u32 = 100;
/// Tokens for which the processor time of traffic is given.
const TOKENS_PER_COST: f64 = 1_000.0;

/// Readings of a fleet at one time.
struct Reading {
    at: Instant,
    /// Processor time of all nodes by thread.
    spent: BTreeMap<String, ThreadTime>,
    store: StoreCounts,
}

impl Reading {
    async fn take(fleet: &Fleet, control: &Control) -> Result<Self> {
        let mut spent = BTreeMap::<String, ThreadTime>::new();
        for node in &fleet.nodes {
            for (thread, time) in processor_time(node.pid)? {
                *spent.entry(thread).or_default() += time;
            }
        }
        Ok(Self {
            at: Instant::now(),
            spent,
            store: control.store(fleet.store.control).await?,
        })
    }

    fn spent_on(&self, thread: &str) -> Duration {
        self.spent.get(thread).copied().unwrap_or_default().ran
    }
}

pub(super) async fn measure(args: &SlopesArgs, report: &mut Report) -> Result<()> {
    for nodes in NODE_COUNTS {
        let shape = shape(nodes, ENGINES_OF_NODE_SWEEP);
        let launched = LaunchedFleet::start(&args.script, &shape).await?;
        let by = ("by nodes, 6 engines", nodes as u64);
        measure_idle(args, &launched.fleet, ("nodes", by), report).await?;
        measure_traffic(&launched.fleet, by, report).await?;
    }
    let shape_of_streams = shape(1, ENGINES_OF_STREAM_SWEEP);
    let launched = LaunchedFleet::start(&args.script, &shape_of_streams).await?;
    measure_streams(&launched.fleet, report).await?;
    drop(launched);
    for engines in ENGINE_COUNTS {
        let shape = shape(NODES_OF_ENGINE_SWEEP, engines);
        let launched = LaunchedFleet::start(&args.script, &shape).await?;
        let by = ("by engines, 3 nodes", engines as u64);
        measure_idle(args, &launched.fleet, ("engines", by), report).await?;
    }
    Ok(())
}

fn shape(nodes: usize, engines: usize) -> FleetShape {
    FleetShape {
        nodes,
        engines,
        options: Vec::new(),
    }
}

/// Control cost and store calls of a node that has nothing to do.
async fn measure_idle(
    args: &SlopesArgs,
    fleet: &Fleet,
    (sweep, (case, size)): (&str, (&str, u64)),
    report: &mut Report,
) -> Result<()> {
    let control = Control::new(&fleet.admin_key);
    let before = Reading::take(fleet, &control).await?;
    tokio::time::sleep(Duration::from_secs(args.watch_s)).await;
    let after = Reading::take(fleet, &control).await?;
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let nodes = fleet.nodes.len() as f64;
    let mut add = |name: &str, value: f64, unit: &'static str| {
        report.add_sized(&format!("{name}_by_{sweep}"), case, size, value, unit);
    };
    let spent = after.spent_on("control") - before.spent_on("control");
    let percent = spent.as_secs_f64() * 100.0 / seconds / nodes;
    add("idle_control_processor", percent, "% of a core");
    let reads = (after.store.reads - before.store.reads) as f64 / seconds;
    add("idle_store_reads_per_node", reads / nodes, "1/s");
    let writes = after.store.writes + after.store.leases;
    let writes = (writes - before.store.writes - before.store.leases) as f64;
    add(
        "idle_store_writes_per_node",
        writes / seconds / nodes,
        "1/s",
    );
    let mut resident = 0.0;
    for node in &fleet.nodes {
        resident += resident_memory(&node.pid.to_string())?.get() as f64;
    }
    add(
        "resident_memory",
        resident / nodes / f64::from(1 << 20),
        "MiB",
    );
    Ok(())
}

/// Processor time of the nodes for each thousand tokens, and store calls.
async fn measure_traffic(
    fleet: &Fleet,
    (case, size): (&str, u64),
    report: &mut Report,
) -> Result<()> {
    let control = Control::new(&fleet.admin_key);
    let before = Reading::take(fleet, &control).await?;
    let streams = STREAMS_PER_NODE * fleet.nodes.len();
    run_streams(fleet, streams).await?;
    let after = Reading::take(fleet, &control).await?;
    for thread in ["traffic", "control"] {
        let measure = format!("{thread}_processor_per_1000_tokens");
        let cost = cost_of(thread, streams, &before, &after);
        report.add_sized(&measure, case, size, cost, "ms");
    }
    let calls = after.store.calls() - before.store.calls();
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let per_node = calls as f64 / seconds / fleet.nodes.len() as f64;
    report.add_sized("loaded_store_calls_per_node", case, size, per_node, "1/s");
    Ok(())
}

/// Processor time for each thousand tokens, and memory, by streams of one node.
async fn measure_streams(fleet: &Fleet, report: &mut Report) -> Result<()> {
    let control = Control::new(&fleet.admin_key);
    let node = fleet.nodes[0].pid.to_string();
    for streams in STREAM_COUNTS {
        let before = Reading::take(fleet, &control).await?;
        let midway = async {
            tokio::time::sleep(MIDWAY).await;
            resident_memory(&node)
        };
        let (run, resident) = tokio::join!(run_streams(fleet, streams), midway);
        run?;
        let after = Reading::take(fleet, &control).await?;
        let (case, size) = ("by streams of one node", streams as u64);
        let cost = cost_of("traffic", streams, &before, &after);
        let measure = "traffic_processor_per_1000_tokens_by_streams";
        report.add_sized(measure, case, size, cost, "ms");
        let kibibytes = resident?.get() as f64 / f64::from(1 << 10);
        report.add_sized("resident_memory_by_streams", case, size, kibibytes, "KiB");
    }
    Ok(())
}

fn cost_of(thread: &str, streams: usize, before: &Reading, after: &Reading) -> f64 {
    let spent = after
        .spent_on(thread)
        .saturating_sub(before.spent_on(thread));
    let tokens = streams as f64 * f64::from(MAX_TOKENS);
    spent.as_secs_f64() * 1e3 * TOKENS_PER_COST / tokens
}

/// Runs streams spread over the nodes and over the engines' pace.
async fn run_streams(fleet: &Fleet, streams: usize) -> Result<()> {
    let workspace = tier_workspace(fleet, Tier::Paying)?;
    let recorder = Arc::new(Recorder::new());
    let callers = node_callers(fleet, workspace);
    let exchanges = GenerationClient::new(callers, workspace.id.clone(), recorder);
    let mut prompts = Prompts::new(1, 64, 256, 16);
    let mut tasks = Vec::new();
    for position in 0..streams {
        let body = GenerationBody {
            model: workspace.model.clone(),
            prompt: prompts.next_prompt(),
            max_tokens: TokenCount::new(MAX_TOKENS),
            seed: None,
            adapter: None,
        };
        let exchanges = exchanges.clone();
        tasks.push(tokio::spawn(async move {
            exchanges.run(position, RequestId::generate(), &body).await
        }));
        tokio::time::sleep(START_INTERVAL).await;
    }
    for outcome in join_all(tasks).await {
        ensure!(outcome?.done.is_some(), "an answer is not whole");
    }
    Ok(())
}
