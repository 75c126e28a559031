//! What the node knows of configuration and endpoints, and since when.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use parsleylatch_decide::relay::{EndpointEntry, Registry, RelayConfiguration};
use parsleylatch_types::{EndpointId, Micros, Millis, MonoTime, NodeId, Revision};
use parsleylatch_wire::{
    platform::{KeyValue, ListReply},
    relay::{RelayAsk, RelayState, StoreDocument},
};

use crate::{
    shared::{Shared, Snapshot},
    telemetry::RelayCounter,
};

/// Age of what is known from which other nodes are asked: a reading of the
/// registry each second, and a slow answer.
const CUT_OFF_AGE_MS: Millis = Millis::new(1_400);
/// Age that a node without any knowledge tells.
const UNKNOWN_AGE_MS: u64 = u64::MAX;

/// Configuration and registry, with the documents they were read from.
pub(crate) struct Knowledge {
    shared: Arc<Shared>,
    configuration: Option<Arc<RelayConfiguration>>,
    configuration_document: Option<KeyValue>,
    registry: Registry,
    registry_documents: Vec<KeyValue>,
    /// Entries that can't be read and were told, by key.
    unreadable: HashMap<String, Revision>,
    watch_fails: bool,
    store_fails: bool,
    changed: bool,
    nodes: Arc<[NodeId]>,
}

impl Knowledge {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            configuration: None,
            configuration_document: None,
            registry: Registry::new(),
            registry_documents: Vec::new(),
            unreadable: HashMap::new(),
            watch_fails: true,
            store_fails: false,
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
        let is_old = self.shared.confirmed_age() > CUT_OFF_AGE_MS.micros();
        let has_started = now.since(MonoTime::ZERO) > CUT_OFF_AGE_MS.micros();
        is_old && (has_started || self.store_fails)
    }

    /// Takes documents of the operator; the configuration may be among them.
    pub(crate) fn take_operator(&mut self, documents: Vec<KeyValue>) {
        let key = self.shared.codec.documents.configuration_key;
        for document in documents.into_iter().filter(|it| it.key == key) {
            self.take_configuration(document, "store");
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

    /// Takes a reading of the registry.
    pub(crate) fn take_registry(&mut self, listing: ListReply, started_at: MonoTime) {
        if std::mem::take(&mut self.store_fails) {
            log::info!(
                away_ms = self.shared.confirmed_age().millis().get();
                "store regained"
            );
        }
        self.apply_registry(listing, "store");
        if !self.watch_fails {
            self.shared.confirm(started_at);
        }
    }

    fn apply_registry(&mut self, listing: ListReply, source: &str) {
        let now = self.shared.now();
        let entries = self.read_entries(&listing.entries);
        let Some(change) = self.registry.apply(now, listing.revision, entries) else {
            return;
        };
        if !change.updated.is_empty() || !change.removed.is_empty() {
            log::info!(
                revision = listing.revision.get(),
                source = source,
                updated = change.updated.len(),
                removed = change.removed.len(),
                held = change.held.len(),
                changes:% = Names([&change.updated, &change.removed]);
                "registry changed"
            );
            self.changed = true;
        }
        self.registry_documents = listing.entries;
    }

    fn read_entries(&mut self, documents: &[KeyValue]) -> Vec<EndpointEntry> {
        let read = self.shared.codec.documents.entry;
        let mut entries = Vec::with_capacity(documents.len());
        for document in documents {
            match read(&document.key, &document.value) {
                Ok(entry) => entries.push(entry),
                Err(reason) => self.tell_unreadable(document, &reason),
            }
        }
        let listed: HashSet<&str> = documents.iter().map(|it| it.key.as_str()).collect();
        let configuration_key = self.shared.codec.documents.configuration_key;
        self.unreadable
            .retain(|key, _| listed.contains(key.as_str()) || key == configuration_key);
        entries
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

    /// Notes that the wait for changes works.
    pub(crate) fn note_watch(&mut self) {
        self.watch_fails = false;
    }

    /// Notes that the store did not answer a call.
    pub(crate) fn note_failure(&mut self, now: MonoTime, is_watch: bool) {
        self.watch_fails |= is_watch;
        self.registry.note_failure(now);
        if !std::mem::replace(&mut self.store_fails, true) {
            log::warn!(
                knowledge_age_ms = self.shared.confirmed_age().millis().get();
                "store lost"
            );
        }
    }

    /// What to ask another node.
    pub(crate) fn question(&self) -> RelayAsk {
        RelayAsk {
            configuration_revision: self.configuration_revision(),
            registry_revision: self.registry.revision().get(),
        }
    }

    /// Takes what another node knows.
    pub(crate) fn take_peer_state(&mut self, state: RelayState, asked_at: MonoTime) {
        if let Some(document) = &state.configuration {
            self.take_configuration(key_value(document), "peer");
        }
        if state.registry_revision > self.registry.revision().get() {
            let entries = state.registry.iter().map(key_value).collect();
            let listing = ListReply {
                entries,
                deleted: Vec::new(),
                revision: Revision::new(state.registry_revision),
            };
            self.apply_registry(listing, "peer");
        }
        let is_newest = self.configuration_revision() >= state.configuration_revision;
        if is_newest && state.age_ms != UNKNOWN_AGE_MS {
            let age = Millis::new(state.age_ms).micros();
            let confirmed_at = asked_at.get().saturating_sub(age.get());
            self.shared.confirm(MonoTime::new(confirmed_at));
        }
    }

    /// Answer to another node's question.
    pub(crate) fn state_for(&self, ask: &RelayAsk, nodes: Vec<StoreDocument>) -> RelayState {
        let configuration = self.configuration_document.as_ref();
        let newer = configuration.filter(|it| it.revision.get() > ask.configuration_revision);
        let registry_revision = self.registry.revision().get();
        let has_newer_registry = registry_revision > ask.registry_revision;
        let registry = match has_newer_registry {
            true => self.registry_documents.iter().map(document).collect(),
            false => Vec::new(),
        };
        let age: Micros = self.shared.confirmed_age();
        RelayState {
            age_ms: match self.is_informed() {
                true => age.millis().get(),
                false => UNKNOWN_AGE_MS,
            },
            configuration: newer.map(document),
            configuration_revision: self.configuration_revision(),
            registry,
            registry_revision,
            nodes,
        }
    }

    /// Gives the traffic threads what has changed.
    pub(crate) fn publish(&mut self, nodes: &Arc<[NodeId]>) {
        let nodes_changed = self.nodes != *nodes;
        if !std::mem::take(&mut self.changed) && !nodes_changed {
            return;
        }
        let number = self.shared.snapshot.load().number + 1;
        self.shared.snapshot.store(Arc::new(Snapshot {
            number,
            configuration: self.configuration.clone(),
            endpoints: self.registry.entries().cloned().collect(),
            registry_revision: self.registry.revision(),
            nodes: Arc::clone(nodes),
        }));
        self.nodes = Arc::clone(nodes);
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
pub(crate) fn document(entry: &KeyValue) -> StoreDocument {
    StoreDocument {
        key: entry.key.clone(),
        value: entry.value.clone(),
        revision: entry.revision.get(),
    }
}

/// Document as the store gave it.
pub(crate) fn key_value(document: &StoreDocument) -> KeyValue {
    KeyValue {
        key: document.key.clone(),
        value: document.value.clone(),
        revision: Revision::new(document.revision),
    }
}
