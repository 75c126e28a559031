//! The control thread of a relay: one loop that owns what the node knows and
//! its life.
//!
//! Tasks on the same thread call the store and other nodes and send what they
//! learn as [`ControlInput`]; only the loop changes the state.

mod knowledge;
mod peers;
mod probes;
mod rollouts;
mod settings_file;
mod store_tasks;

use std::{
    future::IntoFuture,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    sync::Arc,
};

use parsleylatch_decide::relay::{RelayEffect, RelayEvent, RelayLife};
use parsleylatch_http::{NodelayListener, serve};
use parsleylatch_peer::{Identity, LinkEvent};
use parsleylatch_runtime::Clock;
use parsleylatch_settings::RelaySettings;
use parsleylatch_types::{Incarnation, MonoTime};
use parsleylatch_wire::{peer::peer_message::Body, relay::RelayAsk};
use tokio::{
    runtime::Runtime,
    signal::unix::{SignalKind, signal},
    sync::mpsc,
    task::LocalSet,
};
use viz::Router;

use crate::{
    input::ControlInput,
    shared::{Shared, StopPhase},
    telemetry::{self, RelayCounter},
};
use knowledge::Knowledge;
use rollouts::RolloutControl;

/// Questions of other nodes that may wait.
const LINK_EVENT_BUFFER: usize = 256;

/// Sockets that the control thread serves.
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
        control(Arc::clone(&shared), inputs, listeners, settings_file),
    );
    // Connections of callers may outlive the loop by the reason of their end.
    shared.phase.send_replace(StopPhase::Stopped);
}

async fn control(
    shared: Arc<Shared>,
    mut inputs: mpsc::Receiver<ControlInput>,
    listeners: Listeners,
    settings_file: Option<PathBuf>,
) {
    let identity = own_identity(&shared.settings.load());
    let (events, mut link_events) = mpsc::channel(LINK_EVENT_BUFFER);
    start_listeners(&shared, &listeners);
    match tokio::net::TcpListener::from_std(listeners.peer) {
        Ok(listener) => {
            let serving = parsleylatch_peer::serve(listener, identity.clone(), events);
            tokio::task::spawn_local(serving);
        }
        Err(error) => log::error!(error:% = error; "peer listener can't be registered"),
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
            Some(event) = link_events.recv() => state.handle_link(event),
            () = clock.sleep_until(Some(deadline)) => state.expire(),
        }
    }
}

fn own_identity(settings: &RelaySettings) -> Identity {
    Identity {
        node_id: settings.node_id.clone(),
        incarnation: Incarnation::new(Clock::unix_now().get()),
        failure_domain: settings.failure_domain.clone(),
        region: settings.region.clone(),
    }
}

fn start_listeners(shared: &Arc<Shared>, listeners: &Listeners) {
    let routers = [
        (&listeners.ready, probes::ready_router(shared), "ready"),
        (
            &listeners.metrics,
            probes::metrics_router(shared),
            "metrics",
        ),
    ];
    for (listener, router, name) in routers {
        if let Err(error) = start_listener(listener, router) {
            log::error!(listener = name, error:% = error; "listener can't be registered");
        }
    }
}

fn start_listener(listener: &TcpListener, router: Router) -> std::io::Result<()> {
    let listener = NodelayListener::from_std(listener.try_clone()?)?;
    tokio::spawn(serve(listener, router).into_future());
    Ok(())
}

async fn stop_on_signal(shared: Arc<Shared>) {
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => {
            terminate.recv().await;
            // The loop runs as long as this task.
            let _ = shared.control.send(ControlInput::StopRequested).await;
        }
        Err(error) => log::error!(error:% = error; "stop signals can't be received"),
    }
}

/// What the loop owns.
struct ControlState {
    shared: Arc<Shared>,
    identity: Identity,
    knowledge: Knowledge,
    rollouts: RolloutControl,
    peers: peers::Peers,
    life: RelayLife,
    is_stopped: bool,
}

impl ControlState {
    fn new(shared: Arc<Shared>, identity: Identity) -> Self {
        let now = shared.now();
        let stop_ms = shared.settings.load().bounds.stop_ms;
        Self {
            knowledge: Knowledge::new(Arc::clone(&shared)),
            rollouts: RolloutControl::new(Arc::clone(&shared), &identity),
            peers: peers::Peers::new(Arc::clone(&shared), identity.clone(), now),
            life: RelayLife::new(now, stop_ms),
            shared,
            identity,
            is_stopped: false,
        }
    }

    fn next_deadline(&self) -> MonoTime {
        let life = self.life.next_deadline();
        let peers = self.peers.next_deadline();
        let rollouts = self.rollouts.next_deadline();
        life.into_iter().chain(rollouts).fold(peers, MonoTime::min)
    }

