//! What the control thread and the traffic threads of a relay share.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

use arc_swap::ArcSwap;
use parsleylatch_decide::relay::{EndpointEntry, NodeLocation, RelayConfiguration, VersionRule};
use parsleylatch_runtime::Clock;
use parsleylatch_settings::RelaySettings;
use parsleylatch_types::{Micros, Millis, MonoTime, Revision, ServiceName};
use tokio::sync::{mpsc, watch};

use crate::telemetry::RelayMetrics;
use crate::{codec::RelayCodec, input::ControlInput};

/// Part of the shorter bound on changes for which a watch waits, in percent. A store
/// that drops its history may leave a watch deaf until its wait is over.
const WATCH_WAIT_PERCENT: u64 = 45;
/// Part of the shorter bound on changes that passes between the answer to a watch
/// and the next one, in percent; changes in between come together. The rest has to
/// do for a listing.
const WATCH_PAUSE_PERCENT: u64 = 30;

/// Time that an answer of the store may take on its way.
const STORE_LATENCY_MARGIN_MS: Millis = Millis::new(300);

/// How far a planned stop has come, as callers' connections see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LifecyclePhase {
    /// Configuration or endpoints are not known yet.
    Starting,
    /// Callers are taken.
    Serving,
    /// The balancer is told to send no more.
    NotReady,
    /// Connections end with their answers.
    Draining,
    /// The process ends.
    Stopped,
}

/// What the control thread knows, at one moment.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    /// Grows with each snapshot.
    pub(crate) sequence: u64,
    pub(crate) configuration: Option<Arc<RelayConfiguration>>,
    pub(crate) endpoints: Arc<[Arc<EndpointEntry>]>,
    pub(crate) registry_revision: Revision,
    /// Nodes that are known, this one included.
    pub(crate) nodes: Arc<[NodeLocation]>,
    /// Versions for new requests, where a roll-out decides on them.
    pub(crate) versions: BTreeMap<ServiceName, VersionRule>,
}

/// State that every thread of a relay can reach.
pub(crate) struct Shared {
    pub(crate) settings: ArcSwap<RelaySettings>,
    pub(crate) codec: RelayCodec,
    pub(crate) clock: Clock,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    pub(crate) phase: watch::Sender<LifecyclePhase>,
    pub(crate) metrics: RelayMetrics,
    pub(crate) control: mpsc::Sender<ControlInput>,
    /// Whether this node reads the store itself.
    pub(crate) reads_store: watch::Sender<bool>,
    /// Store revision of what is known of endpoints and nodes.
    known_revision: AtomicU64,
    in_flight: AtomicUsize,
    /// When a planned stop ends at the latest.
    stop_deadline: AtomicU64,
    /// When the store, or a node that it serves, confirmed what is known.
    confirmed_at: AtomicU64,
    /// Whether the last call of the store failed.
    store_failing: AtomicBool,
}

impl Shared {
    pub(crate) fn new(
        settings: RelaySettings,
        codec: RelayCodec,
        control: mpsc::Sender<ControlInput>,
    ) -> Self {
        Self {
            settings: ArcSwap::from_pointee(settings),
            codec,
            clock: Clock::start(),
            snapshot: ArcSwap::default(),
            phase: watch::Sender::new(LifecyclePhase::Starting),
            metrics: RelayMetrics::new(),
            control,
            reads_store: watch::Sender::new(true),
            known_revision: AtomicU64::new(0),
            in_flight: AtomicUsize::new(0),
            stop_deadline: AtomicU64::new(u64::MAX),
            confirmed_at: AtomicU64::new(0),
            store_failing: AtomicBool::new(false),
        }
    }

    pub(crate) fn now(&self) -> MonoTime {
        self.clock.now()
    }

    pub(crate) fn phase(&self) -> LifecyclePhase {
        *self.phase.borrow()
    }

