//! State of the peer thread: links, batches, held journals and open questions.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use parsleylatch_decide::{
    journal::{
        HolderSettings, JournalAck, JournalHolder, JournalInput, JournalKey, JournalRecord,
        JournalStatus, PeerEvent, PeerLiveness, TakeOverRequest, TakenOverGeneration,
        journal_neighbours,
    },
    view::PeerView,
};
use parsleylatch_peer::{Link, LinkEvent, Received, ReplySender, connect};
use parsleylatch_types::{Millis, MonoTime, NodeId};
use parsleylatch_wire::{journal as wire, peer::peer_message::Body, uncompressed_frame_size};
use tokio::sync::{mpsc, oneshot};

use super::{Granted, PeeringInput, TakeOverOrder, codec};
use crate::{
    control::ControlInput,
    running::TaskMessage,
    shared::{InFlightGuard, Shared},
    telemetry::Counter,
};

/// Time for which records wait for others to the same node.
const BATCH_INTERVAL_MS: Millis = Millis::new(2);

/// A node that this node has a link to.
struct Peer {
    address: SocketAddr,
    link: Link,
    life: PeerLiveness,
    records: Vec<wire::JournalRecord>,
    /// Whether the last frame has not been answered yet.
    answer_due: bool,
    /// Questions that wait for the link.
    asks: Vec<wire::TakeOverRequest>,
}

/// A task that hears of its journal.
struct Follower {
    peer: NodeId,
    messages: mpsc::Sender<TaskMessage>,
}

/// A question that is not answered yet.
struct OpenAsk {
    target: NodeId,
    reply: oneshot::Sender<Granted>,
}

pub(crate) struct PeeringState {
    shared: Arc<Shared>,
    events: mpsc::Sender<LinkEvent>,
    holder: JournalHolder,
    /// Ways back to the owners of held journals.
    owners: HashMap<JournalKey, ReplySender>,
    peers: BTreeMap<NodeId, Peer>,
    followers: HashMap<JournalKey, Follower>,
    asks: HashMap<u64, OpenAsk>,
    next_ask_id: u64,
    flush_at: Option<MonoTime>,
    /// Keeps the node from ending while others need what it holds.
    leaving: Option<InFlightGuard>,
}

impl PeeringState {
    pub(crate) fn new(shared: Arc<Shared>, events: mpsc::Sender<LinkEvent>) -> Self {
        let settings = HolderSettings {
            limit: shared.settings.limits.journal_bytes,
            check_epoch: true,
        };
        Self {
            shared,
            events,
            holder: JournalHolder::new(settings),
            owners: HashMap::new(),
            peers: BTreeMap::new(),
            followers: HashMap::new(),
            asks: HashMap::new(),
            next_ask_id: 0,
            flush_at: None,
            leaving: None,
        }
    }

    fn now(&self) -> MonoTime {
        self.shared.clock.now()
    }

    fn count(&self, counter: Counter) {
        self.shared.counters.increment(counter);
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        let peers = self.peers.values().map(|peer| peer.life.next_deadline());
        let own = [self.flush_at, self.holder.next_deadline()];
        peers.chain(own).flatten().min()
    }

    pub(crate) fn expire(&mut self) {
        let now = self.now();
        if self.flush_at.is_some_and(|at| at <= now) {
            self.flush();
        }
        if self.holder.next_deadline().is_some_and(|at| at <= now) {
            self.holder.expire(now);
            let holder = &self.holder;
            self.owners.retain(|key, _| holder.holds(*key));
            self.check_left();
        }
        let changed: Vec<_> = self
            .peers
            .iter_mut()
            .filter_map(|(id, peer)| Some((id.clone(), peer.life.expire(now)?)))
            .collect();
        for (id, usable) in changed {
            self.note_usable(&id, usable);
        }
    }

