//! State that the control thread and the traffic threads of a relay share.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
};

use arc_swap::{ArcSwap, ArcSwapOption};
use parsleylatch_decide::relay::{
    CallerActivity, EndpointEntry, MemoryPlan, NodeLocation, PartTrials, PartVerdicts,
    RelayConfiguration, VersionRule, log_flush_time,
};
use parsleylatch_decide::store_eras::{EraFinding, StoreEras};
use parsleylatch_runtime::Clock;
use parsleylatch_settings::RelaySettings;
use parsleylatch_types::{
    EraReading, Micros, Millis, MonoTime, Revision, ServiceName, StoreEra, StorePosition,
    TrialNumber,
};
use tokio::sync::{mpsc, watch};

use crate::telemetry::{RelayCounter, RelayMetrics};
use crate::{
    caller_places::CallerPlaces, codec::RelayCodec, input::ControlInput, memory::MemoryBudget,
};

/// Wait of a watch, in percent of the shorter propagation bound. A watch on a store
/// that has dropped its history may not report changes until its wait is over.
const WATCH_WAIT_PERCENT: u64 = 45;
/// Pause between the response to a watch and the next watch, in percent of the shorter
/// propagation bound. Changes in between are batched; the remainder of the bound is
/// left for a listing.
const WATCH_PAUSE_PERCENT: u64 = 30;

/// Allowance for the latency of a response of the store.
const STORE_LATENCY_MARGIN_MS: Millis = Millis::new(300);

/// Phase of the process, from the point of view of callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum LifecyclePhase {
    /// The configuration or the endpoints are not known yet.
    Starting,
    /// Callers are accepted.
    Serving,
    /// The readiness check fails, so that the load balancer sends no new callers.
    NotReady,
    /// Connections are closed after their current response.
    Draining,
    /// The listeners are closed, once the connections in their queues are accepted.
    Closing,
    /// The process ends.
    Stopped,
}

/// State of the control thread at one point in time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    /// Increases with each snapshot.
    pub(crate) sequence: u64,
    pub(crate) configuration: Option<Arc<RelayConfiguration>>,
    pub(crate) endpoints: Arc<[Arc<EndpointEntry>]>,
    pub(crate) registry_revision: Revision,
    /// Known nodes, including this one.
    pub(crate) nodes: Arc<[NodeLocation]>,
    /// Rules that select the version for new requests, for services with a rollout.
    pub(crate) versions: BTreeMap<ServiceName, VersionRule>,
    /// Prompt parts that may crash endpoints.
    pub(crate) prompt_parts: Arc<PartVerdicts>,
}

/// State shared by all threads of a relay.
pub(crate) struct Shared {
    pub(crate) settings: ArcSwap<RelaySettings>,
    pub(crate) codec: RelayCodec,
    pub(crate) clock: Clock,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    pub(crate) phase: watch::Sender<LifecyclePhase>,
    pub(crate) metrics: RelayMetrics,
    /// Bodies of requests and responses that the process holds.
    pub(crate) body_memory: Arc<MemoryBudget>,
    /// Places for callers' connections.
    pub(crate) caller_places: CallerPlaces,
    pub(crate) control: mpsc::Sender<ControlInput>,
    /// Trials of prompt parts in quarantine.
    pub(crate) part_trials: Mutex<PartTrials>,
    /// Whether this node reads the store itself.
    pub(crate) reads_store: watch::Sender<bool>,
    /// Newest era of the store that is known.
    eras: watch::Sender<StoreEras>,
    /// Store position of the known endpoints and nodes.
    known_position: ArcSwapOption<StorePosition>,
    in_flight: AtomicUsize,
    /// Requests whose response is not decided, and streams that have not ended.
    unanswered: AtomicUsize,
    /// When a response was last decided, or a stream last ended.
    answered_at: AtomicU64,
    /// Open connections of callers of which no request was read.
    unread_connections: AtomicUsize,
    /// Connections that a planned stop closed before a request was read.
    closed_unread: AtomicUsize,
    /// Traffic threads that have not closed their listener.
    accepting_threads: AtomicUsize,
    started_trials: AtomicU64,
    /// Time by which a stopping process has to respond.
    response_deadline: AtomicU64,
    /// Time until which streams are accepted.
    accepts_streams_until: AtomicU64,
    /// Time until which a stopping process accepts connections.
    accepts_until: AtomicU64,
    /// Time by which a stopping process has written its log.
    log_written_by: AtomicU64,
    /// When a caller's connection was last accepted.
    accepted_at: AtomicU64,
    /// When the store, or a node that reads it, last confirmed the known state.
    confirmed_at: AtomicU64,
    /// Whether the last call to the store failed.
    store_failing: AtomicBool,
}

