//! Liveness of a journal peer: its link, and whether it acknowledges batches.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::MonoTime;

use super::owner::exceeds_pause_threshold;
use crate::charts::{self, LazyMachine};

chart_names! {
    /// States of a journal peer.
    pub enum PeerState {
        /// The link is down.
        Down,
        /// All batches are acknowledged.
        Idle,
        /// A batch is not acknowledged yet.
        AwaitingAck,
        /// A batch was not acknowledged in time.
        Suspect,
    }
}

chart_names! {
    /// Events of a journal peer.
    pub enum PeerEvent {
        /// The link was established.
        LinkUp,
        /// The link was lost.
        LinkDown,
        /// A batch was sent.
        BatchSent,
        /// A batch was acknowledged.
        Acked,
        /// The timeout of the state expired.
        TimedOut,
    }
}

#[derive(Default)]
struct PeerContext {
    now: MonoTime,
    deadline: Option<MonoTime>,
    unacked_batches: u64,
    usable: Option<bool>,
}

static MACHINE: LazyMachine<PeerState, PeerEvent, PeerContext> = LazyMachine::new(|| {
    let bindings = Bindings::<PeerContext>::new()
        .guard("has_unacked", |it| it.unacked_batches > 0)
        .guard("was_paused", |it| {
            exceeds_pause_threshold(it.now, it.deadline)
        })
        .action("announce_usable", |it| it.usable = Some(true))
        .action("announce_unusable", |it| it.usable = Some(false));
    charts::compile(charts::PEER, &bindings)
});

fn machine() -> &'static Machine<PeerState, PeerEvent, PeerContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

/// Liveness of one journal peer.
pub struct PeerLiveness {
    instance: Instance<PeerState>,
    context: PeerContext,
}

impl PeerLiveness {
    /// Creates a peer whose link is down.
    pub fn new(now: MonoTime) -> Self {
        let mut context = PeerContext::default();
        let instance = machine().start(now, &mut context);
        Self { instance, context }
    }

    /// Current state.
    pub fn state(&self) -> PeerState {
        self.instance.state()
    }

    /// Whether the peer can hold new journals.
    pub fn is_usable(&self) -> bool {
        matches!(
            self.instance.state(),
            PeerState::Idle | PeerState::AwaitingAck
        )
    }

    /// Whether the link to the peer is up.
    pub fn is_linked(&self) -> bool {
        self.instance.state() != PeerState::Down
    }

    /// Time at which [`PeerLiveness::expire`] must be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    /// Applies an event; returns whether the peer is usable if that changed.
    pub fn handle(&mut self, now: MonoTime, event: PeerEvent) -> Option<bool> {
        let context = &mut self.context;
        match event {
            PeerEvent::BatchSent => context.unacked_batches += 1,
            PeerEvent::Acked => {
                context.unacked_batches = context.unacked_batches.saturating_sub(1);
            }
            PeerEvent::LinkUp => context.unacked_batches = 0,
            PeerEvent::LinkDown | PeerEvent::TimedOut => {}
        }
        machine().step(&mut self.instance, now, event, context);
        context.usable.take()
    }

    /// Handles an expired deadline; returns whether the peer is usable if that changed.
    pub fn expire(&mut self, now: MonoTime) -> Option<bool> {
        self.context.now = now;
        self.context.deadline = self.instance.next_deadline();
        machine().expire(&mut self.instance, now, &mut self.context);
        self.context.usable.take()
    }
}
