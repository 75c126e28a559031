//! Tasks that call the store: watching for changes, and maintaining this node's entry.
//!
//! Each call to the store is billed, and a pending watch is one call. Endpoints renew
//! their leases without changing their entries, so a single watch over all keys
//! returns only on a change or when its wait is over.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parsleylatch_decide::relay::{RolloutPhase, RolloutStatus};
use parsleylatch_store::{Condition, Guard, LeaseId, StoreClient, StoreError};
use parsleylatch_types::{Millis, Revision};
use tokio::{sync::oneshot, time};

use super::peers::{NODES_PREFIX, entry_value};
use crate::{
    input::ControlInput,
    shared::{LifecyclePhase, Shared},
    telemetry::{RelayCounter, RelayLatency},
};

/// Timeout of a call; the store responds within milliseconds, and sixty times as slowly
/// when it is degraded.
const CALL_TIMEOUT_MS: Millis = Millis::new(1_000);
/// Timeout of a call until the node has any state. When a whole region starts at once,
/// the responses saturate the links for seconds, and a call that times out wastes its
/// response.
const INITIAL_CALL_TIMEOUT_MS: Millis = Millis::new(4_000);
/// Time to live of the lease on this node's entry.
const NODE_LEASE_TTL_MS: Millis = Millis::new(10_000);
/// Interval between lease renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(3);
/// Delay after the first failed call; doubles with each further failure.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay after a failed call.
const RETRY_DELAY_LIMIT: Duration = Duration::from_millis(800);
/// Maximum delay while the node has no state, because its callers wait for it.
const INITIAL_RETRY_DELAY_LIMIT: Duration = Duration::from_millis(400);

/// Number of changes in a reply from which more are likely to be pending, so that the
/// next watch starts without a pause; a reply holds about 500 changes at most.
const FULL_REPLY_CHANGES: usize = 400;

/// Prefix that matches every key.
const ALL_KEYS: &str = "";

/// Starts the tasks on the current thread.
pub(crate) fn start(shared: &Arc<Shared>, peer_address: SocketAddr) {
    tokio::task::spawn_local(watch_documents(Arc::clone(shared)));
    tokio::task::spawn_local(maintain_node_entry(Arc::clone(shared), peer_address));
}

/// Store client that follows the address in the settings and backs off after failures.
struct RetryingStore {
    shared: Arc<Shared>,
    address: SocketAddr,
    client: StoreClient,
    timeout_ms: Millis,
    failures: u32,
}

impl RetryingStore {
    fn new(shared: Arc<Shared>, timeout_ms: Millis) -> Self {
        let address = shared.settings.load().store_address;
        let client = StoreClient::with_codec(address, shared.codec.store, timeout_ms);
        Self {
            shared,
            address,
            client,
            timeout_ms,
            failures: 0,
        }
    }

    /// Client for the next call, with the current address from the settings.
    fn client(&mut self) -> &StoreClient {
        let address = self.shared.settings.load().store_address;
        if address != self.address {
            let codec = self.shared.codec.store;
            self.client = StoreClient::with_codec(address, codec, self.timeout_ms);
            self.address = address;
        }
        &self.client
    }

    /// Wait of the next watch. After a failure the watch does not wait until a call has
    /// succeeded, so that a recovery is noticed at once.
    fn watch_wait(&self) -> Millis {
        match self.failures {
            0 => self.shared.watch_wait(),
            _ => Millis::ZERO,
        }
    }

    /// Counts a call. On a failure, notifies the control thread, backs off and returns
    /// `None`.
    async fn handle_result<Reply>(&mut self, result: Result<Reply, StoreError>) -> Option<Reply> {
        self.shared.metrics.increment(RelayCounter::StoreCalls);
        match result {
            Ok(reply) => {
                self.failures = 0;
                Some(reply)
            }
            Err(error) => {
                log::info!(error:% = error, failures = self.failures; "store call failed");
                self.shared
                    .metrics
                    .increment(RelayCounter::StoreCallsFailed);
                self.notify_control(ControlInput::StoreFailed).await;
                self.back_off().await;
                None
            }
        }
    }

    async fn back_off(&mut self) {
        let doubled = RETRY_DELAY * 2_u32.pow(self.failures.min(4));
        self.failures += 1;
        let limit = match self.shared.known_revision() {
            Some(_) => RETRY_DELAY_LIMIT,
            None => INITIAL_RETRY_DELAY_LIMIT,
        };
        let delay = doubled.min(limit);
        time::sleep(delay.mul_f64(rand::random_range(0.75..1.25))).await;
    }

    async fn notify_control(&self, input: ControlInput) {
        // The control loop outlives its tasks.
        let _ = self.shared.control.send(input).await;
    }
}

