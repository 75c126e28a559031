//! Another node as a possible journal peer: linked, answering, or passed over.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::MonoTime;

use super::owner::exceeds_pause_threshold;
use crate::charts::{self, LazyMachine};

chart_names! {
    /// States of a peer.
    pub enum PeerState {
        /// There is no link.
        Down,
        /// It owes no answer.
        Idle,
        /// It owes an answer.
        AwaitingAck,
        /// It does not answer.
        Suspect,
    }
}

chart_names! {
    /// Events of a peer.
    pub enum PeerEvent {
        /// The link can be used.
        LinkUp,
        /// The link is gone.
        LinkDown,
        /// A batch was sent.
        BatchSent,
        /// A batch was answered.
        Acked,
        /// The state lasted its longest time.
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

/// Life of one peer.
pub struct PeerLiveness {
    instance: Instance<PeerState>,
    context: PeerContext,
}

impl PeerLiveness {
    /// A peer without a link.
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

    /// Whether there is a link to the peer.
    pub fn is_linked(&self) -> bool {
        self.instance.state() != PeerState::Down
    }

    /// Time at which [`PeerLiveness::expire`] has to be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    /// Handles an event; tells whether the peer became usable or is lost.
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

    /// Handles a deadline that has passed.
    pub fn expire(&mut self, now: MonoTime) -> Option<bool> {
        self.context.now = now;
        self.context.deadline = self.instance.next_deadline();
        machine().expire(&mut self.instance, now, &mut self.context);
        self.context.usable.take()
    }
}
