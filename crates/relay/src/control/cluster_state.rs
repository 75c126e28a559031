//! The configuration and the endpoints as known to this node, and how fresh they are.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use parsleylatch_decide::relay::{
    ConfigurationMark, EndpointEntry, ListedEntry, NodeLocation, PartVerdicts, Registry,
    RegistryChange, RelayConfiguration, RemovalLog, VersionRule,
};
use parsleylatch_types::{
    EndpointVersion, EntrySequence, Micros, Millis, MonoTime, Revision, ServiceName, StoreEra,
    StorePosition,
};
use parsleylatch_wire::{
    platform::KeyValue,
    relay::{RelayQuery, RelayState},
};

use super::{
    cluster_log::{ChangedIds, report_findings, report_lowered_head_limit},
    documents::{DocumentSet, StoredDocument},
};
use crate::{
    shared::{Shared, Snapshot},
    telemetry::RelayCounter,
};

/// Age from which the state counts as stale, so that other nodes are queried; longer than
/// a slow response of the store takes.
const STALE_AGE_MS: Millis = Millis::new(1_400);
/// Age reported by a node without any state.
const UNKNOWN_AGE_MS: u64 = u64::MAX;

/// Stored document of an endpoint, and its parsed entry if it is valid.
struct RegisteredEndpoint {
    document: StoredDocument,
    entry: Option<EndpointEntry>,
    /// Number of the endpoint's writes, if the document states it.
    sequence: Option<EntrySequence>,
}

/// Configuration and endpoint registry, with the documents they were parsed from.
pub(crate) struct ClusterState {
    shared: Arc<Shared>,
    configuration: Option<Arc<RelayConfiguration>>,
    configuration_document: Option<StoredDocument>,
    /// Position of the last configuration that did not replace the one in force.
    held_configuration: Option<StorePosition>,
    /// Position of the first documents that were read in the current era of the store.
    era_start: StorePosition,
    registry: Registry,
    /// Endpoints by key.
    registered: BTreeMap<String, RegisteredEndpoint>,
    removals: RemovalLog,
    /// Revisions of the unreadable documents that were reported, by key.
    unreadable: HashMap<String, Revision>,
    changed: bool,
    nodes: Arc<[NodeLocation]>,
}

