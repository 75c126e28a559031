//! Latency that a node adds to an engine's stream.
//!
//! Rounds through a node alternate with rounds directly to the engines, with the
//! same number of streams and the same engine client, so that other load on the
//! machine affects both equally.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::PathBuf,
    sync::Arc,
    time::{Duration, Instant},
};

use argh::FromArgs;
use eyre::{Result, ensure};
use futures::future::join_all;
use parsleylatch_endpoint::EngineClient;
use parsleylatch_settings::Tier;
use parsleylatch_types::{AttemptNumber, EndpointVersion, Priority, RequestId, TokenCount};
use parsleylatch_wire::{
    caller::GenerationBody,
    engine::{StreamEvent, StreamRequest},
};
use tokio::time::sleep;

use crate::{
    exchange::{GenerationClient, Timing},
    fleet::{Fleet, FleetEngine},
    history::Recorder,
    latencies::Latencies,
    load::{node_callers, tier_workspace},
    machine_steps,
    process::{ThreadTime, processor_time},
    prompts::Prompts,
    report::Report,
};

/// Fixed trace context, as direct streams are not traced.
const TRACEPARENT: &str = "00-00000000000000000000000000000001-0000000000000001-00";
const PROMPT_BYTES: usize = 256;
/// Delay between the starts of two streams, which spreads their tokens over the
/// engines' token interval.
const START_INTERVAL: Duration = Duration::from_micros(1_490);
/// Tokens to which the processor time refers.
const TOKENS_PER_COST: f64 = 1_000.0;

/// measures the latency that a node adds, its processor time, and a chart step
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "latency")]
pub(crate) struct LatencyArgs {
    /// fleet file, of which the first node and all engines are used
    #[argh(option)]
    pub(crate) fleet: PathBuf,
    /// concurrent streams
    #[argh(option, default = "200")]
    pub(crate) streams: usize,
    /// tokens per stream
    #[argh(option, default = "100")]
    pub(crate) max_tokens: u32,
    /// rounds of each kind
    #[argh(option, default = "3")]
    pub(crate) rounds: usize,
}

#[derive(Default)]
struct PathLatencies {
    first_token: Latencies,
    between_tokens: Latencies,
    tokens: u64,
}

impl PathLatencies {
    fn add(&mut self, timings: &[Timing]) {
        for timing in timings {
            if let Some(first) = timing.first_token() {
                self.first_token.record(first);
            }
            timing
                .gaps()
                .for_each(|gap| self.between_tokens.record(gap));
            self.tokens += timing.arrivals.len() as u64;
        }
    }

    fn report(&self, report: &mut Report, case: &str) {
        report.add_latencies("first_token", case, &self.first_token);
        report.add_latencies("between_tokens", case, &self.between_tokens);
    }
}

/// Runs the rounds and reports the latencies.
///
/// # Errors
/// Returns an error if a stream fails or a process can't be inspected.
pub(crate) async fn run(args: LatencyArgs, report: &mut Report) -> Result<()> {
    machine_steps::measure_steps(report);
    let fleet = Fleet::read(&args.fleet)?;
    let mut prompts = Prompts::new(1, 64, PROMPT_BYTES, 16);
    let (mut direct, mut through_node) = (PathLatencies::default(), PathLatencies::default());
    let pid = fleet.nodes[0].pid;
    let mut thread_times = BTreeMap::<String, ThreadTime>::new();
    for _ in 0..args.rounds {
        let bodies = generation_bodies(&fleet, &args, &mut prompts)?;
        direct.add(&run_direct(&fleet.engines, &bodies).await?);
        let before = processor_time(pid)?;
        through_node.add(&run_through_node(&fleet, &bodies).await?);
        for (thread, time) in processor_time(pid)? {
            let earlier = before.get(&thread).copied().unwrap_or_default();
            *thread_times.entry(thread).or_default() += time.since(earlier);
        }
    }
    direct.report(report, "direct");
    through_node.report(report, "through a node");
    report_added(report, &direct, &through_node);
    for (thread, time) in thread_times {
        let per_tokens = |time: Duration| {
            time.as_secs_f64() * 1e3 * TOKENS_PER_COST / through_node.tokens.max(1) as f64
        };
        let (ran, waited) = (per_tokens(time.ran), per_tokens(time.waited));
        report.add("processor_time_per_1000_tokens", &thread, ran, "ms");
        // Long waits mean that the machine was too busy for the latencies to be valid.
        report.add("processor_wait_per_1000_tokens", &thread, waited, "ms");
    }
    Ok(())
}

