//! Rollouts: feeds the rollout decisions with input and executes their effects.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use parsleylatch_decide::{
    moves::{ExposureLimit, MoveEvidence, Observer},
    relay::{
        DocumentMark, EndedOrder, OrderFinding, RolloutEffect, RolloutPhase, Rollouts, VersionRule,
        VersionTrial, judge_order,
    },
};
use parsleylatch_peer::{Identity, decode_move_counts, encode_move_counts};
use parsleylatch_types::{
    EndpointVersion, Incarnation, Micros, Millis, MonoTime, Revision, ServiceName, StoreEra,
    StorePosition, TrialNumber,
};
use parsleylatch_wire::relay::{EndedOrder as EndedOrderMessage, ObserverCounts, RolloutEvidence};

use super::{cluster_state::ClusterState, documents::StoredDocument, store_tasks};
use crate::{shared::Shared, telemetry::RelayCounter};

/// Replaced orders of a service that are remembered, in case a copy of the store shows one.
const SUPERSEDED_LIMIT: usize = 8;

/// Rollout orders and statuses from the store, and the decisions on them.
pub(crate) struct RolloutController {
    shared: Arc<Shared>,
    rollouts: Rollouts,
    orders: BTreeMap<ServiceName, StoredDocument>,
    statuses: BTreeMap<ServiceName, StoredDocument>,
    /// Orders that later ones have replaced, oldest first.
    superseded: BTreeMap<ServiceName, VecDeque<(Revision, String)>>,
    /// Documents that did not replace what is known, by key.
    held: BTreeMap<String, StorePosition>,
    /// Services whose status may have to be written again after a restore.
    unconfirmed: BTreeSet<ServiceName>,
    /// Services with a new order.
    new_orders: BTreeSet<ServiceName>,
    /// Whether any order or status is new.
    has_recorded: bool,
    /// Rules in force. Shares grow with time, and each change of a rule causes a new
    /// snapshot for the traffic threads, so rules are derived at each review and not for
    /// each trial.
    rules: BTreeMap<ServiceName, VersionRule>,
}

impl RolloutController {
    pub(crate) fn new(shared: Arc<Shared>, identity: &Identity) -> Self {
        let observer = Observer {
            node: identity.node_id.clone(),
            incarnation: identity.incarnation,
        };
        Self {
            shared,
            rollouts: Rollouts::new(observer),
            orders: BTreeMap::new(),
            statuses: BTreeMap::new(),
            superseded: BTreeMap::new(),
            held: BTreeMap::new(),
            unconfirmed: BTreeSet::new(),
            new_orders: BTreeSet::new(),
            has_recorded: false,
            rules: BTreeMap::new(),
        }
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.rollouts.next_deadline()
    }

    pub(crate) fn is_open(&self) -> bool {
        self.rollouts.is_open()
    }

    pub(crate) fn rules(&self) -> &BTreeMap<ServiceName, VersionRule> {
        &self.rules
    }

    /// Orders and statuses as stored.
    pub(crate) fn documents(&self) -> impl Iterator<Item = &StoredDocument> {
        self.orders.values().chain(self.statuses.values())
    }

    /// Records the orders and statuses among documents read from the store.
    pub(crate) fn record_documents(&mut self, documents: &[StoredDocument]) {
        let codec = self.shared.codec.rollouts;
        // What a status is worth depends on the order.
        for document in documents {
            if let Some(service) = service_of(document, codec.order_prefix) {
                self.record_order(service, document);
            }
        }
        for document in documents {
            if let Some(service) = service_of(document, codec.status_prefix) {
                self.record_status(service, document);
            }
        }
    }

    fn record_order(&mut self, service: ServiceName, document: &StoredDocument) {
        let known = self.orders.get(&service);
        let superseded = self.superseded.get(&service).into_iter().flatten();
        let superseded = superseded.map(|(revision, text)| (*revision, text.as_str()));
        match judge_order(
            document_mark(document),
            known.map(document_mark),
            superseded,
        ) {
            OrderFinding::Known => {}
            OrderFinding::Moved => {
                self.rollouts.move_order(&service, document.position());
                self.orders.insert(service.clone(), document.clone());
                self.unconfirmed.insert(service);
                self.has_recorded = true;
            }
            OrderFinding::Superseded => self.report_held(document),
            OrderFinding::New => {
                if let Some(known) = self.orders.insert(service.clone(), document.clone()) {
                    if self.new_orders.contains(&service) {
                        self.record_unapplied(&known);
                    }
                    let replaced = self.superseded.entry(service.clone()).or_default();
                    replaced.push_back((known.entry.revision, known.entry.value));
                    if replaced.len() > SUPERSEDED_LIMIT {
                        replaced.pop_front();
                    }
                }
                self.new_orders.insert(service);
                self.has_recorded = true;
            }
        }
    }

