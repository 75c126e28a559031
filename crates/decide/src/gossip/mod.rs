//! Gossip: each item crosses each link about once.
//!
//! A node has a few links. It remembers, for each link, up to where in its own
//! order of learning it has sent, and which links an item came from; so a
//! change costs one small frame entry a link, and a quiet link costs nothing.
//! Urgent items go out at once. Loads of endpoints go out at intervals, within a
//! budget of items, so that the bytes of a node are bounded whatever the size
//! of the fleet; what grows then is the age of the loads.
//!
//! What a broken link lost is found by digests: at the start of a link and
//! then at a slow pace the side that opened it sends hashes of buckets, the
//! other answers with the versions in those that differ, and both send what the
//! other lacks.

mod item;
mod item_map;

use std::collections::BTreeMap;

use parsleylatch_types::{Millis, MonoTime, NodeId};

pub use item::{
    EndpointSummary, Item, ItemKey, ItemValue, ItemVersion, NodeRecord, NodeStatus, ObservationId,
    ObservedCondition,
};
pub use item_map::{DIGEST_BUCKETS, Digest, ItemMap, Merged};

use item::LinkQueue;
use item_map::{LinkSlot, MAX_LINKS, Sequence};

/// Pace of gossip.
#[derive(Clone, Copy, Debug)]
pub struct GossipSettings {
    /// Delay of urgent items, so that several share a frame.
    pub urgent_delay_ms: Millis,
    /// Time between two frames of loads on one link.
    pub bulk_interval_ms: Millis,
    /// Most loads in one frame within a region.
    pub bulk_items: usize,
    /// Most loads in one frame between regions.
    pub bulk_items_across_regions: usize,
    /// Time between two digests on one link.
    pub digest_interval_ms: Millis,
}

impl Default for GossipSettings {
    fn default() -> Self {
        Self {
            urgent_delay_ms: Millis::new(10),
            bulk_interval_ms: Millis::new(1_000),
            bulk_items: 256,
            bulk_items_across_regions: 4,
            digest_interval_ms: Millis::new(10_000),
        }
    }
}

/// Message on a link.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipMessage {
    /// Items that the other side may lack.
    Items(Vec<Item>),
    /// Hashes of the sender's buckets.
    Digest(Vec<u64>),
    /// Versions in the buckets that differ.
    Versions {
        /// Digest of the sender, by which the receiver finds what only it has.
        digest: Vec<u64>,
        /// Keys and versions.
        versions: Vec<(ItemKey, ItemVersion)>,
    },
    /// Keys whose items the sender wants.
    Want(Vec<ItemKey>),
}

/// What happens to the gossip of a node.
#[derive(Clone, Debug)]
pub enum GossipInput {
    /// A link can be used.
    LinkUp {
        /// Node at the other end.
        peer: NodeId,
        /// Whether this node opened it, and thus sends the digests.
        opened_here: bool,
        /// Whether it crosses regions.
        crosses_regions: bool,
    },
    /// A link is gone.
    LinkDown(NodeId),
    /// A message came.
    Message {
        /// Node at the other end.
        from: NodeId,
        /// The message.
        message: GossipMessage,
    },
    /// This node has something to say.
    Publish(Item),
}

/// What a node has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipEffect {
    /// Send a message.
    Send {
        /// Node at the other end of the link.
        to: NodeId,
        /// The message.
        message: GossipMessage,
    },
    /// A newer item was learned from another node.
    Learned(Item),
}

#[derive(Clone, Debug)]
struct LinkState {
    slot: LinkSlot,
    opened_here: bool,
    crosses_regions: bool,
    urgent_sent: Sequence,
    bulk_sent: Sequence,
    urgent_at: Option<MonoTime>,
    bulk_at: MonoTime,
    digest_at: Option<MonoTime>,
}

/// Gossip of one node.
#[derive(Clone, Debug)]
pub struct Gossip {
    settings: GossipSettings,
    items: ItemMap,
    links: BTreeMap<NodeId, LinkState>,
}

impl Gossip {
    /// Gossip without items or links.
    pub fn new(settings: GossipSettings) -> Self {
        Self {
            settings,
            items: ItemMap::new(),
            links: BTreeMap::new(),
        }
    }

    /// Everything that is known.
    pub fn items(&self) -> &ItemMap {
        &self.items
    }

    /// Forgets an item that matters no longer.
    pub fn forget(&mut self, key: &ItemKey) {
        self.items.remove(key);
    }

