//! The control thread of a relay: one loop that owns the cluster state and the
//! lifecycle of the node.
//!
//! Tasks on the same thread call the store and other nodes and send the results as
//! [`ControlInput`]; only the loop changes the state.

mod cluster_log;
mod cluster_state;
mod crash_evidence;
mod documents;
mod peers;
mod rollouts;
mod settings_file;
mod status_routes;
mod store_tasks;

use std::{
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    sync::Arc,
    time::Duration,
};

use parsleylatch_decide::{
    relay::{MemoryPlan, RelayEffect, RelayEvent, RelayLifecycle},
    store_eras::EraFinding,
};
use parsleylatch_http::{NodelayListener, serve_status};
use parsleylatch_peer::{Identity, LinkEvent, ServeLimits};
use parsleylatch_runtime::{Clock, ConnectionEvent};
use parsleylatch_settings::RelaySettings;
use parsleylatch_types::{ByteCount, EraReading, Incarnation, MonoTime};
use parsleylatch_wire::{
    peer::peer_message::Body,
    relay::{RelayQuery, RelayState},
};
use tokio::{
    runtime::Runtime,
    signal::unix::{SignalKind, signal},
    sync::mpsc,
    task::LocalSet,
};
use viz::Router;

use crate::{
    input::ControlInput,
    shared::{LifecyclePhase, Shared},
    telemetry::RelayCounter,
};
use cluster_state::ClusterState;
use crash_evidence::CrashController;
pub(crate) use documents::DocumentSet;
use rollouts::RolloutController;

/// Capacity of the queue of other nodes' queries.
const LINK_EVENT_QUEUE_CAPACITY: usize = 64;
/// Limits on connections from other nodes. Each carries one query, and its reply may be the
/// full state.
const PEER_LIMITS: ServeLimits = ServeLimits {
    connections: 64,
    frame: ByteCount::new(4 << 20),
    replies: 1,
    lifetime: Some(Duration::from_secs(10)),
};

/// Listening sockets that the control thread serves.
pub(crate) struct Listeners {
    pub(crate) ready: TcpListener,
    pub(crate) peer: TcpListener,
    pub(crate) metrics: TcpListener,
    pub(crate) peer_address: SocketAddr,
}

/// Runs the control thread until the relay has stopped.
pub(crate) fn run(
    runtime: &Runtime,
    shared: Arc<Shared>,
    inputs: mpsc::Receiver<ControlInput>,
    listeners: Listeners,
    settings_file: Option<PathBuf>,
) {
    let local = LocalSet::new();
    local.block_on(
        runtime,
        control_loop(Arc::clone(&shared), inputs, listeners, settings_file),
    );
    // Tells the traffic threads to end, as they may still have open connections.
    shared.phase.send_replace(LifecyclePhase::Stopped);
}

async fn control_loop(
    shared: Arc<Shared>,
    mut inputs: mpsc::Receiver<ControlInput>,
    listeners: Listeners,
    settings_file: Option<PathBuf>,
) {
    let identity = local_identity(&shared.settings.load());
    let (events, mut link_events) = mpsc::channel(LINK_EVENT_QUEUE_CAPACITY);
    start_listeners(&shared, &listeners);
    match tokio::net::TcpListener::from_std(listeners.peer) {
        Ok(listener) => {
            let observe = connection_observer(&shared);
            let own = identity.clone();
            let serving = parsleylatch_peer::serve(listener, own, events, PEER_LIMITS, observe);
            tokio::task::spawn_local(serving);
        }
        Err(error) => log::error!(error:% = error; "registering the peer listener failed"),
    }
    store_tasks::start(&shared, listeners.peer_address);
    if let Some(file) = settings_file {
        tokio::task::spawn_local(settings_file::watch(Arc::clone(&shared), file));
    }
    tokio::task::spawn_local(stop_on_signal(Arc::clone(&shared)));
    let mut state = ControlState::new(shared, identity);
    while !state.is_stopped {
        let deadline = state.next_deadline();
        let clock = state.shared.clock;
        tokio::select! {
            Some(input) = inputs.recv() => state.handle(input),
            Some(event) = link_events.recv() => state.handle_peer_query(event),
            () = clock.sleep_until(Some(deadline)) => state.expire(),
        }
    }
}

fn local_identity(settings: &RelaySettings) -> Identity {
    Identity {
        node_id: settings.node_id.clone(),
        incarnation: Incarnation::new(Clock::unix_now().get()),
        failure_domain: settings.failure_domain.clone(),
        region: settings.region.clone(),
    }
}