    /// Keeps links to the nearest nodes; drops those of nodes that are gone.
    pub(crate) fn connect_neighbours(&mut self, listed: &[PeerView]) {
        let settings = &self.shared.settings;
        let neighbours = journal_neighbours(
            &settings.node_id,
            &settings.failure_domain,
            &settings.region,
            listed,
        );
        for neighbour in neighbours {
            self.ensure_link(neighbour);
        }
        let gone: Vec<_> = self
            .peers
            .keys()
            .filter(|id| !listed.iter().any(|peer| peer.id == **id))
            .cloned()
            .collect();
        for id in gone {
            self.drop_peer(&id);
        }
    }

    fn drop_peer(&mut self, id: &NodeId) {
        self.peers.remove(id);
        self.asks.retain(|_, ask| ask.target != *id);
        self.note_usable(id, false);
    }

    fn ensure_link(&mut self, view: &PeerView) {
        if let Some(known) = self.peers.get(&view.id) {
            if known.address == view.peer_address {
                return;
            }
            // The node was replaced; what the old one held is gone.
            self.drop_peer(&view.id);
        }
        let link = connect(
            self.shared.identity.clone(),
            view.id.clone(),
            view.peer_address,
            self.events.clone(),
        );
        let peer = Peer {
            address: view.peer_address,
            link,
            life: PeerLiveness::new(self.now()),
            records: Vec::new(),
            answer_due: false,
            asks: Vec::new(),
        };
        self.peers.insert(view.id.clone(), peer);
    }

    pub(crate) fn handle(&mut self, input: PeeringInput) {
        match input {
            PeeringInput::Journal { peer, record } => self.queue(&peer, &record),
            PeeringInput::Follow {
                key,
                peer,
                messages,
            } => {
                self.followers.insert(key, Follower { peer, messages });
            }
            PeeringInput::Forget(key, messages) => {
                let is_same = self
                    .followers
                    .get(&key)
                    .is_some_and(|it| it.messages.same_channel(&messages));
                if is_same {
                    self.followers.remove(&key);
                }
            }
            PeeringInput::TakeOver(order) => self.take_over(order),
        }
    }

    /// Lets a record wait for the next frame, for the interval at most.
    fn queue(&mut self, id: &NodeId, record: &JournalRecord) {
        match self.peers.get_mut(id) {
            Some(peer) => peer.records.push(codec::encode_record(record)),
            None => {
                self.shared
                    .counters
                    .increment(Counter::JournalRecordsDropped);
                return;
            }
        }
        let due = self.now() + BATCH_INTERVAL_MS;
        self.flush_at.get_or_insert(due);
    }

    /// Sends what waits to every peer.
    fn flush(&mut self) {
        self.flush_at = None;
        self.flush_where(|_| true);
    }

    /// Sends what waits to the peers from which no answer is due. A peer that is
    /// still answering gets the next frame with its answer, or after the interval.
    pub(crate) fn flush_idle(&mut self) {
        self.flush_where(|peer| !peer.answer_due);
    }

    fn flush_where(&mut self, is_wanted: impl Fn(&Peer) -> bool) {
        let now = self.now();
        let counters = &self.shared.counters;
        for peer in self.peers.values_mut() {
            if peer.records.is_empty() || !is_wanted(peer) {
                continue;
            }
            let records = std::mem::take(&mut peer.records);
            let count = records.len() as u64;
            let body = Body::JournalBatch(wire::JournalBatch { records });
            let bytes = uncompressed_frame_size(&body);
            if peer.link.send(body) {
                counters.increment(Counter::JournalFramesSent);
                counters.add(Counter::JournalBytesSent, bytes.get());
                peer.answer_due = true;
                peer.life.handle(now, PeerEvent::BatchSent);
            } else {
                counters.add(Counter::JournalRecordsDropped, count);
            }
        }
    }

