//! Latency that a claim adds to service calls, and call rates that the store sustains.

use std::{
    path::PathBuf,
    time::{Duration, Instant},
};

use argh::FromArgs;
use eyre::{Result, ensure};
use futures::future::join_all;
use parsleylatch_http::Client;
use parsleylatch_types::{Millis, RequestId, RequestsPerSecond};
use serde::Deserialize;
use serde_json::json;

use crate::{
    caller::Caller, fleet::Fleet, group_commit, latencies::Latencies, report::Report, slots,
};

/// Delay after each pair of calls, which keeps the call rate below the store's limit.
const PAIR_DELAY: Duration = Duration::from_millis(5);
const RATE_DURATION: Duration = Duration::from_secs(6);
/// Pause in which the store's token buckets refill between two rates.
const REFILL_DELAY: Duration = Duration::from_secs(3);
/// Calls per second, offered one rate after the other.
const RATES: [u64; 6] = [100, 200, 240, 280, 350, 500];
const COUNTERS_TIMEOUT_MS: Millis = Millis::new(5_000);
/// Operation that may be retried.
const IDEMPOTENT_OPERATION: &str = "dispatch/status";
/// Operation that runs at most once and therefore needs a claim.
const ONCE_ONLY_OPERATION: &str = "dispatch/book";

/// measures once-only calls: added latency, store calls, sustained rates and slot skew
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "calls")]
pub(crate) struct CallsArgs {
    /// fleet file
    #[argh(option)]
    fleet: PathBuf,
    /// calls of each kind in the latency measurement
    #[argh(option, default = "1500")]
    calls: u32,
}

#[derive(Clone, Copy, Debug, Deserialize)]
struct ReadWriteCounts {
    reads: u64,
    writes: u64,
}

/// Runs the measurements.
///
/// # Errors
/// Returns the error of the first measurement that fails.
pub(crate) async fn run(args: CallsArgs, report: &mut Report) -> Result<()> {
    slots::measure_skew(report);
    let fleet = Fleet::read(&args.fleet)?;
    measure_latency(&fleet, args.calls, report).await?;
    for rate in RATES.map(RequestsPerSecond::new) {
        tokio::time::sleep(REFILL_DELAY).await;
        measure_rate(&fleet, rate, report).await?;
    }
    tokio::time::sleep(REFILL_DELAY).await;
    group_commit::measure(fleet.store.address, report).await?;
    Ok(())
}

fn callers(fleet: &Fleet) -> Vec<Caller> {
    let key = &fleet.workspaces[0].key;
    let nodes = fleet.nodes.iter();
    nodes.map(|node| Caller::new(node.caller, key)).collect()
}

async fn store_counts(fleet: &Fleet) -> Result<ReadWriteCounts> {
    let deadline = COUNTERS_TIMEOUT_MS.duration();
    let client = Client::new();
    let counts = client.get_json(fleet.store.control, "/counters", deadline);
    Ok(counts.await?)
}

/// Measures both kinds of calls alternately, so that other load on the machine
/// affects both equally.
async fn measure_latency(fleet: &Fleet, calls: u32, report: &mut Report) -> Result<()> {
    let callers = callers(fleet);
    let mut latencies = [Latencies::new(), Latencies::new()];
    let before = store_counts(fleet).await?;
    for number in 0..calls {
        let caller = &callers[number as usize % callers.len()];
        for (latency, path) in latencies
            .iter_mut()
            .zip([IDEMPOTENT_OPERATION, ONCE_ONLY_OPERATION])
        {
            let started_at = Instant::now();
            let body = json!({ "truck": number });
            let id = RequestId::generate();
            let reply = caller.call_service(id, path, &body).await?;
            ensure!(reply.status.is_success(), "{path}: {}", reply.status);
            latency.record(started_at.elapsed());
        }
        tokio::time::sleep(PAIR_DELAY).await;
    }
    let after = store_counts(fleet).await?;
    let [idempotent, once_only] = latencies;
    report.add_latencies("call", "idempotent", &idempotent);
    report.add_latencies("call", "once-only", &once_only);
    for percent in [50.0, 95.0] {
        let added = once_only.percentile_ms(percent) - idempotent.percentile_ms(percent);
        report.add("call_added_by_claim", &format!("p{percent}"), added, "ms");
    }
    let per_call = |after: u64, before: u64| (after - before) as f64 / f64::from(calls);
    let writes = per_call(after.writes, before.writes);
    report.add("store_calls_per_once_only_call", "writes", writes, "");
    let reads = per_call(after.reads, before.reads);
    report.add(
        "store_calls_per_once_only_call",
        "reads, with watches",
        reads,
        "",
    );
    Ok(())
}

/// Offers once-only calls at a fixed rate, whether or not earlier ones have ended.
async fn measure_rate(fleet: &Fleet, rate: RequestsPerSecond, report: &mut Report) -> Result<()> {
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
            let id = RequestId::generate();
            let reply = caller.call_service(id, ONCE_ONLY_OPERATION, &body).await;
            let succeeded = reply.is_ok_and(|reply| reply.status.is_success());
            (succeeded, called_at.elapsed())
        }));
    }
    let mut latency = Latencies::new();
    for result in join_all(running).await {
        let (succeeded, elapsed) = result?;
        if succeeded {
            latency.record(elapsed);
        }
    }
    let case = format!("offered {rate}");
    report.add_latencies("once_only", &case, &latency);
    let share = latency.count() as f64 / calls as f64;
    report.add("once_only_answered", &case, share * 100.0, "%");
    Ok(())
}
