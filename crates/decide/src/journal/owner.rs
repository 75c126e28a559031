//! The owner's side of a journal: which peer holds it, and what it holds.
//!
//! A timeout is trusted only if this process ran while it passed. A node that
//! was frozen hears its peer first, because another node may own the generation
//! by then.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Micros, Millis, MonoTime, NodeId, OwnerEpoch, TokenIndex};

use super::{CloseReason, JournalStatus};
use crate::charts::{self, LazyMachine};

/// Journal peers that are tried in a row.
const MAX_PEERS_TRIED: usize = 3;
/// Lateness from which this process counts as frozen meanwhile: well below the time
/// after which another node may own the generation, and above a busy loop's.
pub const PAUSE_THRESHOLD_MS: Millis = Millis::new(150);

chart_names! {
    /// States of a journal at its owner.
    pub enum JournalState {
        /// Looks for a peer.
        Choosing,
        /// No peer can take it now.
        Waiting,
        /// The whole was sent to a new peer.
        Opening,
        /// The peer has every token.
        Held,
        /// The peer has not confirmed every token.
        Pending,
        /// The process was frozen; the peer is to be asked again.
        Revalidating,
        /// Nobody holds it.
        Unheld,
        /// Another node owns the generation.
        Superseded,
        /// It is needed no longer.
        Closed,
    }
}

chart_names! {
    /// Events of a journal at its owner.
    pub enum JournalEvent {
        /// A peer was chosen.
        PeerChosen,
        /// No peer can take it.
        NoPeer,
        /// The owner has more tokens.
        TokensAccepted,
        /// The peer confirmed tokens.
        Acked,
        /// The peer can't hold it.
        Refused,
        /// The peer knows a later owner.
        StaleEpoch,
        /// The peer can't be reached.
        PeerLost,
        /// The process was frozen and runs again.
        PauseDetected,
        /// The state lasted its longest time.
        TimedOut,
        /// It is needed no longer.
        Close,
    }
}

/// What happened to a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalInput {
    /// A peer was chosen.
    PeerChosen(NodeId),
    /// No peer can take it.
    NoPeer {
        /// Whether the fleet has other nodes at all.
        has_peers: bool,
    },
    /// The owner has all tokens before `end`.
    TokensAccepted {
        /// Index after the last token.
        end: TokenIndex,
    },
    /// A peer answered.
    Acked {
        /// The peer.
        peer: NodeId,
        /// Epoch of the record that it answers.
        epoch: OwnerEpoch,
        /// Index after the last token that it holds.
        end: TokenIndex,
        /// Its word.
        status: JournalStatus,
    },
    /// A peer can't be reached.
    PeerLost(NodeId),
    /// The process was frozen and runs again; the peer has to confirm anew what it holds.
    PauseDetected,
    /// The journal is needed no longer.
    Close(CloseReason),
}

/// What has to be done for a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalEffect {
    /// Choose a peer and answer with `PeerChosen` or `NoPeer`.
    Choose {
        /// Peers that were tried.
        excluded: Vec<NodeId>,
    },
    /// Send the request and all tokens before `end`.
    Open {
        /// To this peer.
        peer: NodeId,
        /// Index after the last token.
        end: TokenIndex,
    },
    /// Send tokens.
    Append {
        /// To this peer.
        peer: NodeId,
        /// First token.
        start: TokenIndex,
        /// Index after the last token.
        end: TokenIndex,
    },
    /// Say that the journal is needed no longer.
    Close {
        /// To this peer.
        peer: NodeId,
        /// Why.
        reason: CloseReason,
    },
    /// A peer holds all tokens before `end`.
    Held {
        /// Index after the last held token.
        end: TokenIndex,
    },
    /// Nobody holds the tokens before `end`, and they may be released.
    Unheld {
        /// Index after the last token.
        end: TokenIndex,
    },
    /// Another node owns the generation.
    Superseded,
}

struct JournalContext {
    now: MonoTime,
    deadline: Option<MonoTime>,
    peer: Option<NodeId>,
    accepted: TokenIndex,
    sent: TokenIndex,
    acked: TokenIndex,
    excluded: Vec<NodeId>,
    unheld: bool,
    has_peers: bool,
    input_peer: Option<NodeId>,
    input_end: TokenIndex,
    reason: CloseReason,
    effects: Vec<JournalEffect>,
}

