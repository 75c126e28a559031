//! Tasks that call the store: watching for changes, and maintaining this node's entry.
//!
//! Each call to the store is billed, and a pending watch is one call. Endpoints renew
//! their leases without changing their entries, so a single watch over all keys
//! returns only on a change or when its wait is over.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use parsleylatch_decide::{
    relay::{RolloutPhase, RolloutStatus},
    store_eras::rewrite_delay_limit,
};
use parsleylatch_store::{Condition, Dated, Guard, LeaseId, StoreClient, StoreError};
use parsleylatch_types::{EraReading, Millis, Revision, StoreEra, StorePosition};
use tokio::{sync::oneshot, time};

use super::{
    documents::DocumentSet,
    peers::{NODES_PREFIX, entry_value},
};
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

/// Time over which nodes write a status again that a restored store has lost; several times
/// what a write and the read by which others find it take.
const STATUS_REWRITE_SPREAD: Duration = Duration::from_secs(1);
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

    /// Counts a call, and returns its reply with the era of the store. On a failure, or if
    /// the reply is of an era that has ended, notifies the control thread, backs off and
    /// returns `None`.
    async fn handle_result<Reply>(
        &mut self,
        result: Result<Dated<Reply>, StoreError>,
    ) -> Option<(StoreEra, Reply)> {
        self.shared.metrics.increment(RelayCounter::StoreCalls);
        match result {
            Ok(dated) if self.observe_era(&dated.era) => {
                self.failures = 0;
                return Some((self.shared.store_era(), dated.reply));
            }
            Ok(dated) => log::info!(
                stated:? = dated.era,
                known = self.shared.store_era().get();
                "late response of the store ignored"
            ),
            Err(error) => {
                if let Some(era) = &error.era {
                    self.observe_era(era);
                }
                log::info!(error:% = error, failures = self.failures; "store call failed");
            }
        }
        self.shared
            .metrics
            .increment(RelayCounter::StoreCallsFailed);
        self.notify_control(ControlInput::StoreFailed).await;
        self.back_off().await;
        None
    }

    /// Records the era of a response; returns whether the response may be used.
    fn observe_era(&self, era: &EraReading) -> bool {
        self.shared.observe_era(era, "store").is_usable()
    }

    async fn back_off(&mut self) {
        let doubled = RETRY_DELAY * 2_u32.pow(self.failures.min(4));
        self.failures += 1;
        let limit = match self.shared.known_position() {
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
    while shared.known_position().is_none() && !fetch_nodes(&mut initial_store).await {}
    let mut after = shared.known_position();
    loop {
        if !*reads_store.borrow_and_update() {
            // The sender lives as long as `shared`.
            let _ = reads_store.changed().await;
            after = shared.known_position();
            continue;
        }
        let started_at = shared.now();
        let result = match after {
            Some(position) => {
                let wait_ms = store.watch_wait();
                let client = store.client();
                tokio::select! {
                    result = client.watch(ALL_KEYS, position.revision, wait_ms) => result,
                    // Another node has told that the store was restored.
                    () = shared.wait_for_era_after(position.era) => {
                        after = None;
                        continue;
                    }
                }
            }
            None if shared.known_position().is_none() => {
                tokio::select! {
                    result = initial_store.client().list(ALL_KEYS) => result,
                    // Another node provided the state first.
                    () = shared.wait_for_phase(LifecyclePhase::Serving) => {
                        after = shared.known_position();
                        continue;
                    }
                }
            }
            None => store.client().list(ALL_KEYS).await,
        };
        if let Err(error) = &result
            && after.is_some()
            && error.is_history_compacted()
            && error.era.as_ref().is_none_or(|era| store.observe_era(era))
        {
            log::info!(
                after = after.unwrap_or_default().revision.get();
                "history of the store is gone"
            );
            after = None;
            continue;
        }
        let Some((era, reply)) = store.handle_result(result).await else {
            continue;
        };
        let is_listing = after.is_none();
        if after.is_some_and(|position| position.era < era) {
            // Changes since a revision of an earlier era are incomplete.
            after = None;
            continue;
        }
        let read = DocumentSet::new(era, reply);
        after = after.max(Some(read.position));
        if is_listing {
            let latency = shared.now().since(started_at);
            shared.metrics.observe(RelayLatency::StoreCall, latency);
            store
                .notify_control(ControlInput::Listing(read, started_at))
                .await;
        } else {
            let is_full = read.documents.len() + read.deleted.len() >= FULL_REPLY_CHANGES;
            let input = ControlInput::Changes(read, shared.now());
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
    let Some((era, reply)) = store.handle_result(result).await else {
        return false;
    };
    let read = DocumentSet::new(era, reply);
    let (applied, is_applied) = oneshot::channel();
    store
        .notify_control(ControlInput::Nodes(read, applied))
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
        let Some((era, lease)) = register_node(&mut store, &key, peer_address).await else {
            continue;
        };
        loop {
            tokio::select! {
                () = time::sleep(RENEW_INTERVAL) => {}
                () = store.shared.wait_for_era_after(era) => {
                    // A restored store may have lost both the lease and the entry.
                    let nodes = store.shared.snapshot.load().nodes.len();
                    let limit = rewrite_delay_limit(nodes).duration();
                    time::sleep(limit.mul_f64(rand::random())).await;
                    store.shared.metrics.increment(RelayCounter::DocumentsRewritten);
                    break;
                }
            }
            let result = store.client().renew(lease).await;
            if let Some((_, false)) = store.handle_result(result).await {
                log::info!("lease on the node entry expired");
                break;
            }
        }
    }
}

/// Writes the status of a rollout again to a store that has lost it, unless another node
/// does so first.
pub(crate) async fn record_rollout_again(
    shared: Arc<Shared>,
    order_position: StorePosition,
    status: RolloutStatus,
) {
    time::sleep(STATUS_REWRITE_SPREAD.mul_f64(rand::random())).await;
    if record_rollout(Arc::clone(&shared), order_position, status).await {
        shared.metrics.increment(RelayCounter::DocumentsRewritten);
    }
}

/// Writes the status of a rollout, unless the store already has it, a final status of
/// this order, or a newer order. Retries until the store responds. Returns whether it was
/// written; it is not if the store was restored since the order was read.
pub(crate) async fn record_rollout(
    shared: Arc<Shared>,
    order_position: StorePosition,
    status: RolloutStatus,
) -> bool {
    let codec = shared.codec.rollouts;
    let key = format!("{}{}", codec.status_prefix, status.service);
    let order_key = format!("{}{}", codec.order_prefix, status.service);
    let order_revision = order_position.revision;
    let guard = Guard {
        key: &order_key,
        revision: order_revision,
    };
    let mut store = RetryingStore::new(shared, CALL_TIMEOUT_MS);
    loop {
        let result = store.client().read(&key).await;
        let Some((era, entry)) = store.handle_result(result).await else {
            continue;
        };
        if era != order_position.era {
            // The status is written again once the order is known in the new era.
            return false;
        }
        let known = entry.as_ref().filter(|it| it.revision > order_revision);
        let phase = known.and_then(|it| (codec.read_status)(&status.service, &it.value).ok());
        let is_recorded = phase.is_some_and(|known| {
            known.target == status.target
                && (known.phase != RolloutPhase::Running || status.phase == known.phase)
        });
        if is_recorded {
            return false;
        }
        let condition = entry.map_or(Condition::Absent, |it| Condition::At(it.revision));
        let value = (codec.write_status)(&status);
        let client = store.client();
        let result = client.write_guarded(&key, &value, condition, guard).await;
        let Some((_, reply)) = store.handle_result(result).await else {
            continue;
        };
        if reply.written {
            return true;
        }
        let result = store.client().read(&order_key).await;
        let Some((_, order)) = store.handle_result(result).await else {
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
            return false;
        }
    }
}

/// Writes the entry under a new lease, and overwrites that of an earlier process.
async fn register_node(
    store: &mut RetryingStore,
    key: &str,
    peer_address: SocketAddr,
) -> Option<(StoreEra, LeaseId)> {
    let result = store.client().grant(NODE_LEASE_TTL_MS).await;
    let (era, lease) = store.handle_result(result).await?;
    let mut condition = Condition::Absent;
    loop {
        let value = entry_value(peer_address, &store.shared.settings.load());
        let result = store
            .client()
            .write(key, value, condition, Some(lease))
            .await;
        let (_, reply) = store.handle_result(result).await?;
        match reply.entry {
            _ if reply.written => return Some((era, lease)),
            Some(other) => condition = Condition::At(other.revision),
            None => condition = Condition::Absent,
        }
    }
}