impl ClusterState {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            configuration: None,
            configuration_document: None,
            held_configuration: None,
            era_start: StorePosition::ZERO,
            registry: Registry::new(),
            registered: BTreeMap::new(),
            removals: RemovalLog::default(),
            unreadable: HashMap::new(),
            changed: false,
            nodes: Arc::default(),
        }
    }

    /// Whether the node has enough state to accept callers.
    pub(crate) fn is_initialized(&self) -> bool {
        self.configuration.is_some() && self.registry.is_known()
    }

    /// Whether the state is so old that other nodes have to be queried.
    pub(crate) fn is_stale(&self, now: MonoTime) -> bool {
        let limit = self.shared.freshness_limit(STALE_AGE_MS);
        let is_outdated = self.shared.confirmed_age() > limit.micros();
        is_outdated
            || self.is_in_earlier_era()
            || !self.is_initialized() && now.since(MonoTime::ZERO) > STALE_AGE_MS.micros()
    }

    /// Whether the store was restored since the known documents were read.
    pub(crate) fn is_in_earlier_era(&self) -> bool {
        self.registry.is_known() && self.registry.position().era < self.shared.store_era()
    }

    /// Whether documents are the first of a restored store.
    pub(crate) fn is_restored_by(&self, read: &DocumentSet) -> bool {
        self.registry.is_known() && read.position.era > self.registry.position().era
    }

    /// Whether documents read from the store are older than what another node has passed on.
    /// They must not replace the newer ones, which this node would pass on under their
    /// revision.
    pub(crate) fn is_outdated(&self, read: &DocumentSet) -> bool {
        let is_outdated = self.registry.is_newer_than(read.position);
        if is_outdated {
            log::info!(
                revision = read.position.revision.get(),
                era = read.position.era.get(),
                known = self.registry.position().revision.get(),
                known_era = self.registry.position().era.get();
                "older documents from the store ignored"
            );
        }
        is_outdated
    }

    /// Records that the store has answered a call that began at `started_at`, with documents
    /// that are not applied.
    pub(crate) fn record_outdated(&mut self, started_at: MonoTime) {
        self.record_store_success();
        self.shared.record_confirmation(started_at);
    }

    /// Applies a listing of all documents, read by a call that began at `started_at`.
    pub(crate) fn apply_listing(&mut self, listing: DocumentSet, started_at: MonoTime) {
        self.record_store_success();
        self.replace_entries(listing, "store");
        self.shared.record_confirmation(started_at);
    }

    /// Applies changed documents; the state is confirmed as of `known_at`.
    pub(crate) fn apply_changes(&mut self, changes: DocumentSet, known_at: MonoTime) {
        self.record_store_success();
        self.merge_changes(changes, "store");
        self.shared.record_confirmation(known_at);
    }

    fn replace_entries(&mut self, listing: DocumentSet, source: &str) {
        self.registered.clear();
        self.removals.restart(listing.position);
        self.merge_changes(listing, source);
    }

    fn merge_changes(&mut self, changes: DocumentSet, source: &str) {
        if changes.position.era > self.era_start.era {
            self.era_start = changes.position;
        }
        for key in &changes.deleted {
            self.registered.remove(key);
            self.removals.record(changes.position, key);
        }
        let codec = self.shared.codec.documents;
        for document in changes.documents {
            if document.entry.key == codec.configuration_key {
                self.apply_configuration(document, source);
            } else if document.entry.key.starts_with(codec.registry_prefix) {
                self.upsert_entry(document);
            }
        }
        self.apply_registry(changes.position, source);
    }

    fn upsert_entry(&mut self, document: StoredDocument) {
        let KeyValue { key, value, .. } = &document.entry;
        let codec = self.shared.codec.documents;
        let sequence = (codec.read_sequence)(value);
        let read = (codec.read_entry)(key, value);
        let entry = read.map_err(|reason| self.report_unreadable(&document.entry, &reason));
        let entry = entry.ok();
        let key = document.entry.key.clone();
        let registered = RegisteredEndpoint {
            document,
            entry,
            sequence,
        };
        self.registered.insert(key, registered);
    }

    fn record_store_success(&mut self) {
        if self.shared.set_store_failing(false) {
            log::info!(
                away_ms = self.shared.confirmed_age().millis().get();
                "store regained"
            );
        }
    }

    fn apply_configuration(&mut self, document: StoredDocument, source: &str) {
        let known = self.configuration_mark();
        let position = document.position();
        let is_without_era = [position.era, known.position.era] == [StoreEra::ZERO; 2];
        let is_read = self.configuration.is_some() && known.position == position;
        if is_read || is_without_era && known.position >= position {
            return;
        }
        let KeyValue {
            key,
            revision,
            value,
        } = &document.entry;
        let parts = (self.shared.codec.documents.read_configuration)(value);
        let built = parts.and_then(|parts| {
            // A document that is refused is read again with each listing.
            if self.unreadable.get(key) != Some(revision) {
                report_findings(&self.shared.codec.documents, *revision, &parts);
            }
            RelayConfiguration::build(*revision, parts).map_err(|it| it.to_string())
        });
        match built {
            Ok(configuration) => {
                let mark = ConfigurationMark {
                    version: configuration.version(),
                    position,
                };
                if self.configuration.is_some() && !mark.replaces(&known) {
                    self.hold_configuration(mark, known, source);
                    return;
                }
                log::info!(
                    revision = revision.get(),
                    era = position.era.get(),
                    version = configuration.version(),
                    source = source,
                    earlier = known.position.revision.get();
                    "configuration applied"
                );
                self.shared
                    .metrics
                    .increment(RelayCounter::ConfigurationsApplied);
                report_lowered_head_limit(&configuration);
                self.configuration = Some(Arc::new(configuration));
                self.configuration_document = Some(document);
                self.changed = true;
            }
            Err(reason) => self.report_unreadable(&document.entry, &reason),
        }
    }

    /// Keeps the known configuration, as the one that was read is older; logs and counts each
    /// such document once.
    fn hold_configuration(
        &mut self,
        read: ConfigurationMark,
        known: ConfigurationMark,
        source: &str,
    ) {
        if self.held_configuration.replace(read.position) == Some(read.position) {
            return;
        }
        self.shared.metrics.increment(RelayCounter::DocumentsHeld);
        log::warn!(
            version = read.version,
            revision = read.position.revision.get(),
            era = read.position.era.get(),
            known_version = known.version,
            source = source;
            "older configuration ignored"
        );
    }

    fn apply_registry(&mut self, position: StorePosition, source: &str) {
        let now = self.shared.now();
        let configuration_key = self.shared.codec.documents.configuration_key;
        let era_start = self.era_start;
        let entries = self.registered.values().filter_map(|it| {
            Some(ListedEntry {
                entry: it.entry.clone()?,
                sequence: it.sequence,
                is_rewritten: it.document.position() > era_start,
            })
        });
        let entries = entries.collect();
        self.unreadable
            .retain(|key, _| self.registered.contains_key(key) || key == configuration_key);
        let Some(change) = self.registry.apply(now, position, entries) else {
            return;
        };
        self.shared.set_known_position(position);
        self.count_restored(&change);
        if !change.updated.is_empty() || !change.removed.is_empty() {
            log::info!(
                revision = position.revision.get(),
                era = position.era.get(),
                source = source,
                updated = change.updated.len(),
                removed = change.removed.len(),
                held = change.held.len(),
                changes:% = ChangedIds([&change.updated, &change.removed]);
                "registry changed"
            );
            self.changed = true;
        }
    }

    fn count_restored(&self, change: &RegistryChange) {
        let metrics = &self.shared.metrics;
        let dropped = change.withheld.len();
        metrics.add(RelayCounter::DocumentsDropped, dropped);
        let held = match change.is_restored {
            true => change.held.len(),
            false => 0,
        };
        metrics.add(RelayCounter::DocumentsHeld, held);
        if change.is_restored || dropped > 0 {
            log::info!(
                era = self.registry.position().era.get(),
                held = held,
                dropped = dropped,
                ids:% = ChangedIds([&change.held, &change.withheld]);
                "registry of a restored store"
            );
        }
    }

    /// Logs and counts an unreadable document, once per key.
    fn report_unreadable(&mut self, document: &KeyValue, reason: &str) {
        let previous = self
            .unreadable
            .insert(document.key.clone(), document.revision);
        if previous.is_none() {
            self.shared
                .metrics
                .increment(RelayCounter::DocumentsUnreadable);
            log::warn!(
                key = document.key.as_str(),
                revision = document.revision.get(),
                reason = reason;
                "document can't be read"
            );
        }
    }

    /// Records a failed call to the store.
    pub(crate) fn record_store_failure(&mut self, now: MonoTime) {
        self.registry.record_failure(now);
        if !self.shared.set_store_failing(true) {
            log::warn!(
                knowledge_age_ms = self.shared.confirmed_age().millis().get();
                "store lost"
            );
        }
    }

    /// Removes entries that expired during an outage once their grace period is over.
    pub(crate) fn expire(&mut self, now: MonoTime) {
        if self.registry.is_hold_expired(now) {
            self.apply_registry(self.registry.position(), "store");
        }
    }

    /// Query for the state of another node.
    pub(crate) fn peer_query(&self) -> RelayQuery {
        let configuration = self.configuration_mark();
        let registry = self.registry.position();
        RelayQuery {
            configuration_revision: configuration.position.revision.get(),
            configuration_era: configuration.position.era.get(),
            configuration_version: configuration.version,
            registry_revision: registry.revision.get(),
            store_era: registry.era.get(),
            ..RelayQuery::default()
        }
    }

    /// Applies the configuration and the freshness reported by another node.
    pub(crate) fn apply_peer_state(&mut self, state: &RelayState, sent_at: MonoTime) {
        if state.reads_store && !*self.shared.reads_store.borrow() {
            self.record_store_success();
        }
        if let Some(document) = &state.configuration {
            self.apply_configuration(document.into(), "peer");
        }
        let peer = ConfigurationMark {
            version: state.configuration_version,
            position: to_position(state.configuration_era, state.configuration_revision),
        };
        let is_newest = !peer.replaces(&self.configuration_mark());
        if is_newest && state.age_ms != UNKNOWN_AGE_MS {
            let age = Millis::new(state.age_ms).micros();
            let confirmed_at = sent_at.get().saturating_sub(age.get());
            self.shared.record_confirmation(MonoTime::new(confirmed_at));
        }
    }

    /// Entries reported by another node, if they are newer than those of this node.
    pub(crate) fn newer_entries(&self, state: &RelayState) -> Option<DocumentSet> {
        let position = to_position(state.store_era, state.registry_revision);
        let known = self.registry.position();
        // Changes since a position of another era would be incomplete.
        let is_applicable = state.is_complete || position.era == known.era;
        (position > known && is_applicable).then(|| DocumentSet {
            documents: state.entries.iter().map(StoredDocument::from).collect(),
            deleted: state.removed.clone(),
            position,
        })
    }

    /// Applies entries reported by another node: a full listing or the changes.
    pub(crate) fn apply_peer_entries(&mut self, newer: DocumentSet, is_complete: bool) {
        match is_complete {
            true => self.replace_entries(newer, "peer"),
            false => self.merge_changes(newer, "peer"),
        }
    }

    /// Response to another node's query. `others` are the documents other than the
    /// configuration and the endpoints' entries.
    pub(crate) fn state_for<'a, Others>(&'a self, query: &RelayQuery, others: Others) -> RelayState
    where
        Others: Iterator<Item = &'a StoredDocument>,
    {
        let requested = ConfigurationMark {
            version: query.configuration_version,
            position: to_position(query.configuration_era, query.configuration_revision),
        };
        let own = self.configuration_mark();
        let configuration = self.configuration_document.as_ref();
        let newer = configuration.filter(|_| own.replaces(&requested));
        let position = self.registry.position();
        let peer_position = to_position(query.store_era, query.registry_revision);
        let is_peer_behind = position > peer_position;
        let removals = self
            .removals
            .since(peer_position)
            .filter(|_| is_peer_behind);
        let is_complete = is_peer_behind && removals.is_none();
        let used = self.registered.values().filter(|it| {
            let id = it.entry.as_ref().map(|entry| &entry.key.id);
            id.is_none_or(|id| !self.registry.withholds(id))
        });
        let known = used.map(|it| &it.document).chain(others);
        let missing =
            known.filter(|it| is_complete || is_peer_behind && it.position() > peer_position);
        let entries = missing.map(StoredDocument::to_message).collect();
        let removed = removals.into_iter().flatten();
        let age: Micros = self.shared.confirmed_age();
        RelayState {
            age_ms: match self.is_initialized() {
                true => age.millis().get(),
                false => UNKNOWN_AGE_MS,
            },
            configuration: newer.map(StoredDocument::to_message),
            configuration_revision: own.position.revision.get(),
            configuration_era: own.position.era.get(),
            configuration_version: own.version,
            entries,
            registry_revision: position.revision.get(),
            store_era: position.era.get(),
            removed: removed.map(str::to_owned).collect(),
            is_complete,
            ..RelayState::default()
        }
    }

    /// Response that refers a node of another region to the nodes `near` it.
    pub(crate) fn referral_to(near: &[&StoredDocument]) -> RelayState {
        RelayState {
            age_ms: UNKNOWN_AGE_MS,
            same_region_nodes: near.iter().map(|entry| entry.to_message()).collect(),
            ..RelayState::default()
        }
    }

    /// Entries of the nodes that another node referred this one to.
    pub(crate) fn referred_entries(state: &RelayState) -> DocumentSet {
        let entries = state.same_region_nodes.iter();
        DocumentSet {
            documents: entries.map(StoredDocument::from).collect(),
            deleted: Vec::new(),
            position: StorePosition::ZERO,
        }
    }

    /// Publishes a snapshot to the traffic threads if anything has changed.
    pub(crate) fn publish(
        &mut self,
        nodes: &Arc<[NodeLocation]>,
        versions: &BTreeMap<ServiceName, VersionRule>,
        prompt_parts: &Arc<PartVerdicts>,
    ) {
        let nodes_changed = self.nodes != *nodes;
        let earlier = self.shared.snapshot.load();
        let versions_changed = earlier.versions != *versions;
        let parts_changed = !Arc::ptr_eq(&earlier.prompt_parts, prompt_parts);
        let rules_changed = versions_changed || parts_changed;
        if !std::mem::take(&mut self.changed) && !nodes_changed && !rules_changed {
            return;
        }
        let sequence = earlier.sequence + 1;
        self.shared.snapshot.store(Arc::new(Snapshot {
            sequence,
            configuration: self.configuration.clone(),
            endpoints: self.served_entries(),
            registry_revision: self.registry.position().revision,
            nodes: Arc::clone(nodes),
            versions: versions.clone(),
            prompt_parts: Arc::clone(prompt_parts),
        }));
        self.nodes = Arc::clone(nodes);
    }

    /// Entries of services that the configuration names. An entry of another service must
    /// not affect these, for example by naming the address of one of their endpoints.
    fn served_entries(&self) -> Arc<[Arc<EndpointEntry>]> {
        let configuration = self.configuration.as_ref();
        let entries = self.registry.entries();
        let served = entries
            .filter(|entry| configuration.is_some_and(|it| it.names_service(&entry.service)));
        served.cloned().collect()
    }

    /// Versions of a service in the registry.
    pub(crate) fn versions_of(&self, service: &ServiceName) -> BTreeSet<EndpointVersion> {
        let entries = self.registry.entries();
        let listed = entries.filter(|entry| entry.service == *service);
        listed.map(|entry| entry.version.clone()).collect()
    }

    /// Versions of the endpoints of a service that are not shutting down.
    pub(crate) fn staying_versions_of(&self, service: &ServiceName) -> BTreeSet<EndpointVersion> {
        let entries = self.registry.entries();
        let staying = entries.filter(|entry| entry.service == *service && !entry.is_leaving);
        staying.map(|entry| entry.version.clone()).collect()
    }

    /// Version and position of the known configuration.
    fn configuration_mark(&self) -> ConfigurationMark {
        let version = self.configuration.as_ref().map(|it| it.version());
        let document = self.configuration_document.as_ref();
        ConfigurationMark {
            version: version.unwrap_or_default(),
            position: document.map_or(StorePosition::ZERO, StoredDocument::position),
        }
    }
}

/// Position that another node states.
fn to_position(era: u64, revision: u64) -> StorePosition {
    StorePosition::new(StoreEra::new(era), Revision::new(revision))
}
