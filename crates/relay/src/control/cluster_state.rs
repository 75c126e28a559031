//! The configuration and the endpoints as known to this node, and how fresh they are.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use parsleylatch_decide::relay::{
    EndpointEntry, MemoryPlan, NodeLocation, PartVerdicts, Registry, RelayConfiguration,
    RelayConfigurationParts, RemovalLog, VersionRule, check_configuration,
};
use parsleylatch_types::{
    EndpointId, EndpointVersion, Micros, Millis, MonoTime, Revision, ServiceName,
};
use parsleylatch_wire::{
    platform::{KeyValue, ListReply},
    relay::{RelayQuery, RelayState, StoreDocument},
};

use crate::{
    shared::{Shared, Snapshot},
    telemetry::RelayCounter,
};

/// Age from which the state counts as stale, so that other nodes are queried; longer than
/// a slow response of the store takes.
const STALE_AGE_MS: Millis = Millis::new(1_400);
/// Findings about a configuration that are logged.
const MAX_FINDINGS_LOGGED: usize = 20;
/// Age reported by a node without any state.
const UNKNOWN_AGE_MS: u64 = u64::MAX;

/// Stored document of an endpoint, and its parsed entry if it is valid.
struct RegisteredEndpoint {
    document: KeyValue,
    entry: Option<EndpointEntry>,
}

