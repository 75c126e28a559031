//! Measurements of the journal on a running fleet: resume latency after node
//! kills, bytes sent between nodes, and added latency.

use std::{collections::BTreeMap, net::SocketAddr, process::Command, time::Duration};

use bytes::Bytes;
use eyre::{Result, ensure, eyre};
use futures::future::try_join_all;
use http::Request;
use parsleylatch_http::Client;
use parsleylatch_types::{RequestId, TokenCount};
use parsleylatch_wire::caller::GenerationBody;

use crate::{
    caller::{Caller, GenerationResponse, ReceivedToken, StreamEnding, check_response},
    fleet::{Fleet, FleetNode},
    resuming::ResumingCaller,
};

/// Timeout for reading a node's counters.
const COUNTERS_TIMEOUT: Duration = Duration::from_secs(5);

/// Percentiles of durations.
#[derive(Clone, Copy, Debug)]
pub struct Summary {
    /// Number of samples.
    pub count: usize,
    /// Median.
    pub p50: Duration,
    /// 95th percentile.
    pub p95: Duration,
    /// Maximum.
    pub max: Duration,
}

impl Summary {
    /// Summarizes samples; `None` if there are none.
    pub fn of(mut samples: Vec<Duration>) -> Option<Self> {
        samples.sort();
        let percentile =
            |percent: usize| samples.get((samples.len() * percent).div_ceil(100).max(1) - 1);
        Some(Self {
            count: samples.len(),
            p50: *percentile(50)?,
            p95: *percentile(95)?,
            max: *samples.last()?,
        })
    }
}

fn request_body(fleet: &Fleet, prompt: String, max_tokens: u32) -> GenerationBody {
    GenerationBody {
        model: fleet.workspaces[0].model.clone(),
        prompt,
        max_tokens: TokenCount::new(max_tokens),
        seed: None,
        adapter: None,
    }
}

fn kill_node(node: &FleetNode) -> Result<()> {
    let status = Command::new("kill")
        .args(["-KILL", &node.pid.to_string()])
        .status()?;
    ensure!(status.success(), "kill failed for node {}", node.id);
    Ok(())
}

/// Kills the owner of a generation midway in each trial; returns the time from each
/// lost connection to the next token.
///
/// # Errors
/// An incomplete generation.
pub async fn resume_latencies(fleet: &Fleet, trials: usize) -> Result<Vec<Duration>> {
    let mut latencies = Vec::new();
    for trial in 0..trials {
        let running_nodes = &fleet.nodes[trial..];
        let body = request_body(fleet, format!("trial {trial}"), 60);
        let kill_at = 10 + trial * 2 % 40;
        let nodes = running_nodes.iter().map(|node| node.caller).collect();
        let caller = Caller::new(running_nodes[0].caller, &fleet.workspaces[0].key);
        let mut killed = Ok(());
        let resuming = ResumingCaller::new(caller, nodes).on_token(|_, count| {
            if count == kill_at {
                killed = kill_node(&running_nodes[0]);
            }
        });
        let record = resuming.run(RequestId::generate(), &body).await?;
        killed?;
        let done = record
            .done
            .as_ref()
            .ok_or_else(|| eyre!("generation did not complete"))?;
        check_response(&body, &record.token_data(), done)?;
        ensure!(
            record.rebuilds == 0,
            "generation was rebuilt from the caller's tokens, not resumed from the journal"
        );
        latencies.extend(record.resume_latencies());
    }
    Ok(latencies)
}

/// Cost of the journal while generations run.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Intervals between tokens, measured by callers.
    pub gaps: Summary,
    /// Times to the first token.
    pub first_tokens: Summary,
    /// Tokens released to callers.
    pub released: u64,
    /// Journal bytes sent between nodes.
    pub bytes: u64,
    /// Journal frames sent between nodes.
    pub frames: u64,
}

/// Runs generations at all nodes concurrently and measures the cost of their journals.
///
/// # Errors
/// An incomplete generation, or a node that does not respond.
pub async fn measure_cost(fleet: &Fleet, streams: usize, max_tokens: u32) -> Result<Cost> {
    let before = counters(fleet).await?;
    let runs = (0..streams).map(|number| run_one(fleet, number, max_tokens));
    let runs = try_join_all(runs).await?;
    let after = counters(fleet).await?;
    let added = |name: &str| after.get(name).unwrap_or(&0) - before.get(name).unwrap_or(&0);
    let gaps = runs.iter().flat_map(|(_, tokens)| gaps_of(tokens));
    let no_samples = || eyre!("no samples");
    Ok(Cost {
        gaps: Summary::of(gaps.collect()).ok_or_else(no_samples)?,
        first_tokens: Summary::of(runs.iter().map(|(first, _)| *first).collect())
            .ok_or_else(no_samples)?,
        released: added("tokens_released"),
        bytes: added("journal_bytes_sent"),
        frames: added("journal_frames_sent"),
    })
}

fn gaps_of(tokens: &[ReceivedToken]) -> impl Iterator<Item = Duration> {
    tokens.windows(2).map(|pair| pair[1].at - pair[0].at)
}

async fn run_one(
    fleet: &Fleet,
    number: usize,
    max_tokens: u32,
) -> Result<(Duration, Vec<ReceivedToken>)> {
    let node = &fleet.nodes[number % fleet.nodes.len()];
    let caller = Caller::new(node.caller, &fleet.workspaces[0].key);
    let body = request_body(fleet, format!("stream {number}"), max_tokens);
    let started = std::time::Instant::now();
    let GenerationResponse::Events(events) = caller.generate(RequestId::generate(), &body).await?
    else {
        return Err(eyre!("request refused by {}", node.id));
    };
    let collected = events.collect(|_| {}).await;
    ensure!(
        matches!(collected.ending, StreamEnding::Done(_)),
        "stream ended with {:?}",
        collected.ending
    );
    let first = collected
        .tokens
        .first()
        .ok_or_else(|| eyre!("no token received"))?;
    Ok((first.at - started, collected.tokens))
}

/// Sums each counter over all nodes.
async fn counters(fleet: &Fleet) -> Result<BTreeMap<String, u64>> {
    let client = Client::new();
    let mut sums = BTreeMap::new();
    for node in &fleet.nodes {
        for (name, value) in counters_of(&client, node.admin, &fleet.admin_key).await? {
            *sums.entry(name).or_default() += value;
        }
    }
    Ok(sums)
}

async fn counters_of(
    client: &Client,
    admin: SocketAddr,
    key: &str,
) -> Result<BTreeMap<String, u64>> {
    let request =
        Request::get("/admin/v1/counters").header("authorization", format!("Bearer {key}"));
    let reply = client
        .call(admin, request, Bytes::new(), COUNTERS_TIMEOUT)
        .await?;
    Ok(reply.json(admin)?)
}