static MACHINE: LazyMachine<JournalState, JournalEvent, JournalContext> = LazyMachine::new(|| {
    let bindings = Bindings::<JournalContext>::new()
        .guard("may_release_unheld", |it| it.unheld || !it.has_peers)
        .guard("was_unheld", |it| it.unheld)
        .guard("was_paused", JournalContext::was_paused)
        .guard("peers_exhausted", |it| {
            it.excluded.len() + 1 >= MAX_PEERS_TRIED
        })
        .guard("acks_all", |it| it.input_end >= it.accepted)
        .guard("acks_more", |it| it.input_end > it.acked)
        .action("request_peer", JournalContext::request_peer)
        .action("open", JournalContext::open)
        .action("append", JournalContext::append)
        .action("resend_unacked", |it| {
            it.sent = it.acked;
            it.append();
        })
        .action("record_ack", JournalContext::record_ack)
        .action("exclude_peer", JournalContext::exclude_peer)
        .action("release_unheld", JournalContext::release_unheld)
        .action("allow_unheld", |it| it.unheld = true)
        .action("clear_exclusions", |it| it.excluded.clear())
        .action("announce_supersession", |it| {
            it.effects.push(JournalEffect::Superseded);
        })
        .action("close", JournalContext::close);
    charts::compile(charts::JOURNAL, &bindings)
});

fn machine() -> &'static Machine<JournalState, JournalEvent, JournalContext> {
    charts::verified(&MACHINE)
}

pub(crate) fn verify_chart() -> Result<(), ChartError> {
    MACHINE.as_ref().map(|_| ()).map_err(Clone::clone)
}

/// Whether a deadline passed so long ago that the process did not run.
pub(crate) fn exceeds_pause_threshold(now: MonoTime, deadline: Option<MonoTime>) -> bool {
    let late_by = deadline.map_or(Micros::ZERO, |deadline| now.since(deadline));
    late_by > PAUSE_THRESHOLD_MS.micros()
}

impl JournalContext {
    fn was_paused(&self) -> bool {
        exceeds_pause_threshold(self.now, self.deadline)
    }

    fn request_peer(&mut self) {
        let excluded = self.excluded.clone();
        self.effects.push(JournalEffect::Choose { excluded });
    }

    fn open(&mut self) {
        self.peer = self.input_peer.take();
        if let Some(peer) = self.peer.clone() {
            self.sent = self.accepted;
            self.acked = TokenIndex::ZERO;
            let end = self.accepted;
            self.effects.push(JournalEffect::Open { peer, end });
        }
    }

    fn append(&mut self) {
        if let Some(peer) = self.peer.clone() {
            let (start, end) = (self.sent, self.accepted);
            self.sent = end;
            self.effects
                .push(JournalEffect::Append { peer, start, end });
        }
    }

    fn record_ack(&mut self) {
        self.unheld = false;
        self.excluded.clear();
        self.acked = self.acked.max(self.input_end.min(self.accepted));
        let end = self.acked;
        self.effects.push(JournalEffect::Held { end });
    }

    fn exclude_peer(&mut self) {
        if let Some(peer) = self.peer.take() {
            self.excluded.push(peer.clone());
            let reason = CloseReason::Replaced;
            self.effects.push(JournalEffect::Close { peer, reason });
        }
    }

    fn release_unheld(&mut self) {
        self.unheld = true;
        let end = self.accepted;
        self.effects.push(JournalEffect::Unheld { end });
    }

    fn close(&mut self) {
        if let Some(peer) = self.peer.clone() {
            let reason = self.reason;
            self.effects.push(JournalEffect::Close { peer, reason });
        }
    }
}

/// Journal of one generation at its owner.
pub struct JournalOwner {
    epoch: OwnerEpoch,
    instance: Instance<JournalState>,
    context: JournalContext,
    previous_holder: Option<NodeId>,
}

