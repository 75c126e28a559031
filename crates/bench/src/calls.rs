//! Measures calls of services: what a claim adds, and what the store carries.

use std::time::{Duration, Instant};

use eyre::{Result, ensure};
use futures::future::join_all;
use hdrhistogram::Histogram;
use parsleylatch_http::Client;
use parsleylatch_types::{Millis, RequestId, RequestsPerSecond};
use serde::Deserialize;
use serde_json::json;

use crate::{caller::Caller, fleet::Fleet};

/// Calls of each kind in the latency run.
const LATENCY_CALLS: u32 = 1_500;
/// Time for which each rate is offered.
const RATE_DURATION: Duration = Duration::from_secs(6);
/// Time for the store's buckets to fill again between two rates.
const PAUSE: Duration = Duration::from_secs(3);
/// Rates that are offered, one after the other.
const RATES: [RequestsPerSecond; 6] = [
    RequestsPerSecond::new(100),
    RequestsPerSecond::new(200),
    RequestsPerSecond::new(240),
    RequestsPerSecond::new(280),
    RequestsPerSecond::new(350),
    RequestsPerSecond::new(500),
];
/// Longest wait for the store's counters.
const COUNTERS_TIMEOUT_MS: Millis = Millis::new(5_000);
/// Operation that is retried at will.
const IDEMPOTENT: &str = "dispatch/status";
/// Operation that is claimed.
const ONCE_ONLY: &str = "dispatch/book";

#[derive(Clone, Copy, Debug, Deserialize)]
struct StoreCounts {
    reads: u64,
    writes: u64,
}

/// Runs both measurements and prints their figures.
///
/// # Errors
/// The step that failed.
pub async fn measure_calls(fleet: &Fleet) -> Result<()> {
    measure_latency(fleet).await?;
    for rate in RATES {
        tokio::time::sleep(PAUSE).await;
        measure_rate(fleet, rate).await?;
    }
    Ok(())
}

fn callers(fleet: &Fleet) -> Vec<Caller> {
    let key = &fleet.workspaces[0].key;
    let nodes = fleet.nodes.iter();
    nodes.map(|node| Caller::new(node.caller, key)).collect()
}

async fn store_counts(fleet: &Fleet) -> Result<StoreCounts> {
    let deadline = COUNTERS_TIMEOUT_MS.duration();
    let client = Client::new();
    Ok(client
        .get_json(fleet.store.control, "/counters", deadline)
        .await?)
}

/// Calls in turn, so that both kinds see the same machine.
async fn measure_latency(fleet: &Fleet) -> Result<()> {
    let callers = callers(fleet);
    let mut latencies = [Histogram::<u64>::new(3)?, Histogram::new(3)?];
    let before = store_counts(fleet).await?;
    for number in 0..LATENCY_CALLS {
        let caller = &callers[number as usize % callers.len()];
        for (latency, path) in latencies.iter_mut().zip([IDEMPOTENT, ONCE_ONLY]) {
            let started_at = Instant::now();
            let body = json!({ "truck": number });
            let reply = caller
                .call_service(RequestId::generate(), path, &body)
                .await?;
            ensure!(reply.status.is_success(), "{path}: {}", reply.status);
            latency.record(started_at.elapsed().as_micros() as u64)?;
        }
        // Two writes a call at a few hundred writes a second.
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let after = store_counts(fleet).await?;
    for (latency, path) in latencies.iter().zip([IDEMPOTENT, ONCE_ONLY]) {
        println!("{path:<16} {}", describe(latency));
    }
    let per_call = |after: u64, before: u64| (after - before) as f64 / f64::from(LATENCY_CALLS);
    println!(
        "store calls per once-only call: {:.3} writes, {:.3} reads (with the nodes' watches)",
        per_call(after.writes, before.writes),
        per_call(after.reads, before.reads),
    );
    Ok(())
}

fn describe(latency: &Histogram<u64>) -> String {
    let at = |quantile: f64| latency.value_at_quantile(quantile) as f64 / 1_000.0;
    let max = latency.max() as f64 / 1_000.0;
    format!(
        "p50 {:.2} ms, p95 {:.2} ms, max {max:.2} ms",
        at(0.5),
        at(0.95)
    )
}

/// Offers once-only calls at a rate, whether or not earlier ones have ended.
async fn measure_rate(fleet: &Fleet, rate: RequestsPerSecond) -> Result<()> {
    let callers = callers(fleet);
    let interval = Duration::from_secs(1) / rate.get() as u32;
    let calls = rate.get() * RATE_DURATION.as_secs();
    let started_at = Instant::now();
    let mut running = Vec::new();
    for number in 0..calls as u32 {
        tokio::time::sleep_until((started_at + interval * number).into()).await;
        let caller = callers[number as usize % callers.len()].clone();
        running.push(tokio::spawn(async move {
            let called_at = Instant::now();
            let body = json!({ "truck": number });
            let reply = caller
                .call_service(RequestId::generate(), ONCE_ONLY, &body)
                .await;
            (
                reply.map(|reply| reply.status.as_u16()),
                called_at.elapsed(),
            )
        }));
    }
    let mut latency = Histogram::<u64>::new(3)?;
    let mut refused = 0;
    let offered = running.len();
    for ended in join_all(running).await {
        let (status, elapsed) = ended?;
        match status {
            Ok(200) => latency.record(elapsed.as_micros() as u64)?,
            _ => refused += 1,
        }
    }
    println!(
        "offered {rate}: {} answered, {refused} of {offered} refused, {}",
        latency.len(),
        describe(&latency)
    );
    Ok(())
}
