//! Tasks of the control thread that wait for the platform and the endpoints.

use std::sync::Arc;

use futures::future::join_all;
use parsleylatch_endpoint::EngineClient;
use parsleylatch_store::{StoreClient, StoreError, VmListClient};
use parsleylatch_types::{Millis, Revision};
use parsleylatch_wire::platform::ListReply;
use tokio::{
    sync::watch,
    time::{Instant, sleep, sleep_until},
};

use super::{ControlInput, move_records::MOVE_PREFIX, state::WatchedEndpoints};
use crate::{
    shared::Shared,
    telemetry::{Counter, StatsdReporter},
};

/// Prefix of the keys of accepted templates.
const TEMPLATE_PREFIX: &str = "templates/";
/// Longest wait of one watch call.
const WATCH_WAIT_MS: Millis = Millis::new(30_000);
/// Delay after a failed call to the store.
const STORE_RETRY_DELAY_MS: Millis = Millis::new(500);
/// Time between two reads of the VM list.
const VM_LIST_INTERVAL_MS: Millis = Millis::new(500);
/// Time between two load reports of an engine.
const LOAD_INTERVAL_MS: Millis = Millis::new(500);
/// Time between two reports of the counters.
const COUNTERS_INTERVAL_MS: Millis = Millis::new(1_000);

/// Lists the templates, then waits for changes.
pub(crate) async fn watch_templates(shared: Arc<Shared>) {
    watch_prefix(shared, TEMPLATE_PREFIX, ControlInput::Templates).await;
}

/// Lists the moves, then waits for changes.
pub(crate) async fn watch_move_records(shared: Arc<Shared>) {
    watch_prefix(shared, MOVE_PREFIX, ControlInput::MoveRecords).await;
}

async fn watch_prefix(
    shared: Arc<Shared>,
    prefix: &'static str,
    input: fn(ListReply) -> ControlInput,
) {
    let store = StoreClient::new(shared.settings.store_address);
    let mut after = Revision::ZERO;
    loop {
        shared.counters.increment(Counter::StoreCalls);
        let reply = match after {
            Revision::ZERO => store.list(prefix).await,
            after => store.watch(prefix, after, WATCH_WAIT_MS).await,
        };
        match reply {
            Ok(reply) => {
                after = reply.revision.max(Revision::new(1));
                if shared.control.send(input(reply)).await.is_err() {
                    return;
                }
            }
            Err(error) => note_failure(&shared, &error).await,
        }
    }
}

async fn note_failure(shared: &Shared, error: &StoreError) {
    shared.counters.increment(Counter::StoreCallsFailed);
    log::debug!("{error}");
    sleep(STORE_RETRY_DELAY_MS.duration()).await;
}

/// Reads the list of VMs again and again.
pub(crate) async fn watch_vms(shared: Arc<Shared>) {
    let client = VmListClient::new(shared.settings.vm_list_address);
    loop {
        let next = Instant::now() + VM_LIST_INTERVAL_MS.duration();
        match client.list().await {
            Ok(reply) => {
                if shared.control.send(ControlInput::Vms(reply)).await.is_err() {
                    return;
                }
            }
            Err(error) => log::debug!("{error}"),
        }
        sleep_until(next).await;
    }
}

/// Reads the load of every watched engine again and again.
pub(crate) async fn watch_loads(shared: Arc<Shared>, endpoints: watch::Receiver<WatchedEndpoints>) {
    let client = EngineClient::new();
    loop {
        let next = Instant::now() + LOAD_INTERVAL_MS.duration();
        let watched = endpoints.borrow().clone();
        let reports = watched.into_iter().map(|(id, address)| {
            let client = &client;
            async move { ControlInput::Load(id, client.load(address).await.ok()) }
        });
        for report in join_all(reports).await {
            if shared.control.send(report).await.is_err() {
                return;
            }
        }
        sleep_until(next).await;
    }
}

/// Sends the counters to the StatsD address, if there is one.
pub(crate) async fn report_counters(shared: Arc<Shared>) {
    let Some(address) = shared.settings.statsd_address else {
        return;
    };
    let mut reporter = match StatsdReporter::connect(address) {
        Ok(reporter) => reporter,
        Err(error) => {
            log::error!("counters are not sent to {address}: {error}");
            return;
        }
    };
    loop {
        sleep(COUNTERS_INTERVAL_MS.duration()).await;
        reporter.report(&shared.counters);
    }
}