    pub(crate) fn handle_link(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(identity) => {
                self.step_peer(&identity.node_id, PeerEvent::LinkUp);
                if let Some(peer) = self.peers.get_mut(&identity.node_id) {
                    peer.answer_due = false;
                    for ask in std::mem::take(&mut peer.asks) {
                        peer.link.send(Body::TakeOverRequest(ask));
                    }
                }
            }
            LinkEvent::Down(id) => {
                self.step_peer(&id, PeerEvent::LinkDown);
                // Who asked hears it from the closed channel.
                self.asks.retain(|_, ask| ask.target != id);
            }
            LinkEvent::Received(received) => self.receive(*received),
        }
    }

    fn step_peer(&mut self, id: &NodeId, event: PeerEvent) {
        let now = self.now();
        let peer = self.peers.get_mut(id);
        if let Some(usable) = peer.and_then(|peer| peer.life.handle(now, event)) {
            self.note_usable(id, usable);
        }
    }

    /// Publishes who can hold journals, and tells the owners that lost a peer.
    fn note_usable(&mut self, id: &NodeId, usable: bool) {
        log::info!("journal peer {id}: usable {usable}");
        let linked: HashSet<NodeId> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.life.is_usable())
            .map(|(id, _)| id.clone())
            .collect();
        self.shared.linked_peers.store(Arc::new(linked));
        if usable {
            self.count(Counter::JournalPeersUp);
            return;
        }
        self.count(Counter::JournalPeersLost);
        for follower in self.followers.values().filter(|it| it.peer == *id) {
            let input = JournalInput::PeerLost(id.clone());
            // A task that is too busy to hear it has a timeout of its own.
            let _ = follower.messages.try_send(TaskMessage::Journal(input));
        }
        self.flush_idle();
    }

    fn receive(&mut self, received: Received) {
        match received.body {
            Body::Gossip(_) => self.forward_gossip(received),
            Body::JournalBatch(batch) => {
                self.hold(batch, &received.from.node_id, &received.reply);
            }
            Body::JournalAcks(acks) => self.take_acks(&received.from.node_id, &acks),
            Body::TakeOverRequest(ask) => {
                self.grant(&ask, &received.from.node_id, &received.reply);
            }
            Body::TakeOverReply(reply) => self.take_reply(&received.from.node_id, reply),
            Body::Hello(_) | Body::RelayQuery(_) | Body::RelayState(_) => {
                log::debug!("unexpected message of {}", received.from.node_id);
            }
        }
    }

    /// Gossip that finds the control thread busy is dropped; later rounds repeat it.
    fn forward_gossip(&self, received: Received) {
        let input = ControlInput::Gossip(Box::new(received));
        if self.shared.control.try_send(input).is_err() {
            self.count(Counter::GossipDropped);
        }
    }

    /// Holds what an owner sent; of each journal the last word is answered.
    fn hold(&mut self, batch: wire::JournalBatch, owner: &NodeId, reply: &ReplySender) {
        let now = self.now();
        let mut acks: BTreeMap<JournalKey, JournalAck> = BTreeMap::new();
        for record in batch.records {
            let Some(record) = codec::decode_record(record, owner) else {
                log::warn!("journal record of {owner} can't be read");
                continue;
            };
            let key = record.key;
            if let Some(ack) = self.holder.handle(now, record) {
                if ack.status == JournalStatus::Full {
                    self.count(Counter::JournalsRefused);
                }
                if ack.status == JournalStatus::Held {
                    self.owners.insert(key, reply.clone());
                }
                acks.insert(key, ack);
            }
        }
        let acks = acks.values().map(codec::encode_ack).collect();
        self.answer(reply, Body::JournalAcks(wire::JournalAcks { acks }));
        self.check_left();
    }

    fn answer(&self, reply: &ReplySender, body: Body) {
        let counters = &self.shared.counters;
        counters.add(
            Counter::JournalBytesSent,
            uncompressed_frame_size(&body).get(),
        );
        if !reply.send(body) {
            counters.increment(Counter::JournalRecordsDropped);
        }
    }

    fn take_acks(&mut self, from: &NodeId, acks: &wire::JournalAcks) {
        self.step_peer(from, PeerEvent::Acked);
        if let Some(peer) = self.peers.get_mut(from) {
            peer.answer_due = false;
        }
        for ack in acks.acks.iter().filter_map(codec::decode_ack) {
            let Some(follower) = self.followers.get(&ack.key) else {
                continue;
            };
            let input = JournalInput::Acked {
                peer: from.clone(),
                epoch: ack.epoch,
                end: ack.end,
                status: ack.status,
            };
            let _ = follower.messages.try_send(TaskMessage::Journal(input));
        }
    }

    /// Asks a node, or this very one, for a generation.
    fn take_over(&mut self, order: TakeOverOrder) {
        let own = self.shared.settings.node_id.clone();
        if order.target == own {
            let taken = self.grant_held(&order.ask, &own);
            if let Some(taken) = taken {
                let _ = order.reply.send(Granted {
                    taken,
                    holder: None,
                });
            }
            return;
        }
        let listed = self.shared.peers.borrow().clone();
        if let Some(view) = listed.iter().find(|peer| peer.id == order.target) {
            self.ensure_link(view);
        }
        let Some(peer) = self.peers.get_mut(&order.target) else {
            return;
        };
        self.next_ask_id += 1;
        let ask = codec::encode_ask(self.next_ask_id, &order.ask);
        let open = OpenAsk {
            target: order.target,
            reply: order.reply,
        };
        self.asks.insert(ask.correlation_id, open);
        self.asks.retain(|_, ask| !ask.reply.is_closed());
        if peer.life.is_linked() {
            peer.link.send(Body::TakeOverRequest(ask));
        } else {
            peer.asks.push(ask);
        }
    }

    fn grant_held(
        &mut self,
        ask: &TakeOverRequest,
        new_owner: &NodeId,
    ) -> Option<TakenOverGeneration> {
        let now = self.now();
        let taken = self.holder.take_over(now, ask, new_owner)?;
        self.count(Counter::TakeOversGranted);
        self.check_left();
        Some(taken)
    }

    /// Gives a generation away that this node holds, or owns.
    fn grant(&mut self, ask: &wire::TakeOverRequest, from: &NodeId, reply: &ReplySender) {
        let Some(decoded) = codec::decode_ask(ask) else {
            return;
        };
        if let Some(taken) = self.grant_held(&decoded, from) {
            let body = codec::encode_reply(ask, Some(&taken), true);
            self.answer(reply, Body::TakeOverReply(body));
            return;
        }
        let Some(running) = self
            .shared
            .running
            .find_by_key(decoded.key, &decoded.workspace)
        else {
            self.answer(
                reply,
                Body::TakeOverReply(codec::encode_reply(ask, None, false)),
            );
            return;
        };
        let (ask, reply, shared) = (ask.clone(), reply.clone(), Arc::clone(&self.shared));
        tokio::spawn(async move {
            let taken = running.take_over().await;
            if taken.is_some() {
                shared.counters.increment(Counter::TakeOversGranted);
            }
            let body = codec::encode_reply(&ask, taken.as_ref(), false);
            reply.send(Body::TakeOverReply(body));
        });
    }

    fn take_reply(&mut self, from: &NodeId, reply: wire::TakeOverReply) {
        let Some(ask) = self.asks.remove(&reply.correlation_id) else {
            return;
        };
        let holder = reply.held.then(|| from.clone());
        if let Some(taken) = codec::decode_reply(reply) {
            let _ = ask.reply.send(Granted { taken, holder });
        }
    }

    /// Sends the owners of held journals to other nodes, once.
    pub(crate) fn leave(&mut self) {
        if self.leaving.is_some() {
            return;
        }
        self.leaving = InFlightGuard::try_acquire(&self.shared);
        for ack in self.holder.start_draining() {
            if let Some(reply) = self.owners.get(&ack.key) {
                let acks = vec![codec::encode_ack(&ack)];
                reply.send(Body::JournalAcks(wire::JournalAcks { acks }));
            }
        }
        self.check_left();
    }

    /// Lets the node end once nobody needs what it holds.
    fn check_left(&mut self) {
        if self.leaving.is_some() && self.holder.usage().unfinished == 0 {
            self.leaving = None;
        }
    }
}
