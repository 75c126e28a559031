//! Keys, revisions and leases of the store.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use parsleylatch_types::{Millis, Revision, StoreEra};
use parsleylatch_wire::platform::{KeyValue, ListReply, WriteReply};
use serde::Serialize;

/// A write or delete, whether or not its conditions were met.
#[derive(Clone, Debug, Serialize)]
pub struct StoreLogEntry {
    /// Written key.
    pub key: String,
    /// New value; absent for a delete.
    pub value: Option<String>,
    /// Expected revision of the key, if any; 0 means that the key must not exist.
    pub expected: Option<Revision>,
    /// Whether the write took effect.
    pub written: bool,
    /// Store revision after the write.
    pub revision: Revision,
}

/// Conditions under which a write takes effect.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WriteConditions<'a> {
    /// Revision of the key.
    pub(crate) expected: Option<Revision>,
    /// Lease that has to be valid, and whose end deletes the key.
    pub(crate) lease_id: Option<u64>,
    /// Another key and its revision.
    pub(crate) guard: Option<(&'a str, Revision)>,
}

#[derive(Clone)]
struct StoredValue {
    value: String,
    revision: Revision,
    lease_id: Option<u64>,
}

#[derive(Clone)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// Copy of a store's contents.
#[derive(Clone)]
pub(crate) struct StoreSnapshot {
    keys: BTreeMap<String, StoredValue>,
    leases: BTreeMap<u64, Lease>,
    next_lease_id: u64,
    revision: Revision,
}

/// Contents of a store.
#[derive(Default)]
pub(crate) struct StoreData {
    keys: BTreeMap<String, StoredValue>,
    deleted: BTreeMap<String, Revision>,
    leases: BTreeMap<u64, Lease>,
    next_lease_id: u64,
    revision: Revision,
    log: Vec<StoreLogEntry>,
    /// Changes up to this revision are no longer available to watches.
    compacted_revision: Revision,
    era: Option<StoreEra>,
}

impl StoreData {
    /// Creates an empty store.
    pub(crate) fn in_era(era: Option<StoreEra>) -> Self {
        Self {
            era,
            ..Self::default()
        }
    }

    pub(crate) fn era(&self) -> Option<StoreEra> {
        self.era
    }

    /// Copies the contents.
    pub(crate) fn snapshot(&mut self, now: Instant) -> StoreSnapshot {
        self.expire_leases(now);
        StoreSnapshot {
            keys: self.keys.clone(),
            leases: self.leases.clone(),
            next_lease_id: self.next_lease_id,
            revision: self.revision,
        }
    }

    /// Goes back to a copy, whose leases begin anew, and returns the era that begins. The
    /// log of writes is kept.
    pub(crate) fn restore(&mut self, now: Instant, snapshot: StoreSnapshot) -> StoreEra {
        let era = self.era.unwrap_or_default().next();
        self.era = Some(era);
        self.keys = snapshot.keys;
        self.leases = snapshot.leases;
        for lease in self.leases.values_mut() {
            lease.expires_at = now + lease.ttl;
        }
        self.next_lease_id = snapshot.next_lease_id;
        self.revision = snapshot.revision;
        // A copy holds no history.
        self.compact_history();
        era
    }

    /// Discards the change history up to the current revision.
    pub(crate) fn compact_history(&mut self) {
        self.compacted_revision = self.revision;
        self.deleted.clear();
    }

    /// Returns whether all changes after a revision are still available.
    pub(crate) fn has_history_after(&self, after: Revision) -> bool {
        let is_issued = self.era.is_none() || after <= self.revision;
        is_issued && after >= self.compacted_revision
    }

    pub(crate) fn log(&self) -> &[StoreLogEntry] {
        &self.log
    }

    pub(crate) fn read(&mut self, now: Instant, key: &str) -> Option<KeyValue> {
        self.expire_leases(now);
        self.entry(key)
    }

    /// Lists the keys with a prefix that were written or deleted after a revision.
    pub(crate) fn list(&mut self, now: Instant, prefix: &str, after: Revision) -> ListReply {
        self.expire_leases(now);
        let matching = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
        let entries = matching
            .filter(|(_, stored)| stored.revision > after)
            .map(|(key, stored)| to_key_value(key, stored))
            .collect();
        let deleted = self
            .deleted
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let deleted = deleted
            .filter(|(_, revision)| **revision > after)
            .map(|(key, _)| key.clone())
            .collect();
        ListReply {
            entries,
            deleted,
            revision: self.revision,
        }
    }

    /// Writes or deletes a key if the conditions are met.
    pub(crate) fn write(
        &mut self,
        now: Instant,
        key: &str,
        value: Option<&str>,
        conditions: WriteConditions<'_>,
    ) -> WriteReply {
        self.expire_leases(now);
        let WriteConditions {
            expected,
            lease_id,
            guard,
        } = conditions;
        let revision_of = |key: &str| {
            let stored = self.keys.get(key);
            stored.map_or(Revision::ZERO, |stored| stored.revision)
        };
        let current = revision_of(key);
        let is_guard_met = guard.is_none_or(|(key, revision)| revision_of(key) == revision);
        let is_lease_valid = lease_id.is_none_or(|lease_id| self.leases.contains_key(&lease_id));
        let written =
            is_lease_valid && is_guard_met && expected.is_none_or(|expected| expected == current);
        if written {
            self.apply(key, value, lease_id);
        }
        self.log.push(StoreLogEntry {
            key: key.to_owned(),
            value: value.map(str::to_owned),
            expected,
            written,
            revision: self.revision,
        });
        WriteReply {
            written,
            entry: self.entry(key),
        }
    }

    pub(crate) fn grant(&mut self, now: Instant, ttl_ms: Millis) -> u64 {
        self.expire_leases(now);
        self.next_lease_id += 1;
        let ttl = ttl_ms.duration();
        self.leases.insert(
            self.next_lease_id,
            Lease {
                ttl,
                expires_at: now + ttl,
            },
        );
        self.next_lease_id
    }

    /// Renews a lease; returns `false` if it has expired.
    pub(crate) fn renew(&mut self, now: Instant, lease_id: u64) -> bool {
        self.expire_leases(now);
        let lease = self.leases.get_mut(&lease_id);
        lease
            .map(|lease| lease.expires_at = now + lease.ttl)
            .is_some()
    }

    pub(crate) fn revoke(&mut self, lease_id: u64) {
        self.leases.remove(&lease_id);
        self.delete_lease_keys(lease_id);
    }

    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }

    fn entry(&self, key: &str) -> Option<KeyValue> {
        self.keys.get(key).map(|stored| to_key_value(key, stored))
    }

    fn apply(&mut self, key: &str, value: Option<&str>, lease_id: Option<u64>) {
        self.revision = self.revision.next();
        let revision = self.revision;
        match value {
            Some(value) => {
                let stored = StoredValue {
                    value: value.to_owned(),
                    revision,
                    lease_id,
                };
                self.keys.insert(key.to_owned(), stored);
                self.deleted.remove(key);
            }
            None => {
                if self.keys.remove(key).is_some() {
                    self.deleted.insert(key.to_owned(), revision);
                }
            }
        }
    }

    fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(lease_id, _)| *lease_id)
            .collect();
        for lease_id in expired {
            self.revoke(lease_id);
        }
    }

    fn delete_lease_keys(&mut self, lease_id: u64) {
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease_id == Some(lease_id))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.apply(&key, None, None);
        }
    }
}

fn to_key_value(key: &str, stored: &StoredValue) -> KeyValue {
    KeyValue {
        key: key.to_owned(),
        value: stored.value.clone(),
        revision: stored.revision,
    }
}