    /// Records an order that was replaced before it was applied.
    fn record_unapplied(&mut self, document: &StoredDocument) {
        let read = (self.shared.codec.rollouts.read_order)(&document.entry.value);
        if let Ok(order) = read {
            self.rollouts.record_unapplied(document.position(), &order);
        }
    }

    fn record_status(&mut self, service: ServiceName, document: &StoredDocument) {
        let known = self.statuses.get(&service);
        if known.is_some_and(|known| known.position() >= document.position()) {
            return;
        }
        if self.reverts_end(&service, document) {
            self.unconfirmed.insert(service);
            self.report_held(document);
            return;
        }
        self.statuses.insert(service, document.clone());
        self.has_recorded = true;
    }

    /// Whether a status read after a restore would take back the end of the order in force.
    fn reverts_end(&self, service: &ServiceName, document: &StoredDocument) -> bool {
        if document.era == StoreEra::ZERO || self.new_orders.contains(service) {
            return false;
        }
        let codec = self.shared.codec.rollouts;
        let status = (codec.read_status)(service, &document.entry.value).ok();
        let end = self.rollouts.end_of(service);
        end.is_some_and(|end| status != Some(end))
    }

    fn report_held(&mut self, document: &StoredDocument) {
        let (key, position) = (&document.entry.key, document.position());
        if self.held.insert(key.clone(), position) == Some(position) {
            return;
        }
        self.shared.metrics.increment(RelayCounter::DocumentsHeld);
        log::warn!(
            key = key.as_str(),
            revision = position.revision.get(),
            era = position.era.get();
            "older document of a restored store ignored"
        );
    }

    /// Checks after a restore which statuses the store has lost.
    pub(crate) fn confirm_statuses(&mut self) {
        self.unconfirmed.extend(self.orders.keys().cloned());
        self.has_recorded = true;
    }

    /// Writes the statuses that a restored store has lost, as far as it has their orders.
    /// Each node that reads the store comes to it at a random time, and the first one writes.
    fn write_lost_statuses(&mut self) {
        let era = self.shared.store_era();
        for service in std::mem::take(&mut self.unconfirmed) {
            let order = self.orders.get(&service);
            if order.is_none_or(|it| it.era != era) {
                // The order's own writer has to write it first.
                continue;
            }
            let confirmed = self.statuses.get(&service).filter(|it| it.era == era);
            let read_status = self.shared.codec.rollouts.read_status;
            let confirmed = confirmed.and_then(|it| read_status(&service, &it.entry.value).ok());
            let lost = self.rollouts.record_again(&service);
            if let Some(RolloutEffect::Record {
                order_position,
                status,
            }) = lost
                && confirmed.as_ref() != Some(&status)
                && *self.shared.reads_store.borrow()
            {
                let shared = Arc::clone(&self.shared);
                let writing = store_tasks::record_rollout_again(shared, order_position, status);
                tokio::task::spawn_local(writing);
            }
        }
    }

    /// Applies the recorded orders and statuses; `cluster` must be as recent as they are.
    pub(crate) fn apply_recorded(&mut self, cluster: &ClusterState) {
        if std::mem::take(&mut self.has_recorded) {
            self.apply_documents(cluster);
            self.observe_versions(cluster);
            self.refresh_rules();
        } else if self.observe_versions(cluster) {
            self.refresh_rules();
        }
    }

    /// Tells the roll-outs which versions are listed; returns whether that changes which ones
    /// get requests.
    fn observe_versions(&mut self, cluster: &ClusterState) -> bool {
        let services: Vec<ServiceName> = self.rollouts.services_with_history().cloned().collect();
        let now = self.shared.now();
        let mut has_changed = false;
        for service in services {
            let listed = cluster.staying_versions_of(&service);
            has_changed |= self.rollouts.observe_versions(now, &service, listed);
        }
        has_changed
    }

    fn apply_documents(&mut self, cluster: &ClusterState) {
        for service in std::mem::take(&mut self.new_orders) {
            if let Some(document) = self.orders.get(&service).cloned() {
                self.apply_order(&document, cluster);
            }
        }
        let services: Vec<ServiceName> = self.statuses.keys().cloned().collect();
        for service in services {
            if let Some(phase) = self.stored_phase(&service) {
                let now = self.shared.now();
                let effects = self.rollouts.apply_phase(now, &service, phase);
                self.apply_effects(effects);
            }
        }
        self.write_lost_statuses();
    }