fn start_listeners(shared: &Arc<Shared>, listeners: &Listeners) {
    let routers = [
        (
            &listeners.ready,
            status_routes::ready_router(shared),
            "ready",
        ),
        (
            &listeners.metrics,
            status_routes::metrics_router(shared),
            "metrics",
        ),
    ];
    for (listener, router, name) in routers {
        if let Err(error) = start_listener(shared, listener, router, name) {
            log::error!(listener = name, error:% = error; "registering a listener failed");
        }
    }
}

fn start_listener(
    shared: &Arc<Shared>,
    listener: &TcpListener,
    router: Router,
    name: &'static str,
) -> std::io::Result<()> {
    let listener = NodelayListener::from_std(listener.try_clone()?)?;
    let observer = connection_observer(shared);
    tokio::spawn(serve_status(listener, router, name, observer));
    Ok(())
}

/// Counts what happens to connections at the limit of a listener.
fn connection_observer(
    shared: &Arc<Shared>,
) -> impl Fn(ConnectionEvent) + Send + Sync + use<> + 'static {
    let shared = Arc::clone(shared);
    move |event| shared.metrics.increment(event.into())
}

async fn stop_on_signal(shared: Arc<Shared>) {
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => {
            terminate.recv().await;
            // The loop outlives this task.
            let _ = shared.control.send(ControlInput::StopRequested).await;
        }
        Err(error) => log::error!(error:% = error; "installing the SIGTERM handler failed"),
    }
}

/// State of the control loop.
struct ControlState {
    shared: Arc<Shared>,
    identity: Identity,
    cluster: ClusterState,
    rollouts: RolloutController,
    crashes: CrashController,
    peers: peers::Peers,
    lifecycle: RelayLifecycle,
    is_stopped: bool,
}

impl ControlState {
    fn new(shared: Arc<Shared>, identity: Identity) -> Self {
        let now = shared.now();
        let stop_ms = shared.settings.load().bounds.stop_ms;
        Self {
            cluster: ClusterState::new(Arc::clone(&shared)),
            rollouts: RolloutController::new(Arc::clone(&shared), &identity),
            crashes: CrashController::new(Arc::clone(&shared)),
            peers: peers::Peers::new(Arc::clone(&shared), identity.clone(), now),
            lifecycle: RelayLifecycle::new(now, stop_ms),
            shared,
            identity,
            is_stopped: false,
        }
    }

    fn next_deadline(&self) -> MonoTime {
        let lifecycle = self.lifecycle.next_deadline();
        let peers = self.peers.next_deadline();
        let rollouts = self.rollouts.next_deadline();
        lifecycle
            .into_iter()
            .chain(rollouts)
            .chain(self.crashes.next_deadline())
            .fold(peers, MonoTime::min)
    }

    fn handle(&mut self, input: ControlInput) {
        let now = self.shared.now();
        match input {
            ControlInput::Listing(read, _) | ControlInput::Changes(read, _)
                if read.position.era < self.shared.store_era() =>
            {
                log::info!(
                    revision = read.position.revision.get(),
                    era = read.position.era.get();
                    "documents of an earlier era ignored"
                );
            }
            ControlInput::Listing(read, at) | ControlInput::Changes(read, at)
                if self.cluster.is_outdated(&read) =>
            {
                self.cluster.record_outdated(at);
            }
            ControlInput::Listing(listing, started_at) => {
                self.prepare_listing(now, &listing);
                self.cluster.apply_listing(listing, started_at);
                self.rollouts.apply_recorded(&self.cluster);
            }
            ControlInput::Changes(changes, known_at) => {
                self.peers.apply_changes(now, &changes);
                self.rollouts.record_documents(&changes.documents);
                self.cluster.apply_changes(changes, known_at);
                self.rollouts.apply_recorded(&self.cluster);
            }
            ControlInput::Nodes(listing, applied) => {
                self.peers.apply_listing(&listing.documents);
                self.peers.poll_now(now);
                self.poll_peers();
                // The receiver is gone only if the task has ended.
                let _ = applied.send(());
            }
            ControlInput::PeerUnresponsive(address) => self.peers.record_no_response(now, address),
            ControlInput::StoreFailed => self.cluster.record_store_failure(now),
            ControlInput::PeerState(state, sent_at) => self.apply_peer_state(&state, sent_at),
            ControlInput::Trial(trial) => self.rollouts.record_trial(&trial),
            ControlInput::TrialStarted(number, trial) => self.rollouts.start_trial(number, *trial),
            ControlInput::TrialEnded(number, latency) => self.rollouts.end_trial(number, latency),
            ControlInput::TrialAbandoned(number) => self.rollouts.abandon_trial(number),
            ControlInput::EndpointCrashed(key, prompt) => self.crashes.record_crash(&key, &prompt),
            ControlInput::AnswerUnderWay(at, parts) => self.crashes.record_answer(at, &parts),
            ControlInput::PartRefused(part) => self.crashes.record_refusal(&part),
            ControlInput::Settings(settings) => self.apply_settings(*settings),
            ControlInput::ListenersClosed => self.step_lifecycle(RelayEvent::ListenersClosed),
            ControlInput::Idle => {}
            ControlInput::StopRequested => {
                log::info!(in_flight = self.shared.in_flight(); "stop requested");
                self.step_lifecycle(RelayEvent::StopRequested);
            }
        }
        self.publish();
    }

