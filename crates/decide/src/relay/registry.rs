//! Endpoints as listed in the platform's registry.
//!
//! Entries may lapse during a store outage although their endpoints are alive, so
//! entries that are missing right after an outage are held for a grace period.
//!
//! A store that is restored from a copy lists what was known when the copy was made. An
//! entry that is missing is then held as well, and an endpoint that has left meanwhile is
//! withheld until its entry is newer than the one with which it left.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use parsleylatch_types::{
    EndpointId, EntrySequence, Incarnation, Millis, MonoTime, StoreEra, StorePosition,
};

use super::endpoint_table::EndpointEntry;

/// Time after an outage during which lapsed entries are held. The platform specifies
/// about two seconds for endpoints to register again.
const OUTAGE_GRACE_MS: Millis = Millis::new(2_000);
/// Time after a restore during which missing entries are held: three heartbeats, at which
/// endpoints notice that the store has lost their entries.
pub const RESTORE_GRACE_MS: Millis = Millis::new(3_600);
/// Time for which endpoints that have left are remembered; a copy is some seconds old.
const DEPARTURE_MEMORY_MS: Millis = Millis::new(600_000);
/// Endpoints that have left are remembered up to this number, which is several times the
/// endpoints of the largest deployment.
const DEPARTURES_LIMIT: usize = 4_096;

/// Entry of an endpoint as listed by the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEntry {
    /// Entry.
    pub entry: EndpointEntry,
    /// Number of the endpoint's writes, if the entry states it.
    pub sequence: Option<EntrySequence>,
    /// Whether the entry was written after the first listing of the store's era.
    pub is_rewritten: bool,
}

/// Changes between two listings of the registry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegistryChange {
    /// Endpoints with a new or changed entry.
    pub updated: Vec<EndpointId>,
    /// Endpoints that are no longer listed.
    pub removed: Vec<EndpointId>,
    /// Endpoints that are missing, but held until the grace period ends.
    pub held: Vec<EndpointId>,
    /// Endpoints whose listed entry is older than what is known, and was used before.
    pub withheld: Vec<EndpointId>,
    /// Whether this is the first listing after a restore.
    pub is_restored: bool,
}

/// How new the entry of an endpoint is, by what the entry itself states.
#[derive(Clone, Copy, Debug)]
struct EntryAge {
    incarnation: Incarnation,
    sequence: Option<EntrySequence>,
}

impl EntryAge {
    /// Whether an entry that is listed after a restore is newer than this one.
    fn is_passed_by(self, listed: &ListedEntry) -> bool {
        let incarnation = listed.entry.key.incarnation;
        if incarnation != self.incarnation {
            return incarnation > self.incarnation;
        }
        match (self.sequence, listed.sequence) {
            (Some(known), Some(sequence)) => sequence > known,
            _ => listed.is_rewritten,
        }
    }
}

#[derive(Debug)]
struct KnownEntry {
    entry: Arc<EndpointEntry>,
    sequence: Option<EntrySequence>,
    /// Era of the store that listed the entry.
    era: StoreEra,
}

impl KnownEntry {
    fn age(&self) -> EntryAge {
        EntryAge {
            incarnation: self.entry.key.incarnation,
            sequence: self.sequence,
        }
    }

    /// Whether an entry listed by a restored store must not replace this one.
    fn outlasts(&self, listed: &ListedEntry) -> bool {
        let is_same_age = self.entry.key.incarnation == listed.entry.key.incarnation
            && self.sequence == listed.sequence;
        match is_same_age {
            true => {
                let returns = self.entry.is_leaving && !listed.entry.is_leaving;
                returns && !self.age().is_passed_by(listed)
            }
            false => !self.age().is_passed_by(listed),
        }
    }
}

/// Endpoint that is no longer listed.
#[derive(Debug)]
struct Departure {
    age: EntryAge,
    era: StoreEra,
    at: MonoTime,
}

/// Current entries of the registry.
#[derive(Debug, Default)]
pub struct Registry {
    entries: BTreeMap<EndpointId, KnownEntry>,
    departures: BTreeMap<EndpointId, Departure>,
    /// Endpoints whose listed entry is not used.
    withheld: BTreeSet<EndpointId>,
    position: StorePosition,
    is_known: bool,
    /// Start of the current store outage.
    unavailable_since: Option<MonoTime>,
    recovered_at: Option<MonoTime>,
    restored_at: Option<MonoTime>,
    /// Whether lapsed entries are held.
    has_held: bool,
}