/// Configuration and endpoint registry, with the documents they were parsed from.
pub(crate) struct ClusterState {
    shared: Arc<Shared>,
    configuration: Option<Arc<RelayConfiguration>>,
    configuration_document: Option<KeyValue>,
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
        is_outdated || !self.is_initialized() && now.since(MonoTime::ZERO) > STALE_AGE_MS.micros()
    }

    /// Whether documents read from the store are older than what another node has passed on.
    /// They must not replace the newer ones, which this node would pass on under their
    /// revision.
    pub(crate) fn is_outdated(&self, read: &ListReply) -> bool {
        let is_outdated = self.registry.is_newer_than(read.revision);
        if is_outdated {
            log::info!(
                revision = read.revision.get(),
                known = self.registry.revision().get();
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
    pub(crate) fn apply_listing(&mut self, listing: ListReply, started_at: MonoTime) {
        self.record_store_success();
        self.replace_entries(listing, "store");
        self.shared.record_confirmation(started_at);
    }

    /// Applies changed documents; the state is confirmed as of `known_at`.
    pub(crate) fn apply_changes(&mut self, changes: ListReply, known_at: MonoTime) {
        self.record_store_success();
        self.merge_changes(changes, "store");
        self.shared.record_confirmation(known_at);
    }

    fn replace_entries(&mut self, listing: ListReply, source: &str) {
        self.registered.clear();
        self.removals.restart(listing.revision);
        self.merge_changes(listing, source);
    }

    fn merge_changes(&mut self, changes: ListReply, source: &str) {
        for key in &changes.deleted {
            self.registered.remove(key);
            self.removals.record(changes.revision, key);
        }
        let codec = self.shared.codec.documents;
        for document in changes.entries {
            if document.key == codec.configuration_key {
                self.apply_configuration(document, source);
            } else if document.key.starts_with(codec.registry_prefix) {
                self.upsert_entry(document);
            }
        }
        self.apply_registry(changes.revision, source);
    }

    fn upsert_entry(&mut self, document: KeyValue) {
        let read = (self.shared.codec.documents.read_entry)(&document.key, &document.value);
        let entry = read.map_err(|reason| self.report_unreadable(&document, &reason));
        let entry = entry.ok();
        let key = document.key.clone();
        self.registered
            .insert(key, RegisteredEndpoint { document, entry });
    }

    fn record_store_success(&mut self) {
        if self.shared.set_store_failing(false) {
            log::info!(
                away_ms = self.shared.confirmed_age().millis().get();
                "store regained"
            );
        }
    }

    fn apply_configuration(&mut self, document: KeyValue, source: &str) {
        let known = self.configuration_document.as_ref();
        if known.is_some_and(|known| known.revision >= document.revision) {
            return;
        }
        let parts = (self.shared.codec.documents.read_configuration)(&document.value);
        let built = parts.and_then(|parts| {
            self.log_findings(&document, &parts);
            RelayConfiguration::build(document.revision, parts).map_err(|it| it.to_string())
        });
        match built {
            Ok(configuration) => {
                log::info!(
                    revision = document.revision.get(),
                    version = configuration.version(),
                    source = source,
                    earlier = known.map_or(0, |known| known.revision.get());
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
            Err(reason) => self.report_unreadable(&document, &reason),
        }
    }

    /// Logs what a check finds in a configuration that was read.
    fn log_findings(&self, document: &KeyValue, parts: &RelayConfigurationParts) {
        // A document that is refused is read again with each listing.
        if self.unreadable.get(&document.key) == Some(&document.revision) {
            return;
        }
        let path = self.shared.codec.documents.configuration_path;
        for finding in check_configuration(parts).iter().take(MAX_FINDINGS_LOGGED) {
            log::info!(
                revision = document.revision.get(),
                severity:% = finding.severity(),
                finding:% = finding.kind,
                place = path(finding.place).as_str(),
                reason = finding.message.as_str();
                "configuration checked"
            );
        }
    }

    fn apply_registry(&mut self, revision: Revision, source: &str) {
        let now = self.shared.now();
        let entries = self.registered.values();
        let entries = entries.filter_map(|it| it.entry.clone()).collect();
        let configuration_key = self.shared.codec.documents.configuration_key;
        self.unreadable
            .retain(|key, _| self.registered.contains_key(key) || key == configuration_key);
        self.shared.set_known_revision(revision);
        let Some(change) = self.registry.apply(now, revision, entries) else {
            return;
        };
        if !change.updated.is_empty() || !change.removed.is_empty() {
            log::info!(
                revision = revision.get(),
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
            self.apply_registry(self.registry.revision(), "store");
        }
    }

    /// Query for the state of another node.
    pub(crate) fn peer_query(&self) -> RelayQuery {
        RelayQuery {
            configuration_revision: self.configuration_revision(),
            registry_revision: self.registry.revision().get(),
            ..RelayQuery::default()
        }
    }

    /// Applies the configuration and the freshness reported by another node.
    pub(crate) fn apply_peer_state(&mut self, state: &RelayState, sent_at: MonoTime) {
        if state.reads_store && !*self.shared.reads_store.borrow() {
            self.record_store_success();
        }
        if let Some(document) = &state.configuration {
            self.apply_configuration(to_key_value(document), "peer");
        }
        let is_newest = self.configuration_revision() >= state.configuration_revision;
        if is_newest && state.age_ms != UNKNOWN_AGE_MS {
            let age = Millis::new(state.age_ms).micros();
            let confirmed_at = sent_at.get().saturating_sub(age.get());
            self.shared.record_confirmation(MonoTime::new(confirmed_at));
        }
    }

    /// Entries reported by another node, if they are newer than those of this node.
    pub(crate) fn newer_entries(&self, state: &RelayState) -> Option<ListReply> {
        let is_newer = state.registry_revision > self.registry.revision().get();
        is_newer.then(|| ListReply {
            entries: state.entries.iter().map(to_key_value).collect(),
            deleted: state.removed.clone(),
            revision: Revision::new(state.registry_revision),
        })
    }

    /// Applies entries reported by another node: a full listing or the changes.
    pub(crate) fn apply_peer_entries(&mut self, newer: ListReply, is_complete: bool) {
        match is_complete {
            true => self.replace_entries(newer, "peer"),
            false => self.merge_changes(newer, "peer"),
        }
    }

    /// Response to another node's query. `others` are the documents other than the
    /// configuration and the endpoints' entries.
    pub(crate) fn state_for<'a, Others>(&'a self, query: &RelayQuery, others: Others) -> RelayState
    where
        Others: Iterator<Item = &'a KeyValue>,
    {
        let configuration = self.configuration_document.as_ref();
        let newer = configuration.filter(|it| it.revision.get() > query.configuration_revision);
        let registry_revision = self.registry.revision().get();
        let peer_revision = Revision::new(query.registry_revision);
        let is_peer_behind = registry_revision > query.registry_revision;
        let removals = self
            .removals
            .since(peer_revision)
            .filter(|_| is_peer_behind);
        let is_complete = is_peer_behind && removals.is_none();
        let known = self
            .registered
            .values()
            .map(|it| &it.document)
            .chain(others);
        let missing =
            known.filter(|it| is_complete || is_peer_behind && it.revision > peer_revision);
        let entries = missing.map(to_document).collect();
        let removed = removals.into_iter().flatten();
        let age: Micros = self.shared.confirmed_age();
        RelayState {
            age_ms: match self.is_initialized() {
                true => age.millis().get(),
                false => UNKNOWN_AGE_MS,
            },
            configuration: newer.map(to_document),
            configuration_revision: self.configuration_revision(),
            entries,
            registry_revision,
            removed: removed.map(str::to_owned).collect(),
            is_complete,
            ..RelayState::default()
        }
    }

    /// Response that refers a node of another region to the nodes `near` it.
    pub(crate) fn referral_to(near: &[&KeyValue]) -> RelayState {
        RelayState {
            age_ms: UNKNOWN_AGE_MS,
            same_region_nodes: near.iter().map(|entry| to_document(entry)).collect(),
            ..RelayState::default()
        }
    }

    /// Entries of the nodes that another node referred this one to.
    pub(crate) fn referred_entries(state: &RelayState) -> ListReply {
        ListReply {
            entries: state.same_region_nodes.iter().map(to_key_value).collect(),
            deleted: Vec::new(),
            revision: Revision::ZERO,
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
            registry_revision: self.registry.revision(),
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

    fn configuration_revision(&self) -> u64 {
        let document = self.configuration_document.as_ref();
        document.map_or(0, |it| it.revision.get())
    }
}

/// Ids of changed endpoints for a log line, truncated if there are many.
struct ChangedIds<'a>([&'a [EndpointId]; 2]);

/// Maximum number of ids in a log line.
const LOGGED_IDS_LIMIT: usize = 12;

impl std::fmt::Display for ChangedIds<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [updated, removed] = self.0;
        let updated = updated.iter().map(|id| ('+', id));
        let signed = updated.chain(removed.iter().map(|id| ('-', id)));
        for (sign, id) in signed.take(LOGGED_IDS_LIMIT) {
            write!(formatter, "{sign}{id} ")?;
        }
        Ok(())
    }
}

/// Converts a document to the message format between nodes.
fn to_document(entry: &KeyValue) -> StoreDocument {
    StoreDocument {
        key: entry.key.clone(),
        value: entry.value.clone(),
        revision: entry.revision.get(),
    }
}

/// Converts a document to the format of the store.
fn to_key_value(document: &StoreDocument) -> KeyValue {
    KeyValue {
        key: document.key.clone(),
        value: document.value.clone(),
        revision: Revision::new(document.revision),
    }
}

/// Logs a limit on heads that is beyond what a process may hold.
fn report_lowered_head_limit(configuration: &RelayConfiguration) {
    let Some(configured) = configuration.limits().map(|it| it.head_bytes) else {
        return;
    };
    let lowered = MemoryPlan::head_limit(configured);
    if lowered < configured {
        log::warn!(
            revision = configuration.revision().get(),
            configured_bytes = configured.get(),
            bytes = lowered.get();
            "limit on heads lowered"
        );
    }
}