impl Shared {
    pub(crate) fn new(
        settings: RelaySettings,
        codec: RelayCodec,
        control: mpsc::Sender<ControlInput>,
    ) -> Self {
        let plan = MemoryPlan::new(settings.memory);
        Self {
            body_memory: Arc::new(MemoryBudget::new(plan.bodies)),
            accepting_threads: AtomicUsize::new(settings.traffic_threads),
            settings: ArcSwap::from_pointee(settings),
            codec,
            clock: Clock::start(),
            snapshot: ArcSwap::default(),
            phase: watch::Sender::new(LifecyclePhase::Starting),
            metrics: RelayMetrics::new(),
            caller_places: CallerPlaces::new(),
            control,
            part_trials: Mutex::default(),
            reads_store: watch::Sender::new(true),
            eras: watch::Sender::default(),
            known_position: ArcSwapOption::empty(),
            in_flight: AtomicUsize::new(0),
            unanswered: AtomicUsize::new(0),
            answered_at: AtomicU64::new(0),
            unread_connections: AtomicUsize::new(0),
            closed_unread: AtomicUsize::new(0),
            started_trials: AtomicU64::new(0),
            response_deadline: AtomicU64::new(u64::MAX),
            accepts_streams_until: AtomicU64::new(u64::MAX),
            accepts_until: AtomicU64::new(u64::MAX),
            log_written_by: AtomicU64::new(u64::MAX),
            accepted_at: AtomicU64::new(0),
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

    /// Waits until the process has reached `phase`.
    ///
    /// Drops the guard that the channel's wait returns, because it would block the
    /// control thread from changing the phase.
    pub(crate) async fn wait_for_phase(&self, phase: LifecyclePhase) {
        let mut phases = self.phase.subscribe();
        // The sender lives as long as `self`.
        let reached = phases.wait_for(|it| *it >= phase).await;
        drop(reached);
    }

    /// Time by which all requests have to have a response; the maximum before a stop.
    pub(crate) fn response_deadline(&self) -> MonoTime {
        MonoTime::new(self.response_deadline.load(Ordering::Relaxed))
    }

    pub(crate) fn set_response_deadline(&self, at: MonoTime) {
        self.response_deadline.store(at.get(), Ordering::Relaxed);
    }

    /// Time until which streams are accepted; the maximum before a stop.
    pub(crate) fn accepts_streams_until(&self) -> MonoTime {
        MonoTime::new(self.accepts_streams_until.load(Ordering::Relaxed))
    }

    pub(crate) fn set_accepts_streams_until(&self, at: MonoTime) {
        self.accepts_streams_until
            .store(at.get(), Ordering::Relaxed);
    }

    /// Time until which connections are accepted; the maximum before a stop.
    pub(crate) fn accepts_until(&self) -> MonoTime {
        MonoTime::new(self.accepts_until.load(Ordering::Relaxed))
    }

    pub(crate) fn set_accepts_until(&self, at: MonoTime) {
        self.accepts_until.store(at.get(), Ordering::Relaxed);
    }

    /// Time that the last lines of the log get.
    pub(crate) fn log_flush_time(&self) -> Millis {
        let written_by = MonoTime::new(self.log_written_by.load(Ordering::Relaxed));
        log_flush_time(self.now(), written_by)
    }

    pub(crate) fn set_log_written_by(&self, at: MonoTime) {
        self.log_written_by.store(at.get(), Ordering::Relaxed);
    }

    /// Waits until a stopping process has to respond.
    pub(crate) async fn wait_for_response_deadline(&self) {
        self.wait_for_phase(LifecyclePhase::NotReady).await;
        self.clock.sleep_until(Some(self.response_deadline())).await;
    }

    /// Number for the next attempt that is reported as started.
    pub(crate) fn next_trial_number(&self) -> TrialNumber {
        TrialNumber::new(self.started_trials.fetch_add(1, Ordering::Relaxed))
    }

    /// Number of requests in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    pub(crate) fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(self))
    }

    /// What the traffic threads do, as far as a planned stop depends on it.
    pub(crate) fn activity(&self) -> CallerActivity {
        CallerActivity {
            in_flight: self.in_flight(),
            unanswered: self.unanswered.load(Ordering::Acquire),
            answered_at: MonoTime::new(self.answered_at.load(Ordering::Relaxed)),
            accepted_at: MonoTime::new(self.accepted_at.load(Ordering::Relaxed)),
        }
    }

    /// Counts a request as unanswered.
    pub(crate) fn track_unanswered(self: &Arc<Self>) -> UnansweredGuard {
        self.unanswered.fetch_add(1, Ordering::Relaxed);
        UnansweredGuard(Arc::clone(self))
    }

    /// Counts the first request of a connection that was accepted now as in flight, and the
    /// connection as unread.
    pub(crate) fn await_request(self: &Arc<Self>) -> AwaitedRequest {
        self.accepted_at
            .fetch_max(self.now().get(), Ordering::Relaxed);
        self.unread_connections.fetch_add(1, Ordering::Relaxed);
        AwaitedRequest {
            in_flight: self.track_request(),
            _unread: UnreadGuard(Arc::clone(self)),
        }
    }

    /// Number of open connections of which no request was read.
    pub(crate) fn unread_connections(&self) -> usize {
        self.unread_connections.load(Ordering::Relaxed)
    }

    /// Number of connections that a planned stop closed before a request was read.
    pub(crate) fn closed_unread(&self) -> usize {
        self.closed_unread.load(Ordering::Relaxed)
    }

    pub(crate) fn record_closed_unread(&self) {
        self.closed_unread.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of traffic threads that have not closed their listener.
    pub(crate) fn accepting_threads(&self) -> usize {
        self.accepting_threads.load(Ordering::Relaxed)
    }

    /// Reports that a traffic thread has closed its listener, and that it counts the connections
    /// that it accepted last as in flight.
    pub(crate) async fn report_listener_closed(&self) {
        // What the other threads have counted is known to the last one.
        if self.accepting_threads.fetch_sub(1, Ordering::AcqRel) == 1 {
            // Fails only while the control loop stops.
            let _ = self.control.send(ControlInput::ListenersClosed).await;
        }
    }

    /// Store position of the known state; `None` before the first read.
    pub(crate) fn known_position(&self) -> Option<StorePosition> {
        self.known_position.load().as_deref().copied()
    }

    pub(crate) fn set_known_position(&self, position: StorePosition) {
        let known = (position > StorePosition::ZERO).then(|| Arc::new(position));
        self.known_position.store(known);
    }

    /// Newest known era of the store.
    pub(crate) fn store_era(&self) -> StoreEra {
        self.eras.borrow().known()
    }

    /// Waits until the store is known to have been restored since `era`.
    pub(crate) async fn wait_for_era_after(&self, era: StoreEra) {
        let mut eras = self.eras.subscribe();
        // The sender lives as long as `self`.
        let passed = eras.wait_for(|it| it.known() > era).await;
        drop(passed);
    }

    /// Records the era that the store, or a node that it serves, has stated.
    pub(crate) fn observe_era(&self, reading: &EraReading, source: &str) -> EraFinding {
        let mut finding = EraFinding::Current;
        self.eras.send_if_modified(|eras| {
            finding = eras.observe(reading);
            matches!(finding, EraFinding::Restored { .. })
        });
        match finding {
            EraFinding::Restored { earlier } => {
                self.metrics.increment(RelayCounter::StoreRestores);
                log::warn!(
                    era = self.store_era().get(),
                    earlier = earlier.get(),
                    source = source;
                    "store restored"
                );
            }
            EraFinding::Unreadable { is_first: true } => log::warn!(
                stated:? = reading,
                known = self.store_era().get(),
                source = source;
                "era of the store can't be read"
            ),
            EraFinding::Current | EraFinding::Late | EraFinding::Unreadable { .. } => {}
        }
        finding
    }

    /// Records that the known state was confirmed; an earlier time has no effect.
    pub(crate) fn record_confirmation(&self, at: MonoTime) {
        self.confirmed_at.fetch_max(at.get(), Ordering::Relaxed);
    }

    /// Time since the known state was last confirmed.
    pub(crate) fn confirmed_age(&self) -> Micros {
        self.now()
            .since(MonoTime::new(self.confirmed_at.load(Ordering::Relaxed)))
    }

    /// Records whether calls to the store fail; returns the previous value.
    pub(crate) fn set_store_failing(&self, is_failing: bool) -> bool {
        self.store_failing.swap(is_failing, Ordering::Relaxed)
    }

    /// Age up to which the known state counts as fresh. While no call fails, a pending
    /// watch extends `limit`, because it would have reported a change.
    pub(crate) fn freshness_limit(&self, limit: Millis) -> Millis {
        match self.store_failing.load(Ordering::Relaxed) {
            true => limit,
            false => limit.saturating_add(self.watch_wait()),
        }
    }

    /// Whether this node keeps up with the store: no call fails, and the last response
    /// is no older than one watch with its pause.
    pub(crate) fn is_store_current(&self) -> bool {
        let max_age = self.watch_pause().saturating_add(STORE_LATENCY_MARGIN_MS);
        let is_failing = self.store_failing.load(Ordering::Relaxed);
        !is_failing && self.confirmed_age() < self.freshness_limit(max_age).micros()
    }

    /// Maximum wait of a watch for a change.
    pub(crate) fn watch_wait(&self) -> Millis {
        self.percent_of_bound(WATCH_WAIT_PERCENT)
    }

    /// Pause between the response to a watch and the next watch.
    pub(crate) fn watch_pause(&self) -> Millis {
        self.percent_of_bound(WATCH_PAUSE_PERCENT)
    }

    /// The shorter propagation bound: by then changes in the store are known.
    pub(crate) fn change_bound(&self) -> Millis {
        let bounds = self.settings.load().bounds;
        bounds.configuration_ms.min(bounds.leaving_ms)
    }

    fn percent_of_bound(&self, percent: u64) -> Millis {
        Millis::new(self.change_bound().get() * percent / 100)
    }

    /// Whether the configuration is recent enough to reject an unknown route or key:
    /// its age is below the propagation bound for changes.
    pub(crate) fn is_configuration_fresh(&self) -> bool {
        let limit = self.settings.load().bounds.configuration_ms;
        self.confirmed_age() < self.freshness_limit(limit).micros()
    }
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlightGuard(Arc<Shared>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let previous = self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
        let is_stopping = self.0.phase() > LifecyclePhase::Serving;
        if previous == 1 && is_stopping {
            // If the queue is full, the control thread notices at its next deadline.
            let _ = self.0.control.try_send(ControlInput::Idle);
        }
    }
}

/// Counts a request as unanswered until it is dropped.
pub(crate) struct UnansweredGuard(Arc<Shared>);

impl Drop for UnansweredGuard {
    fn drop(&mut self) {
        let now = self.0.now().get();
        self.0.answered_at.fetch_max(now, Ordering::Relaxed);
        // Whoever sees the count also sees the time.
        self.0.unanswered.fetch_sub(1, Ordering::Release);
    }
}

/// First request of a connection, until it is read.
pub(crate) struct AwaitedRequest {
    pub(crate) in_flight: InFlightGuard,
    _unread: UnreadGuard,
}

/// Counts a connection as unread until it is dropped.
struct UnreadGuard(Arc<Shared>);

impl Drop for UnreadGuard {
    fn drop(&mut self) {
        self.0.unread_connections.fetch_sub(1, Ordering::Relaxed);
    }
}