fn report_added(report: &mut Report, direct: &PathLatencies, through_node: &PathLatencies) {
    for percent in [50.0, 95.0] {
        let added = |node: &Latencies, direct: &Latencies| {
            node.percentile_ms(percent) - direct.percentile_ms(percent)
        };
        let case = format!("p{percent}");
        let first = added(&through_node.first_token, &direct.first_token);
        report.add("added_first_token", &case, first, "ms");
        let between = added(&through_node.between_tokens, &direct.between_tokens);
        report.add("added_between_tokens", &case, between, "ms");
    }
}

fn generation_bodies(
    fleet: &Fleet,
    args: &LatencyArgs,
    prompts: &mut Prompts,
) -> Result<Vec<GenerationBody>> {
    let workspace = tier_workspace(fleet, Tier::Paying)?;
    let bodies = (0..args.streams).map(|_| GenerationBody {
        model: workspace.model.clone(),
        prompt: prompts.next_prompt(),
        max_tokens: TokenCount::new(args.max_tokens),
        seed: None,
        adapter: None,
    });
    Ok(bodies.collect())
}

fn start_delay(position: usize) -> Duration {
    START_INTERVAL * position as u32
}

async fn run_through_node(fleet: &Fleet, bodies: &[GenerationBody]) -> Result<Vec<Timing>> {
    let workspace = tier_workspace(fleet, Tier::Paying)?;
    let callers = node_callers(fleet, workspace);
    let recorder = Arc::new(Recorder::new());
    let generation_client = GenerationClient::new(callers, workspace.id.clone(), recorder);
    let tasks = bodies.iter().cloned().enumerate().map(|(position, body)| {
        let generation_client = generation_client.clone();
        tokio::spawn(async move {
            sleep(start_delay(position)).await;
            generation_client.run(0, RequestId::generate(), &body).await
        })
    });
    let mut timings = Vec::new();
    for outcome in join_all(tasks).await {
        let outcome = outcome?;
        ensure!(
            outcome.done.is_some(),
            "response ended before it was complete"
        );
        timings.push(outcome.timing);
    }
    Ok(timings)
}

async fn run_direct(engines: &[FleetEngine], bodies: &[GenerationBody]) -> Result<Vec<Timing>> {
    let client = EngineClient::new();
    let tasks = bodies.iter().enumerate().map(|(position, body)| {
        let engine = &engines[position % engines.len()];
        let (client, address) = (client.clone(), engine.address);
        let stream_request = direct_request(body, &engine.endpoint_version);
        tokio::spawn(async move {
            sleep(start_delay(position)).await;
            read_direct(&client, address, &stream_request).await
        })
    });
    let mut timings = Vec::new();
    for timing in join_all(tasks).await {
        timings.push(timing??);
    }
    Ok(timings)
}

/// Builds the request that a caller sends directly to an engine.
pub(crate) fn direct_request(body: &GenerationBody, version: &EndpointVersion) -> StreamRequest {
    StreamRequest {
        request_id: RequestId::generate(),
        attempt: AttemptNumber::new(1),
        endpoint_version: version.clone(),
        model: body.model.clone(),
        adapter: body.adapter.clone(),
        prompt: body.prompt.clone(),
        prefix: Vec::new(),
        max_tokens: body.max_tokens,
        seed: body.seed,
        priority: Priority::new(10),
    }
}

async fn read_direct(
    client: &EngineClient,
    address: SocketAddr,
    stream_request: &StreamRequest,
) -> Result<Timing> {
    let mut timing = Timing {
        sent_at: Some(Instant::now()),
        arrivals: Vec::new(),
    };
    let mut stream = client.open(address, stream_request, TRACEPARENT).await?;
    while let Some(event) = stream.next().await {
        match event? {
            StreamEvent::Token { .. } => timing.arrivals.push(Instant::now()),
            StreamEvent::Finished { .. } => break,
            StreamEvent::Opened { .. } => {}
        }
    }
    ensure!(
        timing.arrivals.len() == stream_request.max_tokens.get() as usize,
        "direct response ended before it was complete"
    );
    Ok(timing)
}