    fn apply_order(&mut self, document: &StoredDocument, cluster: &ClusterState) {
        let order = match (self.shared.codec.rollouts.read_order)(&document.entry.value) {
            Ok(order) => order,
            Err(reason) => {
                let key = document.entry.key.as_str();
                log::warn!(key = key, reason = reason; "document can't be read");
                return;
            }
        };
        let now = self.shared.now();
        let mut other_versions = cluster.versions_of(&order.service);
        other_versions.remove(&order.target);
        log::info!(
            service:% = order.service,
            target:% = order.target,
            duration_ms = order.duration_ms.get(),
            revision = document.entry.revision.get(),
            era = document.era.get(),
            other_versions = other_versions.len();
            "roll-out ordered"
        );
        let phase = self.stored_phase(&order.service);
        let bounds = self.shared.settings.load().bounds;
        let exposure_limit = ExposureLimit {
            share: bounds.exposure_limit,
            slack: bounds.exposure_slack,
        };
        let applied =
            self.rollouts
                .apply_order(now, document.position(), order, exposure_limit, phase);
        match applied {
            Ok(effects) => self.apply_effects(effects),
            Err(error) => {
                let key = document.entry.key.as_str();
                log::error!(key = key, error:% = error; "roll-out can't be planned");
            }
        }
    }

    /// Stored phase of the current order of a service.
    fn stored_phase(&self, service: &ServiceName) -> Option<RolloutPhase> {
        let codec = self.shared.codec.rollouts;
        let order_document = self.orders.get(service)?;
        let document = self.statuses.get(service)?;
        let order = (codec.read_order)(&order_document.entry.value).ok()?;
        let status = (codec.read_status)(service, &document.entry.value).ok()?;
        let is_current = document.position() > order_document.position();
        (is_current && status.target == order.target).then_some(status.phase)
    }

    pub(crate) fn record_trial(&mut self, trial: &VersionTrial) {
        self.shared.metrics.increment(RelayCounter::Trials);
        let effects = self.rollouts.record_trial(self.shared.now(), trial);
        self.apply_trial_effects(effects);
    }

    pub(crate) fn start_trial(&mut self, number: TrialNumber, trial: VersionTrial) {
        self.rollouts.start_trial(self.shared.now(), number, trial);
    }

    pub(crate) fn end_trial(&mut self, number: TrialNumber, latency: Option<Micros>) {
        self.shared.metrics.increment(RelayCounter::Trials);
        let now = self.shared.now();
        let effects = self.rollouts.end_trial(now, number, latency);
        self.apply_trial_effects(effects);
    }

    pub(crate) fn abandon_trial(&mut self, number: TrialNumber) {
        self.rollouts.abandon_trial(number);
    }

    fn apply_trial_effects(&mut self, effects: Vec<RolloutEffect>) {
        let has_effects = !effects.is_empty();
        self.apply_effects(effects);
        if has_effects {
            self.refresh_rules();
        }
    }

    /// Runs due reviews; the rules change with time while a rollout is in progress.
    pub(crate) fn expire(&mut self, cluster: &ClusterState) {
        let now = self.shared.now();
        if self.observe_versions(cluster) {
            self.refresh_rules();
        }
        if self.next_deadline().is_some_and(|deadline| deadline <= now) {
            let effects = self.rollouts.expire(now);
            self.apply_effects(effects);
            self.refresh_rules();
        }
    }

    fn refresh_rules(&mut self) {
        let rules = self.rollouts.rules(self.shared.now());
        let earlier = std::mem::replace(&mut self.rules, rules);
        for (service, rule) in &self.rules {
            let before = earlier.get(service).map(|it| &it.rejected);
            if before.map_or(!rule.rejected.is_empty(), |it| *it != rule.rejected) {
                log::info!(
                    service:% = service,
                    target:% = rule.target,
                    share:% = rule.share,
                    rejected = join(rule.rejected.iter()).as_str();
                    "rejected versions changed"
                );
            }
        }
    }

    /// This node's evidence on rollouts in progress, for other nodes.
    pub(crate) fn evidence_messages(&self) -> Vec<RolloutEvidence> {
        let known = self.rollouts.evidence(self.shared.now());
        let messages = known
            .into_iter()
            .map(
                |(service, order_position, elapsed_ms, evidence)| RolloutEvidence {
                    service: service.to_string(),
                    order_revision: order_position.revision.get(),
                    order_era: order_position.era.get(),
                    elapsed_ms: elapsed_ms.get(),
                    observers: observer_counts(evidence),
                    ended_orders: ended_orders(&self.rollouts, service),
                },
            );
        messages.collect()
    }

