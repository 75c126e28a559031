//! What the node knows of configuration and endpoints, and since when.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use parsleylatch_decide::relay::{
    EndpointEntry, NodeLocation, Registry, RelayConfiguration, RemovalLog, VersionRule,
};
use parsleylatch_types::{
    EndpointId, EndpointVersion, Micros, Millis, MonoTime, Revision, ServiceName,
};
use parsleylatch_wire::{
    platform::{KeyValue, ListReply},
    relay::{RelayAsk, RelayState, StoreDocument},
};

use crate::{
    shared::{Shared, Snapshot},
    telemetry::RelayCounter,
};

/// Age of what is known from which other nodes are asked: a slow answer.
const CUT_OFF_AGE_MS: Millis = Millis::new(1_400);
/// Age that a node without any knowledge tells.
const UNKNOWN_AGE_MS: u64 = u64::MAX;

/// An endpoint's entry as the store holds it, and what it says if it can be read.
struct Registered {
    document: KeyValue,
    entry: Option<EndpointEntry>,
}

/// Configuration and registry, with the documents they were read from.
pub(crate) struct Knowledge {
    shared: Arc<Shared>,
    configuration: Option<Arc<RelayConfiguration>>,
    configuration_document: Option<KeyValue>,
    registry: Registry,
    /// Endpoints' entries, by key.
    registered: BTreeMap<String, Registered>,
    removals: RemovalLog,
    /// Entries that can't be read and were told, by key.
    unreadable: HashMap<String, Revision>,
    changed: bool,
    nodes: Arc<[NodeLocation]>,
}

impl Knowledge {
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

    /// Whether the node knows enough to take callers.
    pub(crate) fn is_informed(&self) -> bool {
        self.configuration.is_some() && self.registry.is_known()
    }

    /// Whether other nodes have to be asked.
    pub(crate) fn is_cut_off(&self, now: MonoTime) -> bool {
        let limit = self.shared.fresh_limit(CUT_OFF_AGE_MS);
        let is_old = self.shared.confirmed_age() > limit.micros();
        is_old || !self.is_informed() && now.since(MonoTime::ZERO) > CUT_OFF_AGE_MS.micros()
    }

    /// Takes a reading of every document, by a call that started at the time.
    pub(crate) fn take_listing(&mut self, listing: ListReply, started_at: MonoTime) {
        self.note_answer();
        self.take_all(listing, "store");
        self.shared.confirm(started_at);
    }

    /// Takes what has changed, as it was known at the time.
    pub(crate) fn take_changes(&mut self, changes: ListReply, known_at: MonoTime) {
        self.note_answer();
        self.take_later(changes, "store");
        self.shared.confirm(known_at);
    }

    fn take_all(&mut self, listing: ListReply, source: &str) {
        self.registered.clear();
        self.removals.restart(listing.revision);
        self.take_later(listing, source);
    }

    fn take_later(&mut self, changes: ListReply, source: &str) {
        for key in &changes.deleted {
            self.registered.remove(key);
            self.removals.record(changes.revision, key);
        }
        let codec = self.shared.codec.documents;
        for document in changes.entries {
            if document.key == codec.configuration_key {
                self.take_configuration(document, source);
            } else if document.key.starts_with(codec.registry_prefix) {
                self.take_entry(document);
            }
        }
        self.apply_registry(changes.revision, source);
    }

    fn take_entry(&mut self, document: KeyValue) {
        let read = (self.shared.codec.documents.entry)(&document.key, &document.value);
        let entry = read.map_err(|reason| self.tell_unreadable(&document, &reason));
        let entry = entry.ok();
        let key = document.key.clone();
        self.registered.insert(key, Registered { document, entry });
    }

    fn note_answer(&mut self) {
        if self.shared.set_store_fails(false) {
            log::info!(
                away_ms = self.shared.confirmed_age().millis().get();
                "store regained"
            );
        }
    }

