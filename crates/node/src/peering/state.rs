//! State of the peer thread: links, batches, held journals and pending take-overs.

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

use super::{GrantedGeneration, OutgoingTakeOver, PeeringInput, codec};
use crate::{
    control::ControlInput,
    running::TaskMessage,
    shared::{InFlightGuard, Shared},
    telemetry::Counter,
};

/// Maximum time for which records are batched before they are sent.
const BATCH_INTERVAL_MS: Millis = Millis::new(2);

/// A node to which this node has opened a link.
struct Peer {
    address: SocketAddr,
    link: Link,
    liveness: PeerLiveness,
    records: Vec<wire::JournalRecord>,
    /// Whether the last batch has not been acknowledged yet.
    awaiting_ack: bool,
    /// Take-over requests to send when the link comes up.
    queued_requests: Vec<wire::TakeOverRequest>,
}

/// A task that receives events of its journal.
struct JournalSubscriber {
    peer: NodeId,
    messages: mpsc::Sender<TaskMessage>,
}

/// A take-over request that has not been answered yet.
struct PendingTakeOver {
    target: NodeId,
    reply: oneshot::Sender<GrantedGeneration>,
}

pub(crate) struct PeeringState {
    shared: Arc<Shared>,
    events: mpsc::Sender<LinkEvent>,
    holder: JournalHolder,
    /// Connections to the owners of held journals.
    owner_replies: HashMap<JournalKey, ReplySender>,
    peers: BTreeMap<NodeId, Peer>,
    subscribers: HashMap<JournalKey, JournalSubscriber>,
    pending_take_overs: HashMap<u64, PendingTakeOver>,
    next_correlation_id: u64,
    flush_at: Option<MonoTime>,
    /// Keeps the node from stopping while others need the journals that it holds.
    drain_guard: Option<InFlightGuard>,
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
            owner_replies: HashMap::new(),
            peers: BTreeMap::new(),
            subscribers: HashMap::new(),
            pending_take_overs: HashMap::new(),
            next_correlation_id: 0,
            flush_at: None,
            drain_guard: None,
        }
    }

    fn now(&self) -> MonoTime {
        self.shared.clock.now()
    }

    fn count(&self, counter: Counter) {
        self.shared.counters.increment(counter);
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        let peers = self
            .peers
            .values()
            .map(|peer| peer.liveness.next_deadline());
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
            self.owner_replies.retain(|key, _| holder.holds(*key));
            self.check_drained();
        }
        let changed: Vec<_> = self
            .peers
            .iter_mut()
            .filter_map(|(id, peer)| Some((id.clone(), peer.liveness.expire(now)?)))
            .collect();
        for (id, usable) in changed {
            self.handle_usability_change(&id, usable);
        }
    }

    /// Opens links to the nearest nodes; drops links to nodes that are no longer
    /// members.
    pub(crate) fn connect_neighbours(&mut self, members: &[PeerView]) {
        let settings = &self.shared.settings;
        let neighbours = journal_neighbours(
            &settings.node_id,
            &settings.failure_domain,
            &settings.region,
            members,
        );
        for neighbour in neighbours {
            self.ensure_link(neighbour);
        }
        let removed: Vec<_> = self
            .peers
            .keys()
            .filter(|id| !members.iter().any(|peer| peer.id == **id))
            .cloned()
            .collect();
        for id in removed {
            self.drop_peer(&id);
        }
    }

    fn drop_peer(&mut self, id: &NodeId) {
        self.peers.remove(id);
        self.pending_take_overs
            .retain(|_, pending| pending.target != *id);
        self.handle_usability_change(id, false);
    }

    fn ensure_link(&mut self, view: &PeerView) {
        if let Some(known) = self.peers.get(&view.id) {
            if known.address == view.peer_address {
                return;
            }
            // The node was replaced; the journals that its predecessor held are lost.
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
            liveness: PeerLiveness::new(self.now()),
            records: Vec::new(),
            awaiting_ack: false,
            queued_requests: Vec::new(),
        };
        self.peers.insert(view.id.clone(), peer);
    }

    pub(crate) fn handle(&mut self, input: PeeringInput) {
        match input {
            PeeringInput::Journal { peer, record } => self.queue_record(&peer, &record),
            PeeringInput::Subscribe {
                key,
                peer,
                messages,
            } => {
                self.subscribers
                    .insert(key, JournalSubscriber { peer, messages });
            }
            PeeringInput::Unsubscribe(key, messages) => {
                let is_same = self
                    .subscribers
                    .get(&key)
                    .is_some_and(|it| it.messages.same_channel(&messages));
                if is_same {
                    self.subscribers.remove(&key);
                }
            }
            PeeringInput::TakeOver(take_over) => self.request_take_over(take_over),
        }
    }

    /// Queues a record for the next batch, which is sent within the batch interval.
    fn queue_record(&mut self, id: &NodeId, record: &JournalRecord) {
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

    /// Sends the queued records of every peer.
    fn flush(&mut self) {
        self.flush_at = None;
        self.flush_matching(|_| true);
    }

    /// Sends the queued records of peers without an unacknowledged batch. Other
    /// peers get theirs after their acknowledgement or at the batch interval.
    pub(crate) fn flush_idle(&mut self) {
        self.flush_matching(|peer| !peer.awaiting_ack);
    }

    fn flush_matching(&mut self, should_flush: impl Fn(&Peer) -> bool) {
        let now = self.now();
        let counters = &self.shared.counters;
        for peer in self.peers.values_mut() {
            if peer.records.is_empty() || !should_flush(peer) {
                continue;
            }
            let records = std::mem::take(&mut peer.records);
            let count = records.len() as u64;
            let body = Body::JournalBatch(wire::JournalBatch { records });
            let bytes = uncompressed_frame_size(&body);
            if peer.link.send(body) {
                counters.increment(Counter::JournalFramesSent);
                counters.add(Counter::JournalBytesSent, bytes.get());
                peer.awaiting_ack = true;
                peer.liveness.handle(now, PeerEvent::BatchSent);
            } else {
                counters.add(Counter::JournalRecordsDropped, count);
            }
        }
    }

    pub(crate) fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(identity) => {
                self.apply_peer_event(&identity.node_id, PeerEvent::LinkUp);
                if let Some(peer) = self.peers.get_mut(&identity.node_id) {
                    peer.awaiting_ack = false;
                    for message in std::mem::take(&mut peer.queued_requests) {
                        peer.link.send(Body::TakeOverRequest(message));
                    }
                }
            }
            LinkEvent::Down(id) => {
                self.apply_peer_event(&id, PeerEvent::LinkDown);
                // The requester sees that its channel was closed.
                self.pending_take_overs
                    .retain(|_, pending| pending.target != id);
            }
            LinkEvent::Received(received) => self.receive(*received),
        }
    }

    fn apply_peer_event(&mut self, id: &NodeId, event: PeerEvent) {
        let now = self.now();
        let peer = self.peers.get_mut(id);
        if let Some(usable) = peer.and_then(|peer| peer.liveness.handle(now, event)) {
            self.handle_usability_change(id, usable);
        }
    }

    /// Publishes the set of usable peers, and notifies the tasks whose peer was lost.
    fn handle_usability_change(&mut self, id: &NodeId, usable: bool) {
        log::info!("journal peer {id}: usable={usable}");
        let linked: HashSet<NodeId> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.liveness.is_usable())
            .map(|(id, _)| id.clone())
            .collect();
        self.shared.linked_peers.store(Arc::new(linked));
        if usable {
            self.count(Counter::JournalPeersUp);
            return;
        }
        self.count(Counter::JournalPeersLost);
        for subscriber in self.subscribers.values().filter(|it| it.peer == *id) {
            let input = JournalInput::PeerLost(id.clone());
            // A task whose queue is full relies on its acknowledgement timeout.
            let _ = subscriber.messages.try_send(TaskMessage::Journal(input));
        }
        self.flush_idle();
    }

    fn receive(&mut self, received: Received) {
        match received.body {
            Body::Gossip(_) => self.forward_gossip(received),
            Body::JournalBatch(batch) => {
                self.handle_batch(batch, &received.from.node_id, &received.reply);
            }
            Body::JournalAcks(acks) => self.handle_acks(&received.from.node_id, &acks),
            Body::TakeOverRequest(message) => {
                self.handle_take_over_request(&message, &received.from.node_id, &received.reply);
            }
            Body::TakeOverReply(reply) => self.handle_reply(&received.from.node_id, reply),
            Body::Hello(_) | Body::RelayQuery(_) | Body::RelayState(_) => {
                log::debug!("unexpected message from {}", received.from.node_id);
            }
        }
    }

    /// Forwards gossip to the control thread. If its queue is full, the message is
    /// dropped; later gossip rounds repeat the contents.
    fn forward_gossip(&self, received: Received) {
        let input = ControlInput::Gossip(Box::new(received));
        if self.shared.control.try_send(input).is_err() {
            self.count(Counter::GossipDropped);
        }
    }

    /// Stores the records of a batch and replies with the latest acknowledgement of
    /// each journal.
    fn handle_batch(&mut self, batch: wire::JournalBatch, owner: &NodeId, reply: &ReplySender) {
        let now = self.now();
        let mut acks: BTreeMap<JournalKey, JournalAck> = BTreeMap::new();
        for record in batch.records {
            let Some(record) = codec::decode_record(record, owner) else {
                log::warn!("malformed journal record from {owner}");
                continue;
            };
            let key = record.key;
            if let Some(ack) = self.holder.handle(now, record) {
                if ack.status == JournalStatus::Full {
                    self.count(Counter::JournalsRefused);
                }
                if ack.status == JournalStatus::Held {
                    self.owner_replies.insert(key, reply.clone());
                }
                acks.insert(key, ack);
            }
        }
        let acks = acks.values().map(codec::encode_ack).collect();
        self.send_reply(reply, Body::JournalAcks(wire::JournalAcks { acks }));
        self.check_drained();
    }

    fn send_reply(&self, reply: &ReplySender, body: Body) {
        let counters = &self.shared.counters;
        counters.add(
            Counter::JournalBytesSent,
            uncompressed_frame_size(&body).get(),
        );
        if !reply.send(body) {
            counters.increment(Counter::JournalRecordsDropped);
        }
    }

    fn handle_acks(&mut self, from: &NodeId, acks: &wire::JournalAcks) {
        self.apply_peer_event(from, PeerEvent::Acked);
        if let Some(peer) = self.peers.get_mut(from) {
            peer.awaiting_ack = false;
        }
        for ack in acks.acks.iter().filter_map(codec::decode_ack) {
            let Some(subscriber) = self.subscribers.get(&ack.key) else {
                continue;
            };
            let input = JournalInput::Acked {
                peer: from.clone(),
                epoch: ack.epoch,
                end: ack.end,
                status: ack.status,
            };
            let _ = subscriber.messages.try_send(TaskMessage::Journal(input));
        }
    }

    /// Requests a generation from another node, or takes it from the journals held
    /// here if this node is the target.
    fn request_take_over(&mut self, take_over: OutgoingTakeOver) {
        let own_id = self.shared.settings.node_id.clone();
        if take_over.target == own_id {
            let generation = self.take_over_held(&take_over.request, &own_id);
            if let Some(generation) = generation {
                let _ = take_over.reply.send(GrantedGeneration {
                    generation,
                    holder: None,
                });
            }
            return;
        }
        let members = self.shared.peers.borrow().clone();
        if let Some(view) = members.iter().find(|peer| peer.id == take_over.target) {
            self.ensure_link(view);
        }
        let Some(peer) = self.peers.get_mut(&take_over.target) else {
            return;
        };
        self.next_correlation_id += 1;
        let message = codec::encode_request(self.next_correlation_id, &take_over.request);
        let pending = PendingTakeOver {
            target: take_over.target,
            reply: take_over.reply,
        };
        self.pending_take_overs
            .insert(message.correlation_id, pending);
        self.pending_take_overs
            .retain(|_, pending| !pending.reply.is_closed());
        if peer.liveness.is_linked() {
            peer.link.send(Body::TakeOverRequest(message));
        } else {
            peer.queued_requests.push(message);
        }
    }

    fn take_over_held(
        &mut self,
        request: &TakeOverRequest,
        new_owner: &NodeId,
    ) -> Option<TakenOverGeneration> {
        let now = self.now();
        let generation = self.holder.take_over(now, request, new_owner)?;
        self.count(Counter::TakeOversGranted);
        self.check_drained();
        Some(generation)
    }

    /// Hands over a generation whose journal is held here, or that runs here.
    fn handle_take_over_request(
        &mut self,
        message: &wire::TakeOverRequest,
        from: &NodeId,
        reply: &ReplySender,
    ) {
        let Some(request) = codec::decode_request(message) else {
            return;
        };
        if let Some(generation) = self.take_over_held(&request, from) {
            let body = codec::encode_reply(message, Some(&generation), true);
            self.send_reply(reply, Body::TakeOverReply(body));
            return;
        }
        let Some(running) = self
            .shared
            .running
            .find_by_key(request.key, &request.workspace)
        else {
            self.send_reply(
                reply,
                Body::TakeOverReply(codec::encode_reply(message, None, false)),
            );
            return;
        };
        let (message, reply, shared) = (message.clone(), reply.clone(), Arc::clone(&self.shared));
        tokio::spawn(async move {
            let generation = running.take_over().await;
            if generation.is_some() {
                shared.counters.increment(Counter::TakeOversGranted);
            }
            let body = codec::encode_reply(&message, generation.as_ref(), false);
            reply.send(Body::TakeOverReply(body));
        });
    }

    fn handle_reply(&mut self, from: &NodeId, reply: wire::TakeOverReply) {
        let Some(pending) = self.pending_take_overs.remove(&reply.correlation_id) else {
            return;
        };
        let holder = reply.held.then(|| from.clone());
        if let Some(generation) = codec::decode_reply(reply) {
            let _ = pending.reply.send(GrantedGeneration { generation, holder });
        }
    }

    /// Refuses journals from now on and makes their owners move them to other nodes.
    /// A call while the node drains has no effect.
    pub(crate) fn start_draining(&mut self) {
        if self.drain_guard.is_some() {
            return;
        }
        self.drain_guard = InFlightGuard::try_acquire(&self.shared);
        for ack in self.holder.start_draining() {
            if let Some(reply) = self.owner_replies.get(&ack.key) {
                let acks = vec![codec::encode_ack(&ack)];
                reply.send(Body::JournalAcks(wire::JournalAcks { acks }));
            }
        }
        self.check_drained();
    }

    /// Allows the node to stop once no held journal is of an unfinished generation.
    fn check_drained(&mut self) {
        if self.drain_guard.is_some() && self.holder.usage().unfinished == 0 {
            self.drain_guard = None;
        }
    }
}
