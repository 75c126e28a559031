//! The largest known item of each key, in the order in which it was learned.

use std::collections::BTreeMap;

use super::item::{Item, ItemKey, ItemVersion, LinkQueue};

/// Buckets of a digest.
pub const DIGEST_BUCKETS: usize = 64;

/// Hash of the items of each bucket. Loads of live endpoints are left out: they
/// change all the time, and a new link carries them all.
pub type Digest = [u64; DIGEST_BUCKETS];

/// Position in the order of learning.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Sequence(pub(crate) u64);

/// Links that are known to have an item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct LinkSet(u64);

impl LinkSet {
    pub(crate) fn of(slot: Option<LinkSlot>) -> Self {
        Self(slot.map_or(0, LinkSlot::bit))
    }

    pub(crate) fn contains(self, slot: LinkSlot) -> bool {
        self.0 & slot.bit() != 0
    }

    fn insert(&mut self, slot: LinkSlot) {
        self.0 |= slot.bit();
    }

    fn remove(&mut self, slot: LinkSlot) {
        self.0 &= !slot.bit();
    }
}

/// Number of a link, below [`MAX_LINKS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LinkSlot(pub(crate) u32);

/// Most links of one node.
pub(crate) const MAX_LINKS: u32 = 64;

impl LinkSlot {
    const fn bit(self) -> u64 {
        1 << (self.0 % MAX_LINKS)
    }
}

#[derive(Clone, Debug)]
struct Entry {
    item: Item,
    sequence: Sequence,
    known_by: LinkSet,
}

/// Whether a merged item changed the map.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Merged {
    /// It replaced what was known.
    Newer,
    /// It was known.
    Same,
    /// Something larger is known.
    Older,
}

/// Versioned map of items.
#[derive(Clone, Debug)]
pub struct ItemMap {
    entries: BTreeMap<ItemKey, Entry>,
    urgent: BTreeMap<Sequence, ItemKey>,
    bulk: BTreeMap<Sequence, ItemKey>,
    last: Sequence,
    digest: Digest,
}

impl Default for ItemMap {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            urgent: BTreeMap::new(),
            bulk: BTreeMap::new(),
            last: Sequence::default(),
            digest: [0; DIGEST_BUCKETS],
        }
    }
}

impl ItemMap {
    /// Empty map.
    pub fn new() -> Self {
        Self::default()
    }

    /// Keeps the larger of an item and what is known under its key.
    pub fn merge(&mut self, item: Item) -> Merged {
        self.merge_from(item, None)
    }

    /// Merges an item that came on a link, which thus has it.
    pub(crate) fn merge_from(&mut self, item: Item, slot: Option<LinkSlot>) -> Merged {
        if let Some(entry) = self.entries.get_mut(&item.key) {
            if entry.item == item {
                if let Some(slot) = slot {
                    entry.known_by.insert(slot);
                }
                return Merged::Same;
            }
            if !item.supersedes(&entry.item) {
                return Merged::Older;
            }
        }
        self.remove(&item.key);
        self.insert(item, LinkSet::of(slot));
        Merged::Newer
    }

    fn insert(&mut self, item: Item, known_by: LinkSet) {
        let sequence = Sequence(self.last.0 + 1);
        self.last = sequence;
        self.toggle_digest(&item);
        self.queue_mut(item.queue())
            .insert(sequence, item.key.clone());
        let entry = Entry {
            sequence,
            known_by,
            item,
        };
        self.entries.insert(entry.item.key.clone(), entry);
    }

    /// Forgets an item.
    pub fn remove(&mut self, key: &ItemKey) {
        if let Some(entry) = self.entries.remove(key) {
            self.toggle_digest(&entry.item);
            self.queue_mut(entry.item.queue()).remove(&entry.sequence);
        }
    }

    /// Item of a key.
    pub fn get(&self, key: &ItemKey) -> Option<&Item> {
        self.entries.get(key).map(|entry| &entry.item)
    }

    /// Every item, by key.
    pub fn items(&self) -> impl Iterator<Item = &Item> {
        self.entries.values().map(|entry| &entry.item)
    }

    /// Count of items.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no item.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Digest of everything but the loads of live endpoints.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Keys and versions in the buckets that differ from another digest.
    pub(crate) fn versions_in_differing_buckets(
        &self,
        other: &[u64],
    ) -> Vec<(ItemKey, ItemVersion)> {
        let differs: Vec<bool> = self
            .digest
            .iter()
            .enumerate()
            .map(|(bucket, own)| other.get(bucket) != Some(own))
            .collect();
        if !differs.contains(&true) {
            return Vec::new();
        }
        let items = self
            .items()
            .filter(|item| item.queue() == LinkQueue::Urgent);
        items
            .filter(|item| differs[bucket_of(&item.key)])
            .map(|item| (item.key.clone(), item.version))
            .collect()
    }

    /// Items of a lane that were learned after a position and that a link lacks.
    pub(crate) fn learned_after(
        &self,
        queue: LinkQueue,
        after: Sequence,
        slot: LinkSlot,
    ) -> impl Iterator<Item = (Sequence, &Item)> {
        let range = self.queue(queue).range(Sequence(after.0 + 1)..);
        range.filter_map(move |(sequence, key)| {
            let entry = self.entries.get(key)?;
            (!entry.known_by.contains(slot)).then_some((*sequence, &entry.item))
        })
    }

    /// Last position of a lane.
    pub(crate) fn last(&self, queue: LinkQueue) -> Sequence {
        let last = self.queue(queue).last_key_value();
        last.map_or(Sequence::default(), |(sequence, _)| *sequence)
    }

    /// Forgets what a link has; its slot is about to be used for another.
    pub(crate) fn forget_link(&mut self, slot: LinkSlot) {
        for entry in self.entries.values_mut() {
            entry.known_by.remove(slot);
        }
    }

    fn queue(&self, queue: LinkQueue) -> &BTreeMap<Sequence, ItemKey> {
        match queue {
            LinkQueue::Urgent => &self.urgent,
            LinkQueue::Bulk => &self.bulk,
        }
    }

    fn queue_mut(&mut self, queue: LinkQueue) -> &mut BTreeMap<Sequence, ItemKey> {
        match queue {
            LinkQueue::Urgent => &mut self.urgent,
            LinkQueue::Bulk => &mut self.bulk,
        }
    }

    fn toggle_digest(&mut self, item: &Item) {
        if item.queue() == LinkQueue::Urgent {
            self.digest[bucket_of(&item.key)] ^= item.stable_hash();
        }
    }
}

fn bucket_of(key: &ItemKey) -> usize {
    key.stable_hash() as usize % DIGEST_BUCKETS
}