    /// Merges the evidence of another node.
    pub(crate) fn merge(&mut self, messages: &[RolloutEvidence]) {
        for message in messages {
            let (Ok(service), Some(evidence)) = (message.service.parse(), read_evidence(message))
            else {
                log::warn!(service = message.service.as_str(); "rollout evidence can't be parsed");
                continue;
            };
            let now = self.shared.now();
            let position = position(message.order_era, message.order_revision);
            let ended: Vec<_> = message.ended_orders.iter().filter_map(read_ended).collect();
            let rules_change = self
                .rollouts
                .merge_ended_orders(now, &service, position, &ended);
            let elapsed_ms = Millis::new(message.elapsed_ms);
            let effects = self
                .rollouts
                .merge(now, &service, position, elapsed_ms, &evidence);
            let has_effects = !effects.is_empty();
            self.apply_effects(effects);
            if has_effects || rules_change {
                self.refresh_rules();
            }
        }
    }

    fn apply_effects(&self, effects: Vec<RolloutEffect>) {
        for effect in effects {
            match effect {
                RolloutEffect::Record {
                    order_position,
                    status,
                } => {
                    let shared = Arc::clone(&self.shared);
                    let writing = store_tasks::record_rollout(shared, order_position, status);
                    tokio::task::spawn_local(writing);
                }
                RolloutEffect::Announce(view) => log::info!(
                    service:% = view.plan.workspace,
                    target:% = view.plan.to,
                    state:% = view.state,
                    share:% = view.share,
                    trials = view.counts.trials.get(),
                    failures = view.counts.failures.get(),
                    slow = view.counts.slow.get(),
                    reason = view.reason.map_or_else(|| "-".to_owned(), |it| it.to_string()).as_str(),
                    elapsed_ms = view.elapsed_ms.get();
                    "roll-out changed"
                ),
            }
        }
    }
}

/// Service of a document under a prefix; `None` for other documents.
fn service_of(document: &StoredDocument, prefix: &str) -> Option<ServiceName> {
    document.entry.key.strip_prefix(prefix)?.parse().ok()
}

fn document_mark(document: &StoredDocument) -> DocumentMark<'_> {
    DocumentMark {
        position: document.position(),
        text: &document.entry.value,
    }
}

/// Counts of all observers of a rollout.
fn observer_counts(evidence: &MoveEvidence) -> Vec<ObserverCounts> {
    let mut observers: Vec<&Observer> = evidence.counts().map(|(key, _)| &key.observer).collect();
    observers.sort_unstable();
    observers.dedup();
    let messages = observers.into_iter().map(|observer| ObserverCounts {
        node_id: observer.node.to_string(),
        incarnation: observer.incarnation.get(),
        counts: Some(encode_move_counts(evidence, observer)),
    });
    messages.collect()
}

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition::new(StoreEra::new(era), Revision::new(revision))
}

/// Earlier orders of a service, for other nodes.
fn ended_orders(rollouts: &Rollouts, service: &ServiceName) -> Vec<EndedOrderMessage> {
    let ended = rollouts.ended_orders(service);
    let messages = ended.map(|(version, order)| EndedOrderMessage {
        version: version.to_string(),
        order_revision: order.position.revision.get(),
        order_era: order.position.era.get(),
        phase: order.phase.to_string(),
    });
    messages.collect()
}

/// Order of a message; `None` if it can't be parsed.
fn read_ended(message: &EndedOrderMessage) -> Option<(EndpointVersion, EndedOrder)> {
    let position = position(message.order_era, message.order_revision);
    let order = EndedOrder::new(position, message.phase.parse().ok()?);
    Some((message.version.parse().ok()?, order))
}

fn join<'a, Versions>(versions: Versions) -> String
where
    Versions: Iterator<Item = &'a EndpointVersion>,
{
    let names: Vec<&str> = versions.map(EndpointVersion::as_str).collect();
    names.join(",")
}

fn read_evidence(message: &RolloutEvidence) -> Option<MoveEvidence> {
    let mut merged = MoveEvidence::default();
    for observed in &message.observers {
        let observer = Observer {
            node: observed.node_id.parse().ok()?,
            incarnation: Incarnation::new(observed.incarnation),
        };
        let counts = observed.counts.as_ref()?;
        merged.merge(&decode_move_counts(counts, &observer)?);
    }
    Some(merged)
}