    /// Waits until a planned stop has come as far as `phase`.
    ///
    /// Holds nothing afterwards: what the channel's own wait returns locks its
    /// value against the control thread.
    pub(crate) async fn wait_for_phase(&self, phase: LifecyclePhase) {
        let mut phases = self.phase.subscribe();
        // The sender lives as long as `self`.
        let reached = phases.wait_for(|it| *it >= phase).await;
        drop(reached);
    }

    /// When this process ends at the latest.
    pub(crate) fn stop_deadline(&self) -> MonoTime {
        MonoTime::new(self.stop_deadline.load(Ordering::Relaxed))
    }

    pub(crate) fn set_stop_deadline(&self, at: MonoTime) {
        self.stop_deadline.store(at.get(), Ordering::Relaxed);
    }

    /// Requests that are being answered.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    pub(crate) fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(self))
    }

    /// Store revision of what is known; `None` before the first reading.
    pub(crate) fn known_revision(&self) -> Option<Revision> {
        let revision = Revision::new(self.known_revision.load(Ordering::Relaxed));
        (revision > Revision::ZERO).then_some(revision)
    }

    pub(crate) fn set_known_revision(&self, revision: Revision) {
        self.known_revision.store(revision.get(), Ordering::Relaxed);
    }

    /// Notes that what is known was confirmed; an earlier time changes nothing.
    pub(crate) fn record_confirmation(&self, at: MonoTime) {
        self.confirmed_at.fetch_max(at.get(), Ordering::Relaxed);
    }

    /// Age of what is known.
    pub(crate) fn confirmed_age(&self) -> Micros {
        self.now()
            .since(MonoTime::new(self.confirmed_at.load(Ordering::Relaxed)))
    }

    /// Notes whether the store answers; returns whether it failed before.
    pub(crate) fn set_store_failing(&self, is_failing: bool) -> bool {
        self.store_failing.swap(is_failing, Ordering::Relaxed)
    }

    /// Age up to which what is known counts as new: a waiting watch confirms it, as
    /// long as no call fails.
    pub(crate) fn freshness_limit(&self, limit: Millis) -> Millis {
        match self.store_failing.load(Ordering::Relaxed) {
            true => limit,
            false => limit.saturating_add(self.watch_wait()),
        }
    }

    /// Whether the store is read as it should be: no call fails, and the last answer is
    /// no older than a pause and a whole wait.
    pub(crate) fn is_store_current(&self) -> bool {
        let turn = self.watch_pause().saturating_add(STORE_LATENCY_MARGIN_MS);
        let is_failing = self.store_failing.load(Ordering::Relaxed);
        !is_failing && self.confirmed_age() < self.freshness_limit(turn).micros()
    }

    /// Longest wait of a watch for a change.
    pub(crate) fn watch_wait(&self) -> Millis {
        self.percent_of_bound(WATCH_WAIT_PERCENT)
    }

    /// Time between the answer to a watch and the next one.
    pub(crate) fn watch_pause(&self) -> Millis {
        self.percent_of_bound(WATCH_PAUSE_PERCENT)
    }

    fn percent_of_bound(&self, percent: u64) -> Millis {
        let bounds = self.settings.load().bounds;
        let bound_ms = bounds.configuration_ms.min(bounds.leaving_ms).get();
        Millis::new(bound_ms * percent / 100)
    }

    /// Whether "there is no such route or key" can be said: what is known is
    /// younger than the time that a change may take.
    pub(crate) fn is_configuration_fresh(&self) -> bool {
        let limit = self.settings.load().bounds.configuration_ms;
        self.confirmed_age() < self.freshness_limit(limit).micros()
    }
}

/// Counts a request until it is dropped.
pub(crate) struct InFlightGuard(Arc<Shared>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let before = self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
        let is_stopping = self.0.phase() > LifecyclePhase::Serving;
        if before == 1 && is_stopping {
            // A full queue is emptied by the next deadline.
            let _ = self.0.control.try_send(ControlInput::Idle);
        }
    }
}
