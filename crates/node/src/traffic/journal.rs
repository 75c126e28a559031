//! Journal replication by a generation's task.

use parsleylatch_decide::{
    generation::{GenerationEffect, GenerationInput, GenerationState},
    journal::{
        CloseReason, EventId, JournalAppend, JournalBody, JournalEffect, JournalInput,
        JournalRecord, TakenOverGeneration, choose_journal_peer, choose_resume_node,
    },
};
use parsleylatch_types::{MonoTime, NodeId, TokenIndex};
use parsleylatch_wire::caller::MovedData;

use super::generation::Task;
use crate::{peering::PeeringInput, running::TaskMessage, telemetry::Counter};

impl Task {
    pub(super) fn handle_message(
        &mut self,
        now: MonoTime,
        message: TaskMessage,
    ) -> Vec<GenerationEffect> {
        match message {
            TaskMessage::Journal(input) => {
                let effects = self.journal.handle(now, input);
                self.handle_journal_effects(now, effects)
            }
            TaskMessage::TakeOver(reply) => {
                // This owner ends even if the requester is gone.
                let _ = reply.send(self.taken_over_generation());
                self.output.discard_unsent();
                self.close_journal(now, CloseReason::Replaced);
                self.generation.handle(now, GenerationInput::Superseded)
            }
        }
    }

    fn taken_over_generation(&self) -> TakenOverGeneration {
        TakenOverGeneration {
            request: self.generation.request().clone(),
            epoch: self.epoch.next(),
            tokens: self.generation.tokens().to_vec(),
            attempts_started: self.generation.attempts_started(),
            endpoint_version: self.generation.endpoint_version().cloned(),
            finished: self.generation.state() == GenerationState::Done,
        }
    }

    pub(super) fn apply_journal_effects(&mut self, now: MonoTime, effects: Vec<JournalEffect>) {
        let effects = self.handle_journal_effects(now, effects);
        self.apply_effects(now, effects);
    }

    /// Executes the journal's effects; returns the resulting effects of the generation.
    pub(super) fn handle_journal_effects(
        &mut self,
        now: MonoTime,
        effects: Vec<JournalEffect>,
    ) -> Vec<GenerationEffect> {
        let mut pending = std::collections::VecDeque::from(effects);
        let mut generation_effects = Vec::new();
        while let Some(effect) = pending.pop_front() {
            match effect {
                JournalEffect::ChoosePeer { excluded } => {
                    let input = self.choose_peer(&excluded);
                    pending.extend(self.journal.handle(now, input));
                }
                JournalEffect::Open { peer, end } => self.open_journal(&peer, end),
                JournalEffect::Append { peer, start, end } => self.append(&peer, start, end),
                JournalEffect::Close { peer, reason } => {
                    self.send_record(&peer, JournalBody::Close(reason));
                }
                JournalEffect::Held { end } => {
                    self.output.confirm();
                    let input = GenerationInput::JournalHeld { end };
                    generation_effects.extend(self.generation.handle(now, input));
                }
                JournalEffect::Unheld { .. } => {
                    self.output.confirm();
                    generation_effects
                        .extend(self.generation.handle(now, GenerationInput::JournalUnheld));
                }
                JournalEffect::Superseded => {
                    self.output.discard_unsent();
                    generation_effects
                        .extend(self.generation.handle(now, GenerationInput::Superseded));
                }
            }
        }
        generation_effects
    }

    fn choose_peer(&self, excluded: &[NodeId]) -> JournalInput {
        let shared = &self.traffic.shared;
        let snapshot = shared.snapshot.load();
        let chosen = choose_journal_peer(
            self.key.request_id,
            &shared.settings.failure_domain,
            &shared.settings.region,
            &snapshot.peers,
            &shared.linked_peers.load(),
            excluded,
        );
        match chosen {
            Some(peer) => JournalInput::PeerChosen(peer),
            None => JournalInput::NoPeer {
                has_peers: snapshot.peers.iter().any(|peer| peer.live),
            },
        }
    }

    fn open_journal(&self, peer: &NodeId, end: TokenIndex) {
        self.send_to_peering(PeeringInput::Subscribe {
            key: self.key,
            peer: peer.clone(),
            messages: self.running_guard.messages(),
        });
        let request = self.generation.request().clone();
        self.send_record(peer, JournalBody::Open(request));
        if end > TokenIndex::ZERO {
            self.append(peer, TokenIndex::ZERO, end);
        }
    }

    fn append(&self, peer: &NodeId, start: TokenIndex, end: TokenIndex) {
        let tokens = &self.generation.tokens()[start.as_usize()..end.as_usize()];
        let counters = &self.traffic.shared.counters;
        counters.add(Counter::JournalTokensSent, tokens.len() as u64);
        let append = JournalAppend {
            start,
            tokens: tokens.to_vec(),
            attempts_started: self.generation.attempts_started(),
            endpoint_version: self.generation.endpoint_version().cloned(),
        };
        self.send_record(peer, JournalBody::Append(append));
    }

    fn send_record(&self, peer: &NodeId, body: JournalBody) {
        let record = JournalRecord {
            key: self.key,
            owner: self.traffic.shared.settings.node_id.clone(),
            epoch: self.epoch,
            body,
        };
        let peer = peer.clone();
        self.send_to_peering(PeeringInput::Journal { peer, record });
    }

    /// If the queue of the peer thread is full, the input is dropped; the holder
    /// reports the gap.
    fn send_to_peering(&self, input: PeeringInput) {
        let shared = &self.traffic.shared;
        if shared.peering.try_send(input).is_err() {
            shared.counters.increment(Counter::JournalRecordsDropped);
        }
    }

    pub(super) fn close_journal_at_end(&mut self, now: MonoTime) {
        let reason = match self.generation.state() {
            GenerationState::Done => CloseReason::Finished,
            GenerationState::Failed => CloseReason::Replaced,
            GenerationState::Cancelled | GenerationState::Moved => CloseReason::Left,
            _ => return,
        };
        self.close_journal(now, reason);
    }

    fn close_journal(&mut self, now: MonoTime, reason: CloseReason) {
        if !std::mem::replace(&mut self.journal_closed, true) {
            let effects = self.journal.handle(now, JournalInput::Close(reason));
            self.handle_journal_effects(now, effects);
        }
    }

    pub(super) fn unsubscribe_journal(&self) {
        self.send_to_peering(PeeringInput::Unsubscribe(
            self.key,
            self.running_guard.messages(),
        ));
    }

    /// Id of the event that delivers a token to the caller.
    pub(super) fn event_id(&self, index: TokenIndex) -> Option<EventId> {
        Some(EventId {
            endpoint_version: self.generation.endpoint_version()?.clone(),
            index,
            owner: self.traffic.shared.settings.node_id.clone(),
            journal_peer: self.journal.holding_peer().cloned(),
            origin: self.key.origin,
        })
    }

    /// Where the caller resumes the generation when this node stops.
    pub(super) fn moved_data(&self) -> MovedData {
        let shared = &self.traffic.shared;
        let snapshot = shared.snapshot.load();
        let next = choose_resume_node(
            self.key.request_id,
            &shared.settings.failure_domain,
            &shared.settings.region,
            &snapshot.peers,
            self.journal.holding_peer(),
        );
        MovedData {
            node: next.map(|peer| peer.id.clone()),
            caller_address: next.and_then(|peer| peer.caller_address),
            last_event_id: self.last_event_id.clone(),
        }
    }
}
