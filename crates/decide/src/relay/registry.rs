//! Endpoints as the platform's registry lists them.
//!
//! Entries may lapse while the store is away although their endpoints live, so
//! what is missing right after an outage counts as present for a while.

use std::{collections::BTreeMap, sync::Arc};

use parsleylatch_types::{EndpointId, Millis, MonoTime, Revision};

use super::endpoint_table::EndpointEntry;

/// Time after an outage in which a lapsed entry may come back; the platform
/// states about two seconds.
const OUTAGE_GRACE_MS: Millis = Millis::new(2_000);

/// What a reading of the registry changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegistryChange {
    /// Endpoints that are new, or whose entry changed.
    pub updated: Vec<EndpointId>,
    /// Endpoints that are gone.
    pub removed: Vec<EndpointId>,
    /// Endpoints that are missing, and held until the grace after an outage ends.
    pub held: Vec<EndpointId>,
}

/// Entries in force.
#[derive(Debug, Default)]
pub struct Registry {
    entries: BTreeMap<EndpointId, Arc<EndpointEntry>>,
    revision: Revision,
    /// Whether it was read at least once.
    is_known: bool,
    /// Since when the store has not answered; `None` while it does.
    unavailable_since: Option<MonoTime>,
    recovered_at: Option<MonoTime>,
    /// Whether entries that lapsed are held.
    has_held: bool,
}

impl Registry {
    /// Registry that was never read.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes a whole reading that started at `now`.
    ///
    /// A reading at an older revision than the last one is ignored.
    pub fn apply(
        &mut self,
        now: MonoTime,
        revision: Revision,
        entries: Vec<EndpointEntry>,
    ) -> Option<RegistryChange> {
        if self.is_known && revision < self.revision {
            return None;
        }
        if self.unavailable_since.take().is_some() {
            self.recovered_at = Some(now);
        }
        let in_grace = self
            .recovered_at
            .is_some_and(|at| now.since(at) < OUTAGE_GRACE_MS.micros());
        let mut change = RegistryChange::default();
        let mut missing = std::mem::take(&mut self.entries);
        for entry in entries {
            let earlier = missing.remove(&entry.key.id);
            if earlier.as_deref() != Some(&entry) {
                change.updated.push(entry.key.id.clone());
            }
            self.entries.insert(entry.key.id.clone(), Arc::new(entry));
        }
        for (id, entry) in missing {
            if in_grace && !entry.is_leaving {
                change.held.push(id.clone());
                self.entries.insert(id, entry);
            } else {
                change.removed.push(id);
            }
        }
        self.has_held = !change.held.is_empty();
        self.revision = revision;
        self.is_known = true;
        Some(change)
    }

    /// Notes that the store did not answer.
    pub fn record_failure(&mut self, now: MonoTime) {
        self.unavailable_since.get_or_insert(now);
    }

    /// Whether entries are held that did not come back in time; the last reading has
    /// to be applied again.
    pub fn is_hold_expired(&self, now: MonoTime) -> bool {
        let grace = OUTAGE_GRACE_MS.micros();
        self.has_held && self.recovered_at.is_none_or(|at| now.since(at) >= grace)
    }

    /// Whether it was read at least once.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Store revision of the last reading.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Entries, by id.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<EndpointEntry>> {
        self.entries.values()
    }
}