    fn take_configuration(&mut self, document: KeyValue, source: &str) {
        let known = self.configuration_document.as_ref();
        if known.is_some_and(|known| known.revision >= document.revision) {
            return;
        }
        let parts = (self.shared.codec.documents.configuration)(&document.value);
        let built = parts.and_then(|parts| {
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
                self.configuration = Some(Arc::new(configuration));
                self.configuration_document = Some(document);
                self.changed = true;
            }
            Err(reason) => self.tell_unreadable(&document, &reason),
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
                changes:% = Names([&change.updated, &change.removed]);
                "registry changed"
            );
            self.changed = true;
        }
    }

    /// Says once of each document that it can't be read.
    fn tell_unreadable(&mut self, document: &KeyValue, reason: &str) {
        let told = self
            .unreadable
            .insert(document.key.clone(), document.revision);
        if told.is_none() {
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

    /// Notes that the store did not answer a call.
    pub(crate) fn note_failure(&mut self, now: MonoTime) {
        self.registry.record_failure(now);
        if !self.shared.set_store_fails(true) {
            log::warn!(
                knowledge_age_ms = self.shared.confirmed_age().millis().get();
                "store lost"
            );
        }
    }

    /// Ends the time in which entries that lapsed in an outage are held.
    pub(crate) fn expire(&mut self, now: MonoTime) {
        if self.registry.is_hold_expired(now) {
            self.apply_registry(self.registry.revision(), "store");
        }
    }

    /// What to ask another node.
    pub(crate) fn question(&self) -> RelayAsk {
        RelayAsk {
            configuration_revision: self.configuration_revision(),
            registry_revision: self.registry.revision().get(),
            rollouts: Vec::new(),
        }
    }

    /// Takes what another node knows.
    pub(crate) fn take_peer_state(&mut self, state: &RelayState, asked_at: MonoTime) {
        if state.reads_store && !*self.shared.reads_store.borrow() {
            self.note_answer();
        }
        if let Some(document) = &state.configuration {
            self.take_configuration(key_value(document), "peer");
        }
        let is_newest = self.configuration_revision() >= state.configuration_revision;
        if is_newest && state.age_ms != UNKNOWN_AGE_MS {
            let age = Millis::new(state.age_ms).micros();
            let confirmed_at = asked_at.get().saturating_sub(age.get());
            self.shared.confirm(MonoTime::new(confirmed_at));
        }
    }

    /// Entries that another node told, if they are newer than the own ones.
    pub(crate) fn newer_entries(&self, state: &RelayState) -> Option<ListReply> {
        let is_newer = state.registry_revision > self.registry.revision().get();
        is_newer.then(|| ListReply {
            entries: state.entries.iter().map(key_value).collect(),
            deleted: state.removed.clone(),
            revision: Revision::new(state.registry_revision),
        })
    }

    /// Takes entries that another node told: all there are, or the later ones.
    pub(crate) fn take_told(&mut self, told: ListReply, is_whole: bool) {
        match is_whole {
            true => self.take_all(told, "peer"),
            false => self.take_later(told, "peer"),
        }
    }

    /// Answer to another node's question; `others` are the documents beside the
    /// configuration and the endpoints' entries.
    pub(crate) fn state_for<'a, Others>(&'a self, ask: &RelayAsk, others: Others) -> RelayState
    where
        Others: Iterator<Item = &'a KeyValue>,
    {
        let configuration = self.configuration_document.as_ref();
        let newer = configuration.filter(|it| it.revision.get() > ask.configuration_revision);
        let registry_revision = self.registry.revision().get();
        let asked = Revision::new(ask.registry_revision);
        let is_asker_older = registry_revision > ask.registry_revision;
        let removals = self.removals.since(asked).filter(|_| is_asker_older);
        let is_whole = is_asker_older && removals.is_none();
        let known = self
            .registered
            .values()
            .map(|it| &it.document)
            .chain(others);
        let lacking = known.filter(|it| is_whole || is_asker_older && it.revision > asked);
        let entries = lacking.map(document).collect();
        let removed = removals.into_iter().flatten();
        let age: Micros = self.shared.confirmed_age();
        RelayState {
            age_ms: match self.is_informed() {
                true => age.millis().get(),
                false => UNKNOWN_AGE_MS,
            },
            configuration: newer.map(document),
            configuration_revision: self.configuration_revision(),
            entries,
            registry_revision,
            removed: removed.map(str::to_owned).collect(),
            rollouts: Vec::new(),
            is_whole,
            reads_store: false,
            near: Vec::new(),
        }
    }

    /// Answer to a node of another region that is to ask the nodes `near` to it.
    pub(crate) fn referral_to(near: &[&KeyValue]) -> RelayState {
        RelayState {
            age_ms: UNKNOWN_AGE_MS,
            near: near.iter().map(|entry| document(entry)).collect(),
            ..RelayState::default()
        }
    }

    /// Entries of the nodes that another one names in its place.
    pub(crate) fn referred(state: &RelayState) -> ListReply {
        ListReply {
            entries: state.near.iter().map(key_value).collect(),
            deleted: Vec::new(),
            revision: Revision::ZERO,
        }
    }

    /// Gives the traffic threads what has changed.
    pub(crate) fn publish(
        &mut self,
        nodes: &Arc<[NodeLocation]>,
        versions: &BTreeMap<ServiceName, VersionRule>,
    ) {
        let nodes_changed = self.nodes != *nodes;
        let earlier = self.shared.snapshot.load();
        let versions_changed = earlier.versions != *versions;
        if !std::mem::take(&mut self.changed) && !nodes_changed && !versions_changed {
            return;
        }
        let number = earlier.number + 1;
        self.shared.snapshot.store(Arc::new(Snapshot {
            number,
            configuration: self.configuration.clone(),
            endpoints: self.registry.entries().cloned().collect(),
            registry_revision: self.registry.revision(),
            nodes: Arc::clone(nodes),
            versions: versions.clone(),
        }));
        self.nodes = Arc::clone(nodes);
    }

    /// Versions of a service, as the registry lists them.
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

/// Ids of endpoints for a log line, which stays short in a large change.
struct Names<'a>([&'a [EndpointId]; 2]);

/// Most ids of a log line.
const NAMES_LIMIT: usize = 12;

impl std::fmt::Display for Names<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [updated, removed] = self.0;
        let updated = updated.iter().map(|id| ('+', id));
        let signed = updated.chain(removed.iter().map(|id| ('-', id)));
        for (sign, id) in signed.take(NAMES_LIMIT) {
            write!(formatter, "{sign}{id} ")?;
        }
        Ok(())
    }
}

/// Document as it travels between nodes.
fn document(entry: &KeyValue) -> StoreDocument {
    StoreDocument {
        key: entry.key.clone(),
        value: entry.value.clone(),
        revision: entry.revision.get(),
    }
}

/// Document as the store gave it.
fn key_value(document: &StoreDocument) -> KeyValue {
    KeyValue {
        key: document.key.clone(),
        value: document.value.clone(),
        revision: Revision::new(document.revision),
    }
}
