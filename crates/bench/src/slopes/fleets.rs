//! Cost of real node processes at small counts, idle and under load.

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

/// Numbers of nodes in the node sweep.
const NODE_COUNTS: [usize; 3] = [3, 6, 9];
const NODE_SWEEP_ENGINES: usize = 6;
/// Numbers of engines in the engine sweep.
const ENGINE_COUNTS: [usize; 3] = [6, 18, 36];
const ENGINE_SWEEP_NODES: usize = 3;
/// Numbers of streams in the stream sweep, on one node.
const STREAM_COUNTS: [usize; 3] = [20, 80, 320];
const STREAM_SWEEP_ENGINES: usize = 10;
/// Delay after which all streams of a sweep are running.
const MEMORY_SAMPLE_DELAY: Duration = Duration::from_millis(1_500);
/// Delay between the starts of two streams.
const START_INTERVAL: Duration = Duration::from_millis(1);
/// Streams on each node in the node sweep.
const STREAMS_PER_NODE: usize = 20;
/// Tokens of each stream.
const MAX_TOKENS: u32 = 100;
/// Tokens to which the processor time of traffic refers.
const TOKENS_PER_COST: f64 = 1_000.0;

/// Processor time and store calls of a fleet, sampled at one time.
struct Sample {
    taken_at: Instant,
    /// Processor time of all nodes, by thread.
    thread_times: BTreeMap<String, ThreadTime>,
    store: StoreCounts,
}

impl Sample {
    async fn take(fleet: &Fleet, control: &Control) -> Result<Self> {
        let mut thread_times = BTreeMap::<String, ThreadTime>::new();
        for node in &fleet.nodes {
            for (thread, time) in processor_time(node.pid)? {
                *thread_times.entry(thread).or_default() += time;
            }
        }
        Ok(Self {
            taken_at: Instant::now(),
            thread_times,
            store: control.store_counts(fleet.store.control).await?,
        })
    }

    fn thread_time(&self, thread: &str) -> Duration {
        self.thread_times
            .get(thread)
            .copied()
            .unwrap_or_default()
            .ran
    }
}

pub(super) async fn measure(args: &SlopesArgs, report: &mut Report) -> Result<()> {
    for nodes in NODE_COUNTS {
        let shape = shape(nodes, NODE_SWEEP_ENGINES);
        let launched = LaunchedFleet::start(&args.script, &shape).await?;
        let case_and_size = ("by nodes, 6 engines", nodes as u64);
        measure_idle(args, &launched.fleet, ("nodes", case_and_size), report).await?;
        measure_traffic(&launched.fleet, case_and_size, report).await?;
    }
    let stream_sweep_shape = shape(1, STREAM_SWEEP_ENGINES);
    let launched = LaunchedFleet::start(&args.script, &stream_sweep_shape).await?;
    measure_streams(&launched.fleet, report).await?;
    drop(launched);
    for engines in ENGINE_COUNTS {
        let shape = shape(ENGINE_SWEEP_NODES, engines);
        let launched = LaunchedFleet::start(&args.script, &shape).await?;
        let case_and_size = ("by engines, 3 nodes", engines as u64);
        measure_idle(args, &launched.fleet, ("engines", case_and_size), report).await?;
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

/// Measures control cost, store calls and memory of an idle node.
async fn measure_idle(
    args: &SlopesArgs,
    fleet: &Fleet,
    (sweep, (case, size)): (&str, (&str, u64)),
    report: &mut Report,
) -> Result<()> {
    let control = Control::new(&fleet.admin_key);
    let before = Sample::take(fleet, &control).await?;
    tokio::time::sleep(Duration::from_secs(args.watch_s)).await;
    let after = Sample::take(fleet, &control).await?;
    let seconds = after.taken_at.duration_since(before.taken_at).as_secs_f64();
    let nodes = fleet.nodes.len() as f64;
    let mut add = |name: &str, value: f64, unit: &'static str| {
        report.add_sized(&format!("{name}_by_{sweep}"), case, size, value, unit);
    };
    let thread_time = after.thread_time("control") - before.thread_time("control");
    let percent = thread_time.as_secs_f64() * 100.0 / seconds / nodes;
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

/// Measures processor time per 1000 tokens, and store calls under load.
async fn measure_traffic(
    fleet: &Fleet,
    (case, size): (&str, u64),
    report: &mut Report,
) -> Result<()> {
    let control = Control::new(&fleet.admin_key);
    let before = Sample::take(fleet, &control).await?;
    let streams = STREAMS_PER_NODE * fleet.nodes.len();
    run_streams(fleet, streams).await?;
    let after = Sample::take(fleet, &control).await?;
    for thread in ["traffic", "control"] {
        let measure = format!("{thread}_processor_per_1000_tokens");
        let cost = time_per_1000_tokens(thread, streams, &before, &after);
        report.add_sized(&measure, case, size, cost, "ms");
    }
    let calls = after.store.calls() - before.store.calls();
    let seconds = after.taken_at.duration_since(before.taken_at).as_secs_f64();
    let per_node = calls as f64 / seconds / fleet.nodes.len() as f64;
    report.add_sized("loaded_store_calls_per_node", case, size, per_node, "1/s");
    Ok(())
}

/// Measures processor time per 1000 tokens and memory by the streams of one node.
async fn measure_streams(fleet: &Fleet, report: &mut Report) -> Result<()> {
    let control = Control::new(&fleet.admin_key);
    let node = fleet.nodes[0].pid.to_string();
    for streams in STREAM_COUNTS {
        let before = Sample::take(fleet, &control).await?;
        let memory_sample = async {
            tokio::time::sleep(MEMORY_SAMPLE_DELAY).await;
            resident_memory(&node)
        };
        let (run, resident) = tokio::join!(run_streams(fleet, streams), memory_sample);
        run?;
        let after = Sample::take(fleet, &control).await?;
        let (case, size) = ("by streams of one node", streams as u64);
        let cost = time_per_1000_tokens("traffic", streams, &before, &after);
        let measure = "traffic_processor_per_1000_tokens_by_streams";
        report.add_sized(measure, case, size, cost, "ms");
        let kibibytes = resident?.get() as f64 / f64::from(1 << 10);
        report.add_sized("resident_memory_by_streams", case, size, kibibytes, "KiB");
    }
    Ok(())
}

fn time_per_1000_tokens(thread: &str, streams: usize, before: &Sample, after: &Sample) -> f64 {
    let thread_time = after
        .thread_time(thread)
        .saturating_sub(before.thread_time(thread));
    let tokens = streams as f64 * f64::from(MAX_TOKENS);
    thread_time.as_secs_f64() * 1e3 * TOKENS_PER_COST / tokens
}

/// Runs streams to their end, spread over the nodes, with staggered starts.
async fn run_streams(fleet: &Fleet, streams: usize) -> Result<()> {
    let workspace = tier_workspace(fleet, Tier::Paying)?;
    let recorder = Arc::new(Recorder::new());
    let callers = node_callers(fleet, workspace);
    let generation_client = GenerationClient::new(callers, workspace.id.clone(), recorder);
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
        let generation_client = generation_client.clone();
        tasks.push(tokio::spawn(async move {
            generation_client
                .run(position, RequestId::generate(), &body)
                .await
        }));
        tokio::time::sleep(START_INTERVAL).await;
    }
    for outcome in join_all(tasks).await {
        ensure!(
            outcome?.done.is_some(),
            "response ended before it was complete"
        );
    }
    Ok(())
}
