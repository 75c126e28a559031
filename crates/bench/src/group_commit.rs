//! Prototype of claims in hash slots with group commit, measured against the store.
//!
//! One committer per slot stands in for the holder of the slot's lease. It collects
//! claims and records for a short window and writes the slot's value once by
//! compare-and-swap. The loss of a committer is not handled: the prototype only
//! measures the cost of the mechanism, compared with one key per claim.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    time::{Duration, Instant},
};

use eyre::{Result, ensure};
use futures::future::join_all;
use parsleylatch_store::{Condition, StoreClient};
use parsleylatch_types::{RequestId, RequestsPerSecond};
use tokio::sync::{mpsc, oneshot};

use crate::{latencies::Latencies, report::Report, slots};

/// Number of slots, each with one committer.
const SLOT_COUNT: u64 = 16;
/// Time for which a committer collects entries before it writes.
const COMMIT_WINDOW: Duration = Duration::from_millis(40);
/// Capacity of a committer's queue, and limit on the entries received at once.
const MAX_BATCH_ENTRIES: usize = 4_096;
/// Entries retained in a slot's value, at about 100 bytes each.
const MAX_SLOT_ENTRIES: usize = 4_096;
/// Simulated duration of the service call.
const SERVICE_DURATION: Duration = Duration::from_millis(2);
const RATE_DURATION: Duration = Duration::from_secs(5);
/// Calls per second, offered one rate after the other.
const RATES: [u64; 3] = [250, 1_000, 4_500];
/// Calls started together, as timers are too coarse for single calls at the highest rate.
const BURST_CALLS: u64 = 25;

/// Claim or record that waits to be written.
struct Entry {
    text: String,
    written: oneshot::Sender<()>,
}

/// Measures latency and store writes at each rate.
///
/// # Errors
/// Returns an error if a slot can't be written.
pub(crate) async fn measure(store: SocketAddr, report: &mut Report) -> Result<()> {
    for rate in RATES.map(RequestsPerSecond::new) {
        let run = RequestId::generate();
        let (senders, committers): (Vec<_>, Vec<_>) = (0..SLOT_COUNT)
            .map(|slot| start_committer(store, format!("trial/{run}/{slot}")))
            .unzip();
        let latency = offer_load(&senders, rate).await?;
        drop(senders);
        let mut writes = 0;
        for committer in committers {
            writes += committer.await??;
        }
        let case = format!("slots, offered {rate}");
        report.add_latencies("slot_call", &case, &latency);
        let per_second = writes as f64 / RATE_DURATION.as_secs_f64();
        report.add("slot_writes_per_second", &case, per_second, "writes/s");
    }
    Ok(())
}

type Committer = tokio::task::JoinHandle<Result<u64>>;

fn start_committer(store: SocketAddr, key: String) -> (mpsc::Sender<Entry>, Committer) {
    let (sender, entries) = mpsc::channel(MAX_BATCH_ENTRIES);
    (sender, tokio::spawn(run_committer(store, key, entries)))
}

/// Writes the slot at most once per window and returns the number of writes.
async fn run_committer(
    store: SocketAddr,
    key: String,
    mut entries: mpsc::Receiver<Entry>,
) -> Result<u64> {
    let client = StoreClient::new(store);
    let mut retained = VecDeque::new();
    let mut condition = Condition::Absent;
    let mut writes = 0;
    let mut batch = Vec::new();
    while entries.recv_many(&mut batch, MAX_BATCH_ENTRIES).await > 0 {
        tokio::time::sleep(COMMIT_WINDOW).await;
        while let Ok(entry) = entries.try_recv() {
            batch.push(entry);
        }
        retained.extend(batch.iter().map(|entry| entry.text.clone()));
        while retained.len() > MAX_SLOT_ENTRIES {
            retained.pop_front();
        }
        let value = retained.make_contiguous().join("\n");
        let reply = client.write(&key, value, condition, None).await?.reply;
        ensure!(reply.written, "slot {key} was modified by another writer");
        if let Some(entry) = reply.entry {
            condition = Condition::At(entry.revision);
        }
        writes += 1;
        for entry in batch.drain(..) {
            let _ = entry.written.send(());
        }
    }
    Ok(writes)
}

async fn offer_load(senders: &[mpsc::Sender<Entry>], rate: RequestsPerSecond) -> Result<Latencies> {
    let bursts = rate.get() * RATE_DURATION.as_secs() / BURST_CALLS;
    let interval = Duration::from_secs(1) * BURST_CALLS as u32 / rate.get() as u32;
    let started_at = Instant::now();
    let mut calls = Vec::new();
    for burst in 0..bursts as u32 {
        tokio::time::sleep_until((started_at + interval * burst).into()).await;
        for _ in 0..BURST_CALLS {
            let id = RequestId::generate();
            let slot = slots::place(id.stable_hash(), 1, SLOT_COUNT).table;
            calls.push(tokio::spawn(run_call(id, senders[slot as usize].clone())));
        }
    }
    let mut latency = Latencies::new();
    for result in join_all(calls).await {
        latency.record(result??);
    }
    Ok(latency)
}

/// Claims, runs and records one call, and returns its latency.
async fn run_call(id: RequestId, slot: mpsc::Sender<Entry>) -> Result<Duration> {
    let started_at = Instant::now();
    append(
        &slot,
        format!("{id} pending 0123456789abcdef0123456789abcdef node-1"),
    )
    .await?;
    tokio::time::sleep(SERVICE_DURATION).await;
    append(&slot, format!("{id} answered 200 {{\"truck\":7}}")).await?;
    Ok(started_at.elapsed())
}

async fn append(slot: &mpsc::Sender<Entry>, text: String) -> Result<()> {
    let (written, written_receiver) = oneshot::channel();
    slot.send(Entry { text, written }).await?;
    written_receiver.await?;
    Ok(())
}
