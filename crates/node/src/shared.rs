//! What the control thread and the traffic threads share.

use std::{
    collections::HashSet,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use arc_swap::ArcSwap;
use parsleylatch_decide::{
    generation::AttemptReport,
    view::{PeerView, Snapshot},
};
use parsleylatch_peer::Identity;
use parsleylatch_settings::NodeSettings;
use parsleylatch_types::{Incarnation, NodeId};
use tokio::sync::{mpsc, watch};

use crate::{
    clock::Clock,
    control::ControlInput,
    peering::{self, PeeringInput},
    running::Running,
    telemetry::{Counter, Counters},
};

/// How far a planned stop has come, as requests see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StopPhase {
    /// No stop was asked for.
    None,
    /// The node says that it is not ready; its journals go elsewhere.
    Noticing,
    /// Generations that still run go to other nodes.
    HandOver,
}

/// State that every thread of a node can reach.
pub(crate) struct Shared {
    pub(crate) settings: NodeSettings,
    pub(crate) identity: Identity,
    pub(crate) clock: Clock,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    pub(crate) counters: Counters,
    pub(crate) stop_phase: watch::Sender<StopPhase>,
    pub(crate) control: mpsc::Sender<ControlInput>,
    pub(crate) peering: mpsc::Sender<PeeringInput>,
    /// Nodes that the list names, for the peer thread.
    pub(crate) peers: watch::Sender<Vec<PeerView>>,
    /// Nodes that can hold journals now.
    pub(crate) linked: ArcSwap<HashSet<NodeId>>,
    pub(crate) running: Running,
    /// Whether the balancer may send callers here.
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
        let identity = peering::identity_of(&settings, incarnation);
        Self {
            identity,
            settings,
            clock: Clock::start(),
            snapshot: ArcSwap::from_pointee(Snapshot::default()),
            counters: Counters::new(),
            stop_phase: watch::Sender::new(StopPhase::None),
            control,
            peering,
            peers: watch::Sender::new(Vec::new()),
            linked: ArcSwap::default(),
            running: Running::default(),
            ready: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Sends a report to the control thread; drops and counts it if that is busy.
    pub(crate) fn report(&self, report: AttemptReport) {
        if self
            .control
            .try_send(ControlInput::Attempt(report))
            .is_err()
        {
            self.counters.increment(Counter::ReportsDropped);
        }
    }

    /// Requests that are being answered.
    pub(crate) fn requests_in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Acquire)
    }
}

/// Counts a request for as long as it is being answered.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
}

impl InFlight {
    /// Counts a request; `None` if the node's limit is reached.
    pub(crate) fn enter(shared: &Arc<Shared>) -> Option<Self> {
        let limit = shared.settings.limits.generations;
        let entered = shared
            .in_flight
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |count| {
                (count < limit).then_some(count + 1)
            });
        entered.ok().map(|_| Self {
            shared: Arc::clone(shared),
        })
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if self.shared.in_flight.fetch_sub(1, Ordering::AcqRel) == 1 {
            // A full channel means that the control thread looks soon anyway.
            let _ = self.shared.control.try_send(ControlInput::Idle);
        }
    }
}