    fn handle(&mut self, input: ControlInput) {
        let now = self.shared.now();
        match input {
            ControlInput::Listing(listing, started_at) => {
                self.peers.take_listing(&listing.entries);
                self.rollouts.note_documents(&listing.entries);
                self.knowledge.take_listing(listing, started_at);
                self.rollouts.take_noted(&self.knowledge);
            }
            ControlInput::Changes(changes, known_at) => {
                self.peers.take_changes(&changes);
                self.rollouts.note_documents(&changes.entries);
                self.knowledge.take_changes(changes, known_at);
                self.rollouts.take_noted(&self.knowledge);
            }
            ControlInput::Nodes(listing, known) => {
                self.peers.take_listing(&listing.entries);
                self.peers.ask_at_once(now);
                self.ask_others();
                // A task that has ended needs no word.
                let _ = known.send(());
            }
            ControlInput::PeerSilent(address) => self.peers.note_silence(now, address),
            ControlInput::StoreFailed => self.knowledge.note_failure(now),
            ControlInput::PeerState(state, asked_at) => {
                self.peers.note_word(now, state.reads_store);
                if !state.near.is_empty() {
                    self.peers.take_changes(&Knowledge::referred(&state));
                    self.peers.ask_at_once(now);
                }
                if let Some(told) = self.knowledge.newer_entries(&state) {
                    match state.is_whole {
                        true => self.peers.take_listing(&told.entries),
                        false => self.peers.take_changes(&told),
                    }
                    self.rollouts.note_documents(&told.entries);
                    self.knowledge.take_told(told, state.is_whole);
                    self.rollouts.take_noted(&self.knowledge);
                }
                self.rollouts.merge(&state.rollouts);
                self.knowledge.take_peer_state(&state, asked_at);
            }
            ControlInput::Trial(trial) => self.rollouts.take_trial(&trial),
            ControlInput::Settings(settings) => self.take_settings(*settings),
            ControlInput::Idle => {}
            ControlInput::StopRequested => {
                log::info!(in_flight = self.shared.in_flight(); "stop requested");
                self.step_life(RelayEvent::StopRequested);
            }
        }
        self.publish();
    }

    fn publish(&mut self) {
        self.knowledge
            .publish(self.peers.nodes(), self.rollouts.rules());
        if self.knowledge.is_informed() {
            self.step_life(RelayEvent::Initialized);
        }
        if self.shared.in_flight() == 0 {
            self.step_life(RelayEvent::Idle);
        }
    }

    fn take_settings(&mut self, settings: RelaySettings) {
        if !settings.has_same_listeners(&self.shared.settings.load()) {
            log::warn!("settings name other listeners; they count from the next start");
        }
        self.life.set_stop_limit(settings.bounds.stop_ms);
        self.shared.settings.store(Arc::new(settings));
        log::info!("settings reloaded");
    }

    fn handle_link(&mut self, event: LinkEvent) {
        let LinkEvent::Received(received) = event else {
            return;
        };
        match received.body {
            Body::RelayAsk(ask) => {
                self.rollouts.merge(&ask.rollouts);
                let is_informed = ask.registry_revision > 0;
                let near = match is_informed {
                    true => Vec::new(),
                    false => self.peers.referral(&received.from),
                };
                let others = self.peers.entries().chain(self.rollouts.documents());
                let metrics = &self.shared.metrics;
                let mut state = if near.is_empty() {
                    metrics.increment(RelayCounter::PeerAnswers);
                    self.knowledge.state_for(&ask, others)
                } else {
                    metrics.increment(RelayCounter::PeerReferrals);
                    Knowledge::referral_to(&near)
                };
                state.reads_store =
                    *self.shared.reads_store.borrow() && self.shared.is_read_in_turn();
                if state.reads_store {
                    // A watch that waits would have told of a change.
                    let pause_ms = self.shared.watch_pause().get();
                    state.age_ms = state.age_ms.min(pause_ms);
                }
                state.rollouts = self.rollouts.messages();
                if !received.reply.send(Body::RelayState(state)) {
                    log::debug!("the asking node has gone");
                }
            }
            _ => log::debug!(from:% = received.from.node_id; "unexpected message"),
        }
    }

    fn expire(&mut self) {
        let now = self.shared.now();
        let effects = self.life.expire(now);
        self.carry_out(effects);
        self.knowledge.expire(now);
        self.rollouts.expire();
        self.ask_others();
        self.publish();
    }

    fn ask_others(&mut self) {
        let now = self.shared.now();
        let is_needed = self.knowledge.is_cut_off(now) || self.rollouts.is_open();
        self.peers.expire(now, is_needed, || RelayAsk {
            rollouts: self.rollouts.messages(),
            ..self.knowledge.question()
        });
    }

    fn step_life(&mut self, event: RelayEvent) {
        let effects = self.life.handle(self.shared.now(), event);
        self.carry_out(effects);
    }

    fn carry_out(&mut self, effects: Vec<RelayEffect>) {
        for effect in effects {
            match effect {
                RelayEffect::AnnounceReady => {
                    self.shared.phase.send_replace(StopPhase::Serving);
                    log::info!(
                        node:% = self.identity.node_id,
                        after_ms = self.shared.now().since(MonoTime::ZERO).millis().get();
                        "ready"
                    );
                }
                RelayEffect::AnnounceNotReady => {
                    let now = self.shared.now();
                    self.shared.set_end(self.life.stop_deadline(now));
                    self.shared.phase.send_replace(StopPhase::Noticing);
                }
                RelayEffect::CloseIdle => {
                    self.shared.phase.send_replace(StopPhase::Finishing);
                }
                RelayEffect::Stop => {
                    self.is_stopped = true;
                    log::info!(in_flight = self.shared.in_flight(); "stopped");
                    telemetry::flush_log();
                }
            }
        }
    }
}
