//! Endpoints as listed in the platform's registry.
//!
//! Entries may lapse during a store outage although their endpoints are alive, so
//! entries that are missing right after an outage are held for a grace period.

use std::{collections::BTreeMap, sync::Arc};

use parsleylatch_types::{EndpointId, Millis, MonoTime, Revision};

use super::endpoint_table::EndpointEntry;

/// Time after an outage during which lapsed entries are held. The platform specifies
/// about two seconds for endpoints to register again.
const OUTAGE_GRACE_MS: Millis = Millis::new(2_000);

/// Changes between two listings of the registry.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegistryChange {
    /// Endpoints with a new or changed entry.
    pub updated: Vec<EndpointId>,
    /// Endpoints that are no longer listed.
    pub removed: Vec<EndpointId>,
    /// Endpoints that are missing, but held until the grace period ends.
    pub held: Vec<EndpointId>,
}

/// Current entries of the registry.
#[derive(Debug, Default)]
pub struct Registry {
    entries: BTreeMap<EndpointId, Arc<EndpointEntry>>,
    revision: Revision,
    is_known: bool,
    /// Start of the current store outage.
    unavailable_since: Option<MonoTime>,
    recovered_at: Option<MonoTime>,
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

    /// Records that a call to the store failed.
    pub fn record_failure(&mut self, now: MonoTime) {
        self.unavailable_since.get_or_insert(now);
    }

    /// Whether entries are still held after the grace period. The last listing then has
    /// to be applied again.
    pub fn is_hold_expired(&self, now: MonoTime) -> bool {
        let grace = OUTAGE_GRACE_MS.micros();
        self.has_held && self.recovered_at.is_none_or(|at| now.since(at) >= grace)
    }

    /// Whether a listing was applied at least once.
    pub fn is_known(&self) -> bool {
        self.is_known
    }

    /// Whether newer state than that of a store revision is known.
    pub fn is_newer_than(&self, revision: Revision) -> bool {
        self.is_known && self.revision > revision
    }

    /// Store revision of the last listing.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Entries, by id.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<EndpointEntry>> {
        self.entries.values()
    }
}