impl Registry {
    /// Creates a registry without a listing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies a full listing whose read started at `now`.
    ///
    /// A listing older than the last one is ignored.
    pub fn apply(
        &mut self,
        now: MonoTime,
        position: StorePosition,
        entries: Vec<ListedEntry>,
    ) -> Option<RegistryChange> {
        if self.is_known && position < self.position {
            return None;
        }
        if self.unavailable_since.take().is_some() {
            self.recovered_at = Some(now);
        }
        let mut change = RegistryChange {
            is_restored: self.is_known && position.era > self.position.era,
            ..RegistryChange::default()
        };
        if change.is_restored {
            self.restored_at = Some(now);
            self.withheld.clear();
        }
        let mut missing = std::mem::take(&mut self.entries);
        for listed in entries {
            let id = listed.entry.key.id.clone();
            let earlier = missing.remove(&id);
            if self.is_withheld(earlier.as_ref(), &listed, position.era) {
                self.entries
                    .extend(earlier.map(|known| (id.clone(), known)));
                if self.withheld.insert(id.clone()) {
                    change.withheld.push(id);
                }
                continue;
            }
            self.withheld.remove(&id);
            self.departures.remove(&id);
            if earlier.is_none_or(|known| *known.entry != listed.entry) {
                change.updated.push(id.clone());
            }
            let known = KnownEntry {
                entry: Arc::new(listed.entry),
                sequence: listed.sequence,
                era: position.era,
            };
            self.entries.insert(id, known);
        }
        let in_grace = self.is_in_grace(now);
        for (id, known) in missing {
            if in_grace && !known.entry.is_leaving {
                change.held.push(id.clone());
                self.entries.insert(id, known);
            } else {
                self.record_departure(now, position.era, &id, known.age());
                change.removed.push(id);
            }
        }
        self.has_held = !change.held.is_empty();
        self.position = position;
        self.is_known = true;
        Some(change)
    }

    /// Whether a listed entry must not be used, as it is older than what an earlier era
    /// of the store has told.
    fn is_withheld(&self, known: Option<&KnownEntry>, listed: &ListedEntry, era: StoreEra) -> bool {
        if let Some(known) = known {
            return known.era < era && known.outlasts(listed);
        }
        let departure = self.departures.get(&listed.entry.key.id);
        departure.is_some_and(|left| left.era < era && !left.age.is_passed_by(listed))
    }

    fn record_departure(&mut self, now: MonoTime, era: StoreEra, id: &EndpointId, age: EntryAge) {
        let withheld = &self.withheld;
        self.departures.retain(|id, left| {
            withheld.contains(id) || now.since(left.at) < DEPARTURE_MEMORY_MS.micros()
        });
        if self.departures.len() >= DEPARTURES_LIMIT {
            let oldest = self.departures.iter().min_by_key(|(_, left)| left.at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.departures.remove(&oldest);
            }
        }
        let departure = Departure { age, era, at: now };
        self.departures.insert(id.clone(), departure);
    }

    fn is_in_grace(&self, now: MonoTime) -> bool {
        let is_within = |start: Option<MonoTime>, grace: Millis| {
            start.is_some_and(|at| now.since(at) < grace.micros())
        };
        is_within(self.recovered_at, OUTAGE_GRACE_MS)
            || is_within(self.restored_at, RESTORE_GRACE_MS)
    }

    /// Records that a call to the store failed.
    pub fn record_failure(&mut self, now: MonoTime) {
        self.unavailable_since.get_or_insert(now);
    }

    /// Whether entries are still held after the grace period. The last listing then has
    /// to be applied again.
    pub fn is_hold_expired(&self, now: MonoTime) -> bool {
        self.has_held && !self.is_in_grace(now)
    }

    /// Whether a listing was applied at least once.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Whether newer state than that of a store position is known.
    pub fn is_newer_than(&self, position: StorePosition) -> bool {
        self.is_known && self.position > position
    }

    /// Store position of the last listing.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Whether the listed entry of an endpoint is not used.
    pub fn withholds(&self, id: &EndpointId) -> bool {
        self.withheld.contains(id)
    }

    /// Entries, by id.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<EndpointEntry>> {
        self.entries.values().map(|known| &known.entry)
    }
}