async fn watch_documents(shared: Arc<Shared>) {
    let mut initial_store = RetryingStore::new(Arc::clone(&shared), INITIAL_CALL_TIMEOUT_MS);
    let mut store = RetryingStore::new(Arc::clone(&shared), CALL_TIMEOUT_MS);
    let mut reads_store = shared.reads_store.subscribe();
    // Whether this node should read the store depends on the other nodes.
    while shared.known_revision().is_none() && !fetch_nodes(&mut initial_store).await {}
    let mut after = shared.known_revision();
    loop {
        if !*reads_store.borrow_and_update() {
            // The sender lives as long as `shared`.
            let _ = reads_store.changed().await;
            after = shared.known_revision();
            continue;
        }
        let started_at = shared.now();
        let result = match after {
            Some(revision) => {
                let wait_ms = store.watch_wait();
                store.client().watch(ALL_KEYS, revision, wait_ms).await
            }
            None if shared.known_revision().is_none() => {
                tokio::select! {
                    result = initial_store.client().list(ALL_KEYS) => result,
                    // Another node provided the state first.
                    () = shared.wait_for_phase(LifecyclePhase::Serving) => {
                        after = shared.known_revision();
                        continue;
                    }
                }
            }
            None => store.client().list(ALL_KEYS).await,
        };
        if result.as_ref().is_err_and(StoreError::is_history_compacted) {
            log::info!(
                after = after.unwrap_or_default().get();
                "history of the store is gone"
            );
            after = None;
            continue;
        }
        let Some(reply) = store.handle_result(result).await else {
            continue;
        };
        let is_listing = after.is_none();
        after = after.max(Some(reply.revision));
        if is_listing {
            let latency = shared.now().since(started_at);
            shared.metrics.observe(RelayLatency::StoreCall, latency);
            store
                .notify_control(ControlInput::Listing(reply, started_at))
                .await;
        } else {
            let is_full = reply.entries.len() + reply.deleted.len() >= FULL_REPLY_CHANGES;
            let input = ControlInput::Changes(reply, shared.now());
            store.notify_control(input).await;
            if !is_full {
                time::sleep(shared.watch_pause().duration()).await;
            }
        }
    }
}

/// Reads the nodes' entries before anything else, because on a large deployment a node
/// gets most of its state from other nodes. Returns whether the read succeeded.
async fn fetch_nodes(store: &mut RetryingStore) -> bool {
    let result = store.client().list(NODES_PREFIX).await;
    let Some(reply) = store.handle_result(result).await else {
        return false;
    };
    let (applied, is_applied) = oneshot::channel();
    store
        .notify_control(ControlInput::Nodes(reply, applied))
        .await;
    // The control loop outlives its tasks.
    let _ = is_applied.await;
    true
}

/// Maintains the entry from which other nodes learn this node's address.
async fn maintain_node_entry(shared: Arc<Shared>, peer_address: SocketAddr) {
    let key = format!("{NODES_PREFIX}{}", shared.settings.load().node_id);
    let mut store = RetryingStore::new(shared, CALL_TIMEOUT_MS);
    loop {
        let Some(lease) = register_node(&mut store, &key, peer_address).await else {
            continue;
        };
        loop {
            time::sleep(RENEW_INTERVAL).await;
            let result = store.client().renew(lease).await;
            if store.handle_result(result).await == Some(false) {
                log::info!("lease on the node entry expired");
                break;
            }
        }
    }
}

/// Writes the status of a rollout, unless the store already has it, a final status of
/// this order, or a newer order. Retries until the store responds.
pub(crate) async fn record_rollout(
    shared: Arc<Shared>,
    order_revision: Revision,
    status: RolloutStatus,
) {
    let codec = shared.codec.rollouts;
    let key = format!("{}{}", codec.status_prefix, status.service);
    let order_key = format!("{}{}", codec.order_prefix, status.service);
    let guard = Guard {
        key: &order_key,
        revision: order_revision,
    };
    let mut store = RetryingStore::new(shared, CALL_TIMEOUT_MS);
    loop {
        let result = store.client().read(&key).await;
        let Some(entry) = store.handle_result(result).await else {
            continue;
        };
        let known = entry.as_ref().filter(|it| it.revision > order_revision);
        let phase = known.and_then(|it| (codec.read_status)(&status.service, &it.value).ok());
        let is_recorded = phase.is_some_and(|known| {
            known.target == status.target
                && (known.phase != RolloutPhase::Running || status.phase == known.phase)
        });
        if is_recorded {
            return;
        }
        let condition = entry.map_or(Condition::Absent, |it| Condition::At(it.revision));
        let value = (codec.write_status)(&status);
        let client = store.client();
        let result = client.write_guarded(&key, &value, condition, guard).await;
        let Some(reply) = store.handle_result(result).await else {
            continue;
        };
        if reply.written {
            return;
        }
        let result = store.client().read(&order_key).await;
        let Some(order) = store.handle_result(result).await else {
            continue;
        };
        let revision = order.map_or(Revision::ZERO, |order| order.revision);
        if revision != order_revision {
            log::info!(
                service:% = status.service,
                target:% = status.target,
                state:% = status.phase,
                order_revision = order_revision.get(),
                replaced_by = revision.get();
                "status of a replaced roll-out order not written"
            );
            return;
        }
    }
}

/// Writes the entry under a new lease, and overwrites that of an earlier process.
async fn register_node(
    store: &mut RetryingStore,
    key: &str,
    peer_address: SocketAddr,
) -> Option<LeaseId> {
    let result = store.client().grant(NODE_LEASE_TTL_MS).await;
    let lease = store.handle_result(result).await?;
    let mut condition = Condition::Absent;
    loop {
        let value = entry_value(peer_address, &store.shared.settings.load());
        let result = store
            .client()
            .write(key, value, condition, Some(lease))
            .await;
        let reply = store.handle_result(result).await?;
        match reply.entry {
            _ if reply.written => return Some(lease),
            Some(other) => condition = Condition::At(other.revision),
            None => condition = Condition::Absent,
        }
    }
}