impl JournalOwner {
    /// Starts a journal of an owner; `previous_holder` holds the tokens that are there already.
    pub fn start(
        now: MonoTime,
        epoch: OwnerEpoch,
        accepted: TokenIndex,
        previous_holder: Option<NodeId>,
    ) -> (Self, Vec<JournalEffect>) {
        let mut context = JournalContext {
            now,
            deadline: None,
            peer: None,
            accepted,
            sent: TokenIndex::ZERO,
            acked: TokenIndex::ZERO,
            excluded: Vec::new(),
            unheld: false,
            has_peers: true,
            input_peer: None,
            input_end: TokenIndex::ZERO,
            reason: CloseReason::Left,
            effects: Vec::new(),
        };
        let instance = machine().start(now, &mut context);
        let mut owner = Self {
            epoch,
            instance,
            context,
            previous_holder,
        };
        let effects = std::mem::take(&mut owner.context.effects);
        (owner, effects)
    }

    /// Current state.
    pub fn state(&self) -> JournalState {
        self.instance.state()
    }

    /// Peer that has confirmed the journal; named in the ids of events.
    pub fn holding_peer(&self) -> Option<&NodeId> {
        match self.instance.state() {
            JournalState::Held | JournalState::Pending | JournalState::Revalidating => {
                self.context.peer.as_ref()
            }
            JournalState::Closed => self.context.peer.as_ref(),
            _ => self.previous_holder.as_ref(),
        }
    }

    /// Time at which [`JournalOwner::expire`] has to be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    /// Handles what happened.
    pub fn handle(&mut self, now: MonoTime, input: JournalInput) -> Vec<JournalEffect> {
        if let Some(event) = self.apply_input(input) {
            self.context.now = now;
            self.context.deadline = self.instance.next_deadline();
            machine().step(&mut self.instance, now, event, &mut self.context);
        }
        self.take_effects()
    }

    /// Handles a deadline that has passed.
    pub fn expire(&mut self, now: MonoTime) -> Vec<JournalEffect> {
        self.context.now = now;
        self.context.deadline = self.instance.next_deadline();
        machine().expire(&mut self.instance, now, &mut self.context);
        self.take_effects()
    }

    fn take_effects(&mut self) -> Vec<JournalEffect> {
        let effects = std::mem::take(&mut self.context.effects);
        let confirmed = effects.iter().any(|effect| {
            matches!(
                effect,
                JournalEffect::Held { .. } | JournalEffect::Unheld { .. }
            )
        });
        if confirmed {
            self.previous_holder = None;
        }
        effects
    }

    /// Event of an input; none for the word of a peer that is not used any more.
    fn apply_input(&mut self, input: JournalInput) -> Option<JournalEvent> {
        let context = &mut self.context;
        if matches!(input, JournalInput::Acked { epoch, .. } if epoch != self.epoch) {
            // The answer to an earlier owner on the same node.
            return None;
        }
        Some(match input {
            JournalInput::PeerChosen(peer) => {
                context.input_peer = Some(peer);
                JournalEvent::PeerChosen
            }
            JournalInput::NoPeer { has_peers } => {
                context.has_peers = has_peers;
                JournalEvent::NoPeer
            }
            JournalInput::TokensAccepted { end } => {
                context.accepted = context.accepted.max(end);
                JournalEvent::TokensAccepted
            }
            // A later owner is a later owner, whichever peer tells of it.
            JournalInput::Acked {
                status: JournalStatus::StaleEpoch,
                ..
            } => JournalEvent::StaleEpoch,
            JournalInput::Acked { peer, .. } if context.peer.as_ref() != Some(&peer) => {
                return None;
            }
            JournalInput::Acked { end, status, .. } => {
                context.input_end = end;
                match status {
                    JournalStatus::Held => JournalEvent::Acked,
                    _ => JournalEvent::Refused,
                }
            }
            JournalInput::PeerLost(peer) => {
                if context.peer.as_ref() != Some(&peer) {
                    return None;
                }
                JournalEvent::PeerLost
            }
            JournalInput::PauseDetected => JournalEvent::PauseDetected,
            JournalInput::Close(reason) => {
                context.reason = reason;
                JournalEvent::Close
            }
        })
    }
}
