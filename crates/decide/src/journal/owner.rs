//! The owner's side of a journal: the peer that holds it, and what it has
//! acknowledged.
//!
//! A timeout is valid only if this process was running while it elapsed. After a
//! process pause the owner first waits for its peer, because another node may
//! have taken over the generation meanwhile.

use parsleylatch_chart::{Bindings, ChartError, Instance, Machine, chart_names};
use parsleylatch_types::{Micros, Millis, MonoTime, NodeId, OwnerEpoch, TokenIndex};

use super::{CloseReason, JournalStatus};
use crate::charts::{self, LazyMachine};

/// Maximum number of journal peers tried in succession.
const MAX_PEERS_TRIED: usize = 3;
/// Timer delay above which the process is assumed to have been paused: well below
/// the time after which another node may own the generation, and above the delay
/// of a busy event loop.
pub const PAUSE_THRESHOLD_MS: Millis = Millis::new(150);

chart_names! {
    /// States of a journal at its owner.
    pub enum JournalState {
        /// Requests a peer.
        Choosing,
        /// No peer is currently available.
        Waiting,
        /// All tokens were sent to a new peer.
        Opening,
        /// The peer has acknowledged all tokens.
        Held,
        /// The peer has not acknowledged all tokens yet.
        Pending,
        /// The process was paused; the peer must acknowledge its tokens again.
        Revalidating,
        /// No peer holds the journal.
        Unheld,
        /// Another node owns the generation.
        Superseded,
        /// The journal is no longer needed.
        Closed,
    }
}

chart_names! {
    /// Events of a journal at its owner.
    pub enum JournalEvent {
        /// A peer was chosen.
        PeerChosen,
        /// No peer is available.
        NoPeer,
        /// The owner has accepted more tokens.
        TokensAccepted,
        /// The peer acknowledged tokens.
        Acked,
        /// The peer refused a record.
        Refused,
        /// A peer reported a later owner.
        StaleEpoch,
        /// The peer is unreachable.
        PeerLost,
        /// The process was paused and is running again.
        PauseDetected,
        /// The timeout of the state expired.
        TimedOut,
        /// The journal is no longer needed.
        Close,
    }
}

/// Input of a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalInput {
    /// A peer was chosen.
    PeerChosen(NodeId),
    /// No peer is available.
    NoPeer {
        /// Whether the fleet has any other live nodes.
        has_peers: bool,
    },
    /// The owner has accepted all tokens before `end`.
    TokensAccepted {
        /// Exclusive end index.
        end: TokenIndex,
    },
    /// A peer acknowledged or refused a record.
    Acked {
        /// The peer.
        peer: NodeId,
        /// Epoch of the record.
        epoch: OwnerEpoch,
        /// Exclusive end index of the tokens that it holds.
        end: TokenIndex,
        /// Status of the record.
        status: JournalStatus,
    },
    /// A peer is unreachable.
    PeerLost(NodeId),
    /// The process was paused and is running again; the peer must acknowledge its
    /// tokens again.
    PauseDetected,
    /// The journal is no longer needed.
    Close(CloseReason),
}

/// Effect that the caller of [`JournalOwner`] carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalEffect {
    /// Choose a peer and reply with `PeerChosen` or `NoPeer`.
    ChoosePeer {
        /// Peers that were already tried.
        excluded: Vec<NodeId>,
    },
    /// Send the request and all tokens before `end`.
    Open {
        /// Receiver.
        peer: NodeId,
        /// Exclusive end index.
        end: TokenIndex,
    },
    /// Send tokens.
    Append {
        /// Receiver.
        peer: NodeId,
        /// Index of the first token.
        start: TokenIndex,
        /// Exclusive end index.
        end: TokenIndex,
    },
    /// Tell the peer that the journal is no longer needed.
    Close {
        /// Receiver.
        peer: NodeId,
        /// Reason.
        reason: CloseReason,
    },
    /// A peer holds all tokens before `end`.
    Held {
        /// Exclusive end index.
        end: TokenIndex,
    },
    /// No peer holds the tokens before `end`; they may be released regardless.
    Unheld {
        /// Exclusive end index.
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

/// Whether a deadline passed so long ago that the process must have been paused.
pub(crate) fn exceeds_pause_threshold(now: MonoTime, deadline: Option<MonoTime>) -> bool {
    let delay = deadline.map_or(Micros::ZERO, |deadline| now.since(deadline));
    delay > PAUSE_THRESHOLD_MS.micros()
}

impl JournalContext {
    fn was_paused(&self) -> bool {
        exceeds_pause_threshold(self.now, self.deadline)
    }

    fn request_peer(&mut self) {
        let excluded = self.excluded.clone();
        self.effects.push(JournalEffect::ChoosePeer { excluded });
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

/// State machine of a journal at the owner of its generation.
pub struct JournalOwner {
    epoch: OwnerEpoch,
    instance: Instance<JournalState>,
    context: JournalContext,
    previous_holder: Option<NodeId>,
}

impl JournalOwner {
    /// Starts a journal; `previous_holder` holds the tokens accepted so far.
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

    /// Peer that has acknowledged the journal; it is part of event ids.
    pub fn holding_peer(&self) -> Option<&NodeId> {
        match self.instance.state() {
            JournalState::Held | JournalState::Pending | JournalState::Revalidating => {
                self.context.peer.as_ref()
            }
            JournalState::Closed => self.context.peer.as_ref(),
            _ => self.previous_holder.as_ref(),
        }
    }

    /// Time at which [`JournalOwner::expire`] must be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.instance.next_deadline()
    }

    /// Applies an input and returns its effects.
    pub fn handle(&mut self, now: MonoTime, input: JournalInput) -> Vec<JournalEffect> {
        if let Some(event) = self.apply_input(input) {
            self.context.now = now;
            self.context.deadline = self.instance.next_deadline();
            machine().step(&mut self.instance, now, event, &mut self.context);
        }
        self.take_effects()
    }

    /// Handles an expired deadline.
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

    /// Stores the data of an input and returns its event; `None` for a peer that is
    /// no longer in use.
    fn apply_input(&mut self, input: JournalInput) -> Option<JournalEvent> {
        let context = &mut self.context;
        if matches!(input, JournalInput::Acked { epoch, .. } if epoch != self.epoch) {
            // Acknowledgement for a previous owner at the same node.
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
            // A later owner takes precedence whichever peer reports it.
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
