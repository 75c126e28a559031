//! State shared by the threads of a node.

use std::{
    collections::HashSet,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use arc_swap::ArcSwap;
use parsleylatch_decide::{
    call::{RecentIds, StoreHealth},
    generation::AttemptReport,
    store_eras::{ClaimEras, EraFinding},
    view::{PeerView, Snapshot},
};
use parsleylatch_peer::Identity;
use parsleylatch_runtime::{Clock, ConnectionEvent};
use parsleylatch_settings::NodeSettings;
use parsleylatch_types::{EraReading, Incarnation, NodeId, RequestId, StoreEra};
use tokio::sync::{broadcast, mpsc, watch};

use crate::{
    control::{
        ControlInput,
        events::{ADMIN_EVENT_BUFFER, AdminEvent},
    },
    peering::{self, PeeringInput},
    running::RunningGenerations,
    telemetry::{Counter, Counters},
};

/// Phase of a planned stop, as far as it concerns requests and journals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopPhase {
    /// No stop was requested.
    None,
    /// The node reports that it is not ready, and tells the owners of the journals
    /// that it holds to use other nodes.
    NotReady,
    /// Generations that are still running are handed over to other nodes.
    HandOver,
}

/// State shared by all threads of a node.
pub(crate) struct Shared {
    pub(crate) settings: NodeSettings,
    pub(crate) identity: Identity,
    pub(crate) clock: Clock,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    pub(crate) store_health: ArcSwap<StoreHealth>,
    /// Eras of the store that its responses have stated.
    claim_eras: Mutex<ClaimEras>,
    /// Ids of the once-only requests that this node has attempted.
    recent_ids: Mutex<RecentIds>,
    /// Notified after each new snapshot.
    pub(crate) snapshot_changed: watch::Sender<()>,
    pub(crate) counters: Counters,
    pub(crate) stop_phase: watch::Sender<StopPhase>,
    pub(crate) control: mpsc::Sender<ControlInput>,
    /// Live events for operators.
    pub(crate) events: broadcast::Sender<AdminEvent>,
    pub(crate) peering: mpsc::Sender<PeeringInput>,
    /// Listed nodes, for the peer thread.
    pub(crate) peers: watch::Sender<Vec<PeerView>>,
    /// Nodes with a usable link, which can hold journals.
    pub(crate) linked_peers: ArcSwap<HashSet<NodeId>>,
    pub(crate) running: RunningGenerations,
    /// Whether `/readyz` reports the node as ready to the load balancer.
    pub(crate) ready: AtomicBool,
    in_flight: AtomicUsize,
}

impl Shared {
    pub(crate) fn new(
        settings: NodeSettings,
        control: mpsc::Sender<ControlInput>,
        peering: mpsc::Sender<PeeringInput>,
    ) -> Self {
        let incarnation = Incarnation::new(Clock::unix_now().get());
        let identity = peering::local_identity(&settings, incarnation);
        Self {
            identity,
            settings,
            clock: Clock::start(),
            snapshot: ArcSwap::from_pointee(Snapshot::default()),
            store_health: ArcSwap::default(),
            claim_eras: Mutex::default(),
            recent_ids: Mutex::default(),
            snapshot_changed: watch::Sender::new(()),
            counters: Counters::new(),
            stop_phase: watch::Sender::new(StopPhase::None),
            control,
            events: broadcast::Sender::new(ADMIN_EVENT_BUFFER),
            peering,
            peers: watch::Sender::new(Vec::new()),
            linked_peers: ArcSwap::default(),
            running: RunningGenerations::default(),
            ready: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Records the era that a response of the store states.
    pub(crate) fn observe_era(&self, reading: &EraReading) -> EraFinding {
        let mut eras = self.claim_eras();
        let finding = eras.observe(Clock::unix_now(), reading);
        let known = eras.known();
        drop(eras);
        match finding {
            EraFinding::Restored { earlier } => {
                self.counters.increment(Counter::StoreRestores);
                log::warn!("the store was restored: era {earlier} is followed by {known}");
            }
            EraFinding::Unreadable { is_first: true } => {
                log::warn!("the era of the store can't be read: {reading:?}");
            }
            EraFinding::Current | EraFinding::Late | EraFinding::Unreadable { .. } => {}
        }
        finding
    }

    /// Newest known era of the store.
    pub(crate) fn store_era(&self) -> StoreEra {
        self.claim_eras().known()
    }

    /// Whether the claim of a request may be missing from a restored store.
    pub(crate) fn may_lack_claim(&self, id: RequestId) -> bool {
        self.claim_eras().may_lack_claim(id)
    }

    fn claim_eras(&self) -> MutexGuard<'_, ClaimEras> {
        self.claim_eras
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes a snapshot and notifies the threads that wait for one.
    pub(crate) fn publish(&self, snapshot: Snapshot) {
        self.peers.send_if_modified(|peers| {
            let changed = *peers != snapshot.peers;
            peers.clone_from(&snapshot.peers);
            changed
        });
        self.snapshot.store(Arc::new(snapshot));
        self.snapshot_changed.send_replace(());
    }

    /// Sends a report to the control thread; drops and counts it if the channel is
    /// full.
    pub(crate) fn report(&self, report: AttemptReport) {
        if self
            .control
            .try_send(ControlInput::Attempt(report))
            .is_err()
        {
            self.counters.increment(Counter::ReportsDropped);
        }
    }

    pub(crate) fn recent_ids(&self) -> MutexGuard<'_, RecentIds> {
        self.recent_ids
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a store call failed so recently that the store counts as down.
    pub(crate) fn is_store_down(&self) -> bool {
        self.store_health.load().is_down(self.clock.now())
    }

    /// Records a failed store call.
    pub(crate) fn record_store_failure(&self) {
        let health = StoreHealth::failed_at(self.clock.now());
        self.store_health.store(Arc::new(health));
    }

    /// Records a store call that was answered.
    pub(crate) fn record_store_success(&self) {
        if self.is_store_down() {
            self.store_health.store(Arc::default());
        }
    }

    pub(crate) fn requests_in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }
}

/// Counts what happens to connections at the limit of a listener.
pub(crate) fn connection_observer(
    shared: &Arc<Shared>,
) -> impl Fn(ConnectionEvent) + Send + Sync + use<> + 'static {
    let shared = Arc::clone(shared);
    move |event| shared.counters.increment(event.into())
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlightGuard {
    shared: Arc<Shared>,
}

impl InFlightGuard {
    /// Counts a request as in flight; `None` if the node's limit is reached.
    pub(crate) fn try_acquire(shared: &Arc<Shared>) -> Option<Self> {
        let limit = shared.settings.limits.generations;
        let acquired =
            shared
                .in_flight
                .fetch_update(Ordering::AcqRel, Ordering::Acquire, |count| {
                    (count < limit).then_some(count + 1)
                });
        acquired.ok().map(|_| Self {
            shared: Arc::clone(shared),
        })
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if self.shared.in_flight.fetch_sub(1, Ordering::AcqRel) == 1 {
            // The control thread checks the count after every input, so a full
            // channel loses nothing.
            let _ = self.shared.control.try_send(ControlInput::Idle);
        }
    }
}
