//! Rollouts: feeds the rollout decisions with input and executes their effects.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use parsleylatch_decide::{
    moves::{ExposureLimit, MoveEvidence, Observer},
    relay::{RolloutEffect, RolloutPhase, Rollouts, VersionRule, VersionTrial},
};
use parsleylatch_peer::{Identity, decode_move_counts, encode_move_counts};
use parsleylatch_types::{
    Incarnation, Micros, Millis, MonoTime, Revision, ServiceName, TrialNumber,
};
use parsleylatch_wire::{
    platform::KeyValue,
    relay::{ObserverCounts, RolloutEvidence},
};

use super::{cluster_state::ClusterState, store_tasks};
use crate::{shared::Shared, telemetry::RelayCounter};

/// Rollout orders and statuses from the store, and the decisions on them.
pub(crate) struct RolloutController {
    shared: Arc<Shared>,
    rollouts: Rollouts,
    orders: BTreeMap<ServiceName, KeyValue>,
    statuses: BTreeMap<ServiceName, KeyValue>,
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
    pub(crate) fn documents(&self) -> impl Iterator<Item = &KeyValue> {
        self.orders.values().chain(self.statuses.values())
    }

    /// Records the orders and statuses among documents read from the store.
    pub(crate) fn record_documents(&mut self, documents: &[KeyValue]) {
        let codec = self.shared.codec.rollouts;
        for document in documents {
            self.has_recorded |=
                insert_newer(&mut self.statuses, codec.status_prefix, document).is_some();
            let new_order = insert_newer(&mut self.orders, codec.order_prefix, document);
            self.has_recorded |= new_order.is_some();
            self.new_orders.extend(new_order);
        }
    }

    /// Applies the recorded orders and statuses; `cluster` must be as recent as they are.
    pub(crate) fn apply_recorded(&mut self, cluster: &ClusterState) {
        if !std::mem::take(&mut self.has_recorded) {
            return;
        }
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
        self.refresh_rules();
    }

    fn apply_order(&mut self, document: &KeyValue, cluster: &ClusterState) {
        let order = match (self.shared.codec.rollouts.read_order)(&document.value) {
            Ok(order) => order,
            Err(reason) => {
                let key = document.key.as_str();
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
            revision = document.revision.get(),
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
                .apply_order(now, document.revision, order, exposure_limit, phase);
        match applied {
            Ok(effects) => self.apply_effects(effects),
            Err(error) => {
                let key = document.key.as_str();
                log::error!(key = key, error:% = error; "roll-out can't be planned");
            }
        }
    }

    /// Stored phase of the current order of a service.
    fn stored_phase(&self, service: &ServiceName) -> Option<RolloutPhase> {
        let codec = self.shared.codec.rollouts;
        let order_document = self.orders.get(service)?;
        let document = self.statuses.get(service)?;
        let order = (codec.read_order)(&order_document.value).ok()?;
        let status = (codec.read_status)(service, &document.value).ok()?;
        let is_current = document.revision > order_document.revision;
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
    pub(crate) fn expire(&mut self) {
        let now = self.shared.now();
        if self.next_deadline().is_some_and(|deadline| deadline <= now) {
            let effects = self.rollouts.expire(now);
            self.apply_effects(effects);
            self.refresh_rules();
        }
    }

    fn refresh_rules(&mut self) {
        self.rules = self.rollouts.rules(self.shared.now());
    }

    /// This node's evidence on rollouts in progress, for other nodes.
    pub(crate) fn evidence_messages(&self) -> Vec<RolloutEvidence> {
        let known = self.rollouts.evidence(self.shared.now());
        let messages = known
            .into_iter()
            .map(
                |(service, order_revision, elapsed_ms, evidence)| RolloutEvidence {
                    service: service.to_string(),
                    order_revision: order_revision.get(),
                    elapsed_ms: elapsed_ms.get(),
                    observers: observer_counts(evidence),
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
            let effects = self.rollouts.merge(
                self.shared.now(),
                &service,
                Revision::new(message.order_revision),
                Millis::new(message.elapsed_ms),
                &evidence,
            );
            let has_effects = !effects.is_empty();
            self.apply_effects(effects);
            if has_effects {
                self.refresh_rules();
            }
        }
    }

    fn apply_effects(&self, effects: Vec<RolloutEffect>) {
        for effect in effects {
            match effect {
                RolloutEffect::Record {
                    order_revision,
                    status,
                } => {
                    let shared = Arc::clone(&self.shared);
                    let writing = store_tasks::record_rollout(shared, order_revision, status);
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

/// Inserts a document unless a newer one of its service is known; returns the service
/// if it was inserted.
fn insert_newer(
    documents: &mut BTreeMap<ServiceName, KeyValue>,
    prefix: &str,
    document: &KeyValue,
) -> Option<ServiceName> {
    let service: ServiceName = document.key.strip_prefix(prefix)?.parse().ok()?;
    let known = documents.get(&service);
    let is_new = known.is_none_or(|known| known.revision < document.revision);
    is_new.then(|| {
        documents.insert(service.clone(), document.clone());
        service
    })
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