    /// Applies the nodes, orders and statuses of a full listing.
    fn prepare_listing(&mut self, now: MonoTime, listing: &DocumentSet) {
        if self.cluster.is_restored_by(listing) {
            self.peers.apply_restored(now, &listing.documents);
            self.rollouts.confirm_statuses();
        } else {
            self.peers.apply_listing(&listing.documents);
        }
        self.rollouts.record_documents(&listing.documents);
    }

    fn apply_peer_state(&mut self, state: &RelayState, sent_at: MonoTime) {
        let now = self.shared.now();
        // A node without any state states no era.
        let has_era = state.registry_revision > 0;
        let is_usable = !has_era || self.observe_peer_era(state.store_era);
        let reads_store = state.reads_store && is_usable;
        self.peers.record_response(now, reads_store);
        if !state.same_region_nodes.is_empty() {
            let referred = ClusterState::referred_entries(state);
            self.peers.apply_changes(now, &referred);
            self.peers.poll_now(now);
        }
        // Crashes do not come from the store.
        self.crashes.merge_response(&state.crashes);
        if !is_usable {
            log::info!(
                era = state.store_era,
                known = self.shared.store_era().get();
                "reply of an earlier era ignored"
            );
            return;
        }
        if let Some(newer) = self.cluster.newer_entries(state) {
            match state.is_complete {
                true => self.prepare_listing(now, &newer),
                false => {
                    self.peers.apply_changes(now, &newer);
                    self.rollouts.record_documents(&newer.documents);
                }
            }
            self.cluster.apply_peer_entries(newer, state.is_complete);
            self.rollouts.apply_recorded(&self.cluster);
        }
        self.rollouts.merge(&state.rollouts);
        self.cluster.apply_peer_state(state, sent_at);
    }

    /// Records the era that another node states; returns whether its documents may be used.
    fn observe_peer_era(&self, era: u64) -> bool {
        let finding = self.shared.observe_era(&EraReading::of_number(era), "peer");
        match finding {
            EraFinding::Current | EraFinding::Restored { .. } => true,
            EraFinding::Late | EraFinding::Unreadable { .. } => false,
        }
    }

    fn publish(&mut self) {
        self.cluster.publish(
            self.peers.nodes(),
            self.rollouts.rules(),
            self.crashes.verdicts(),
        );
        if self.cluster.is_initialized() && self.is_informed() {
            self.step_lifecycle(RelayEvent::Initialized);
        }
        if self.shared.in_flight() == 0 {
            self.step_lifecycle(RelayEvent::Idle);
        }
    }

    /// Whether other nodes' evidence on crashes is known, as far as there are any.
    fn is_informed(&mut self) -> bool {
        if self.peers.nodes().len() <= 1 {
            return true;
        }
        if self.crashes.start_wait() {
            self.peers.poll_now(self.shared.now());
        }
        self.crashes.is_informed()
    }

    fn apply_settings(&mut self, settings: RelaySettings) {
        if !settings.has_same_listeners(&self.shared.settings.load()) {
            log::warn!("settings change the listen addresses; they take effect after a restart");
        }
        self.lifecycle.set_stop_limit(settings.bounds.stop_ms);
        let plan = MemoryPlan::new(settings.memory);
        self.shared.body_memory.set_limit(plan.bodies);
        self.shared.settings.store(Arc::new(settings));
        self.shared.caller_places.close_excess(&self.shared);
        log::info!("settings reloaded");
    }