    /// Time at which [`Gossip::expire`] has to be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let deadlines = self.links.values().flat_map(|link| {
            let bulk = self.has_unsent_bulk(link).then_some(link.bulk_at);
            [link.urgent_at, bulk, link.digest_at]
        });
        deadlines.flatten().min()
    }

    /// Handles an input.
    pub fn handle(&mut self, now: MonoTime, input: GossipInput) -> Vec<GossipEffect> {
        match input {
            GossipInput::LinkUp {
                peer,
                opened_here,
                crosses_regions,
            } => {
                self.open_link(now, peer, opened_here, crosses_regions);
                Vec::new()
            }
            GossipInput::LinkDown(peer) => {
                self.close_link(&peer);
                Vec::new()
            }
            GossipInput::Message { from, message } => self.handle_message(now, &from, message),
            GossipInput::Publish(item) => {
                self.items.merge(item);
                self.schedule_urgent(now);
                Vec::new()
            }
        }
    }

    /// Handles deadlines that have passed.
    pub fn expire(&mut self, now: MonoTime) -> Vec<GossipEffect> {
        let peers: Vec<NodeId> = self.links.keys().cloned().collect();
        let mut effects = Vec::new();
        for peer in peers {
            self.expire_link(now, &peer, &mut effects);
        }
        effects
    }

    fn open_link(&mut self, now: MonoTime, peer: NodeId, opened_here: bool, crosses_regions: bool) {
        self.close_link(&peer);
        let Some(slot) = self.free_slot() else {
            return;
        };
        // The digest finds what the other side lacks of everything but loads.
        let link = LinkState {
            slot,
            opened_here,
            crosses_regions,
            urgent_sent: self.items.last(LinkQueue::Urgent),
            bulk_sent: Sequence::default(),
            urgent_at: None,
            bulk_at: now,
            digest_at: opened_here.then_some(now),
        };
        self.links.insert(peer, link);
    }

    fn close_link(&mut self, peer: &NodeId) {
        if let Some(link) = self.links.remove(peer) {
            self.items.forget_link(link.slot);
        }
    }

    fn free_slot(&self) -> Option<LinkSlot> {
        (0..MAX_LINKS)
            .map(LinkSlot)
            .find(|slot| self.links.values().all(|link| link.slot != *slot))
    }

    fn has_unsent_bulk(&self, link: &LinkState) -> bool {
        self.items.last(LinkQueue::Bulk) > link.bulk_sent
    }

    /// Sends urgent items soon on every link that lacks some.
    fn schedule_urgent(&mut self, now: MonoTime) {
        let last = self.items.last(LinkQueue::Urgent);
        let at = now + self.settings.urgent_delay_ms;
        for link in self.links.values_mut() {
            if link.urgent_sent < last && link.urgent_at.is_none() {
                link.urgent_at = Some(at);
            }
        }
    }

    fn handle_message(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        message: GossipMessage,
    ) -> Vec<GossipEffect> {
        match message {
            GossipMessage::Items(items) => self.handle_items(now, from, items),
            GossipMessage::Digest(digest) => self.reply_to_digest(from, &digest),
            GossipMessage::Versions { digest, versions } => {
                self.reply_to_versions(from, &digest, &versions)
            }
            GossipMessage::Want(keys) => {
                let wanted = keys.iter().filter_map(|key| self.items.get(key));
                send_items(from, wanted.cloned().collect())
            }
        }
    }

    fn handle_items(
        &mut self,
        now: MonoTime,
        from: &NodeId,
        items: Vec<Item>,
    ) -> Vec<GossipEffect> {
        let slot = self.links.get(from).map(|link| link.slot);
        let mut effects = Vec::new();
        let mut newer_here = Vec::new();
        for item in items {
            match self.items.merge_from(item.clone(), slot) {
                Merged::Newer => effects.push(GossipEffect::Learned(item)),
                Merged::Same => {}
                Merged::Older => newer_here.extend(self.newer_item(&item)),
            }
        }
        effects.extend(send_items(from, newer_here));
        self.schedule_urgent(now);
        effects
    }

    /// Newer item than one that a link sent as urgent.
    fn newer_item(&self, older: &Item) -> Option<Item> {
        let newer = (older.queue() == LinkQueue::Urgent).then(|| self.items.get(&older.key));
        newer.flatten().cloned()
    }

    fn reply_to_digest(&self, from: &NodeId, digest: &[u64]) -> Vec<GossipEffect> {
        if digest == self.items.digest() {
            return Vec::new();
        }
        let message = GossipMessage::Versions {
            digest: self.items.digest().to_vec(),
            versions: self.items.versions_in_differing_buckets(digest),
        };
        vec![GossipEffect::Send {
            to: from.clone(),
            message,
        }]
    }

    fn reply_to_versions(
        &self,
        from: &NodeId,
        digest: &[u64],
        versions: &[(ItemKey, ItemVersion)],
    ) -> Vec<GossipEffect> {
        let theirs: BTreeMap<&ItemKey, ItemVersion> = versions
            .iter()
            .map(|(key, version)| (key, *version))
            .collect();
        let own = self.items.versions_in_differing_buckets(digest);
        let missing_there = own.iter().filter(|(key, _)| !theirs.contains_key(key));
        let newer_here = versions.iter().filter(|(key, version)| {
            let own = self.items.get(key);
            own.is_some_and(|own| own.version >= *version)
        });
        let keys = missing_there.chain(newer_here).map(|(key, _)| key);
        let items = keys.filter_map(|key| self.items.get(key));
        let mut effects = send_items(from, items.cloned().collect());
        let wanted: Vec<ItemKey> = versions
            .iter()
            .filter(|(key, version)| {
                let own = self.items.get(key);
                own.is_none_or(|own| own.version <= *version)
            })
            .map(|(key, _)| key.clone())
            .collect();
        if !wanted.is_empty() {
            effects.push(GossipEffect::Send {
                to: from.clone(),
                message: GossipMessage::Want(wanted),
            });
        }
        effects
    }

    fn expire_link(&mut self, now: MonoTime, peer: &NodeId, effects: &mut Vec<GossipEffect>) {
        let Some(link) = self.links.get(peer) else {
            return;
        };
        let is_due = |at: Option<MonoTime>| at.is_some_and(|at| at <= now);
        let (urgent, digest) = (is_due(link.urgent_at), is_due(link.digest_at));
        let bulk = link.bulk_at <= now && self.has_unsent_bulk(link);
        let mut items = Vec::new();
        if urgent {
            items.extend(self.next_items(peer, LinkQueue::Urgent, usize::MAX));
        }
        if bulk {
            let limit = self.bulk_limit(peer);
            items.extend(self.next_items(peer, LinkQueue::Bulk, limit));
        }
        effects.extend(send_items(peer, items));
        if digest {
            effects.push(GossipEffect::Send {
                to: peer.clone(),
                message: GossipMessage::Digest(self.items.digest().to_vec()),
            });
        }
        let Some(link) = self.links.get_mut(peer) else {
            return;
        };
        if urgent {
            link.urgent_at = None;
        }
        if bulk {
            link.bulk_at = now + self.settings.bulk_interval_ms;
        }
        if digest {
            let next = now + self.settings.digest_interval_ms;
            link.digest_at = link.opened_here.then_some(next);
        }
    }

    fn bulk_limit(&self, peer: &NodeId) -> usize {
        match self.links.get(peer) {
            Some(link) if link.crosses_regions => self.settings.bulk_items_across_regions,
            _ => self.settings.bulk_items,
        }
    }

    /// Next items of a lane for a link; moves the link's position on.
    fn next_items(&mut self, peer: &NodeId, queue: LinkQueue, limit: usize) -> Vec<Item> {
        let Some(link) = self.links.get_mut(peer) else {
            return Vec::new();
        };
        let after = match queue {
            LinkQueue::Urgent => link.urgent_sent,
            LinkQueue::Bulk => link.bulk_sent,
        };
        let mut items = Vec::new();
        let mut reached = self.items.last(queue);
        for (sequence, item) in self.items.learned_after(queue, after, link.slot) {
            items.push(item.clone());
            if items.len() == limit {
                reached = sequence;
                break;
            }
        }
        match queue {
            LinkQueue::Urgent => link.urgent_sent = reached,
            LinkQueue::Bulk => link.bulk_sent = reached,
        }
        items
    }
}

fn send_items(to: &NodeId, items: Vec<Item>) -> Vec<GossipEffect> {
    if items.is_empty() {
        return Vec::new();
    }
    let message = GossipMessage::Items(items);
    vec![GossipEffect::Send {
        to: to.clone(),
        message,
    }]
}