    fn handle_peer_query(&mut self, event: LinkEvent) {
        let LinkEvent::Received(received) = event else {
            return;
        };
        match received.body {
            Body::RelayQuery(query) => {
                self.rollouts.merge(&query.rollouts);
                self.crashes.merge(&query.crashes);
                let has_registry = query.registry_revision > 0;
                let era = self.shared.store_era();
                if has_registry
                    && self.observe_peer_era(query.store_era)
                    && self.shared.store_era() > era
                {
                    let now = self.shared.now();
                    self.peers.query_informed(now, &received.from.node_id);
                }
                let near = match has_registry {
                    true => Vec::new(),
                    false => self.peers.referral(&received.from),
                };
                let others = self.peers.entries().chain(self.rollouts.documents());
                let metrics = &self.shared.metrics;
                let mut state = if near.is_empty() {
                    metrics.increment(RelayCounter::PeerAnswers);
                    self.cluster.state_for(&query, others)
                } else {
                    metrics.increment(RelayCounter::PeerReferrals);
                    ClusterState::referral_to(&near)
                };
                state.reads_store = *self.shared.reads_store.borrow()
                    && self.shared.is_store_current()
                    && !self.cluster.is_in_earlier_era();
                if state.reads_store {
                    // A pending watch would have reported a change.
                    let pause_ms = self.shared.watch_pause().get();
                    state.age_ms = state.age_ms.min(pause_ms);
                }
                state.rollouts = self.rollouts.evidence_messages();
                self.crashes.add_to_state(&query, &mut state);
                if !received.reply.send(Body::RelayState(state)) {
                    log::debug!("peer disconnected before the response");
                }
            }
            _ => log::debug!(from:% = received.from.node_id; "unexpected message from a peer"),
        }
    }

    fn expire(&mut self) {
        let now = self.shared.now();
        self.lifecycle.set_activity(self.shared.activity());
        let effects = self.lifecycle.expire(now);
        self.apply_effects(effects);
        self.cluster.expire(now);
        self.rollouts.expire(&self.cluster);
        self.crashes.expire();
        self.poll_peers();
        self.publish();
    }

    fn poll_peers(&mut self) {
        let now = self.shared.now();
        let shares_evidence = self.rollouts.is_open() || self.crashes.needs_peers();
        let is_needed = self.cluster.is_stale(now) || shares_evidence;
        self.peers.expire(now, is_needed, || {
            let mut query = RelayQuery {
                rollouts: self.rollouts.evidence_messages(),
                ..self.cluster.peer_query()
            };
            self.crashes.add_to_query(&mut query);
            query
        });
    }

    fn step_lifecycle(&mut self, event: RelayEvent) {
        self.lifecycle.set_activity(self.shared.activity());
        let effects = self.lifecycle.handle(self.shared.now(), event);
        self.apply_effects(effects);
    }

    fn apply_effects(&mut self, effects: Vec<RelayEffect>) {
        for effect in effects {
            match effect {
                RelayEffect::AnnounceReady => {
                    self.shared.phase.send_replace(LifecyclePhase::Serving);
                    log::info!(
                        node:% = self.identity.node_id,
                        after_ms = self.shared.now().since(MonoTime::ZERO).millis().get();
                        "ready"
                    );
                }
                RelayEffect::AnnounceNotReady => {
                    if let Some(deadline) = self.lifecycle.response_deadline() {
                        self.shared.set_response_deadline(deadline);
                    }
                    if let Some(end) = self.lifecycle.accepts_until() {
                        self.shared.set_accepts_until(end);
                    }
                    if let Some(due) = self.lifecycle.log_written_by() {
                        self.shared.set_log_written_by(due);
                    }
                    self.shared
                        .set_accepts_streams_until(self.lifecycle.accepts_streams_until());
                    self.shared.phase.send_replace(LifecyclePhase::NotReady);
                }
                RelayEffect::CloseIdle => {
                    self.shared.phase.send_replace(LifecyclePhase::Draining);
                }
                RelayEffect::StopAccepting => {
                    self.shared.phase.send_replace(LifecyclePhase::Closing);
                }
                RelayEffect::Stop => {
                    self.is_stopped = true;
                    log::info!(
                        in_flight = self.shared.in_flight(),
                        closed_unread = self.shared.closed_unread(),
                        open_unread = self.shared.unread_connections(),
                        open_listeners = self.shared.accepting_threads();
                        "stopped"
                    );
                }
            }
        }
    }
}
