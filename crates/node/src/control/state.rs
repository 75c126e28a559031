//! State of the control thread, from which it builds the snapshots.

use std::{collections::BTreeMap, sync::Arc};

use parsleylatch_decide::{
    configuration::{ApplyOutcome, Configuration},
    endpoint_health::EndpointLoad,
    generation::AttemptReport,
    membership::MemberView,
    node_life::{NodeEffect, NodeEvent, NodeLifecycle, NodeState},
    view::{EndpointCondition, EndpointKind, EndpointView, PeerView, Snapshot},
};
use parsleylatch_peer::LinkEvent;
use parsleylatch_settings::{Document, Template};
use parsleylatch_types::{EndpointId, Millis, MonoTime};
use parsleylatch_wire::platform::{KeyValue, ListReply, VmEntry, VmRole};
use tokio::sync::oneshot;

use super::{
    ControlInput,
    gossip::{Cluster, LearnedTemplate},
    moves::MoveController,
    watchers::TEMPLATE_PREFIX,
};
use crate::{
    shared::{Shared, StopPhase},
    telemetry::Counter,
};

/// Delay of the snapshot after a changed load, so that several changes share one.
const LOAD_SNAPSHOT_DELAY_MS: Millis = Millis::new(100);
/// Delay of the snapshot after a changed condition, which must reach traffic sooner.
const CONDITION_SNAPSHOT_DELAY_MS: Millis = Millis::new(5);

/// Interval of snapshots while a move is open.
const MOVE_SNAPSHOT_INTERVAL_MS: Millis = Millis::new(250);

pub(crate) struct ControlState {
    shared: Arc<Shared>,
    lifecycle: NodeLifecycle,
    ready: Option<oneshot::Sender<()>>,
    configuration: Configuration,
    moves: MoveController,
    has_templates: bool,
    cluster: Cluster,
    views: BTreeMap<EndpointId, Arc<EndpointView>>,
    next_publish_at: Option<MonoTime>,
    accepting: bool,
}

impl ControlState {
    pub(crate) fn new(shared: Arc<Shared>, cluster: Cluster, ready: oneshot::Sender<()>) -> Self {
        let lifecycle = NodeLifecycle::new(shared.clock.now());
        Self {
            moves: MoveController::new(Arc::clone(&shared)),
            shared,
            lifecycle,
            ready: Some(ready),
            configuration: Configuration::new(),
            has_templates: false,
            cluster,
            views: BTreeMap::new(),
            next_publish_at: None,
            accepting: false,
        }
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.lifecycle.state() == NodeState::Stopped
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        let deadlines = [
            self.lifecycle.next_deadline(),
            self.cluster.next_deadline(),
            self.moves.next_deadline(),
            self.next_publish_at,
        ];
        deadlines.into_iter().flatten().min()
    }

    pub(crate) fn expire(&mut self) {
        let now = self.shared.clock.now();
        let effects = self.lifecycle.expire(now);
        self.apply_effects(effects);
        self.cluster.expire();
        self.apply_changes();
        if self.moves.next_deadline().is_some_and(|at| at <= now) {
            self.moves.expire(now);
            self.schedule_publish(CONDITION_SNAPSHOT_DELAY_MS);
        }
        if self.next_publish_at.is_some_and(|at| at <= now) {
            self.publish();
        }
    }

    pub(crate) fn handle_lifecycle_event(&mut self, event: NodeEvent) {
        let effects = self.lifecycle.handle(self.shared.clock.now(), event);
        self.apply_effects(effects);
    }

    pub(crate) fn handle(&mut self, input: ControlInput) {
        match input {
            ControlInput::Templates(reply) => self.apply_templates(reply),
            ControlInput::MoveRecords(reply) => {
                self.moves.apply_records(&reply);
                self.schedule_publish(CONDITION_SNAPSHOT_DELAY_MS);
            }
            ControlInput::Vms(reply, read_at) => self.cluster.apply_vm_list(&reply, read_at),
            ControlInput::Load(endpoint, report) => {
                self.moves.record_answer(endpoint.clone(), report.is_some());
                self.cluster.apply_load(endpoint, report);
            }
            ControlInput::Attempt(report) => self.record_attempt(report),
            ControlInput::Gossip(received) => self.cluster.handle_message(*received),
            ControlInput::Idle => {}
            ControlInput::StopRequested => self.handle_lifecycle_event(NodeEvent::StopRequested),
        }
        self.apply_changes();
    }

    pub(crate) fn handle_link_event(&mut self, event: LinkEvent) {
        self.cluster.handle_link_event(event);
        self.apply_changes();
    }

    fn apply_templates(&mut self, reply: ListReply) {
        for entry in reply.entries {
            match parse_template(&entry) {
                Some(template) => self.cluster.apply_template(template),
                None => log::warn!(
                    "ignoring template: key {} has no valid workspace id",
                    entry.key
                ),
            }
        }
        self.has_templates = true;
    }

    /// Applies the changes that the cluster state collected.
    fn apply_changes(&mut self) {
        let changes = self.cluster.take_changes();
        for counts in changes.counts {
            self.moves.apply_counts(counts);
            self.schedule_publish(CONDITION_SNAPSHOT_DELAY_MS);
        }
        let mut has_new_template = false;
        for template in changes.templates {
            has_new_template |= self.apply_template(&template);
        }
        if changes.conditions_changed || has_new_template {
            self.schedule_publish(CONDITION_SNAPSHOT_DELAY_MS);
        }
        if changes.loads_changed {
            self.schedule_publish(LOAD_SNAPSHOT_DELAY_MS);
        }
        if self.lifecycle.state() == NodeState::Starting {
            self.check_configured();
        }
    }

    /// Applies a template and returns whether it came into force. An unreadable one
    /// leaves the last valid revision in force.
    fn apply_template(&mut self, template: &LearnedTemplate) -> bool {
        let id = &template.workspace;
        let revision = template.revision;
        if self.configuration.newest_revision(id) >= Some(revision) {
            return false;
        }
        let read = Template::read(&Document::new(
            &format!("{TEMPLATE_PREFIX}{id}"),
            &template.text,
        ));
        if let Err(error) = &read {
            log::error!("revision {revision} is not in force: {error}");
        }
        let now = self.shared.clock.now();
        match self.configuration.apply_document(now, id, revision, read) {
            ApplyOutcome::Newer => {
                self.has_templates = true;
                self.shared.counters.increment(Counter::TemplatesApplied);
                log::info!("template of {id} is in force at revision {revision}");
                if let Some(view) = self.configuration.workspace(id) {
                    self.moves.apply_template(view);
                }
                true
            }
            ApplyOutcome::Unreadable => {
                self.shared.counters.increment(Counter::TemplatesUnreadable);
                false
            }
            ApplyOutcome::NotNewer => false,
        }
    }

    fn record_attempt(&mut self, report: AttemptReport) {
        if let Some(fault) = report.fault {
            log::debug!("attempt lost at {}: {fault}", report.endpoint);
        }
        let snapshot = self.shared.snapshot.load_full();
        self.moves.record_attempt(&report, &snapshot);
        if self.moves.version_plans(&self.configuration) != snapshot.version_plans {
            self.publish();
        }
        let lost = report.fault.is_some();
        self.cluster.record_attempt(report.endpoint, lost);
    }

    fn check_configured(&mut self) {
        if self.has_templates && self.cluster.has_vms() {
            self.handle_lifecycle_event(NodeEvent::Configured);
        }
    }

    fn apply_effects(&mut self, effects: Vec<NodeEffect>) {
        for effect in effects {
            log::info!("node: {effect:?}");
            match effect {
                NodeEffect::AnnounceReady => self.announce_ready(),
                NodeEffect::AnnounceNotReady => {
                    self.cluster.leave();
                    self.shared
                        .ready
                        .store(false, std::sync::atomic::Ordering::Release);
                    self.shared.stop_phase.send_replace(StopPhase::NotReady);
                }
                NodeEffect::RefuseNew => {
                    self.accepting = false;
                    self.publish();
                }
                NodeEffect::MoveGenerations => {
                    self.shared.stop_phase.send_replace(StopPhase::HandOver);
                }
                NodeEffect::Stop => {}
            }
        }
    }

    fn announce_ready(&mut self) {
        self.accepting = true;
        self.publish();
        self.shared
            .ready
            .store(true, std::sync::atomic::Ordering::Release);
        if let Some(ready) = self.ready.take() {
            let _ = ready.send(());
        }
    }

    /// Schedules a snapshot after the delay at the latest, so that changes share it.
    fn schedule_publish(&mut self, delay: Millis) {
        let at = self.shared.clock.now() + delay;
        self.next_publish_at = Some(self.next_publish_at.map_or(at, |previous| previous.min(at)));
    }

    fn publish(&mut self) {
        self.next_publish_at = None;
        for item in self.moves.changed_counts() {
            self.cluster.publish(item);
        }
        self.update_views();
        let snapshot = Snapshot {
            workspaces: self.configuration.by_key(),
            endpoints: self.views.values().cloned().collect(),
            peers: self.cluster.membership().members().map(peer_view).collect(),
            version_plans: self.moves.version_plans(&self.configuration),
            moves: self.moves.views(),
            accepting: self.accepting,
        };
        self.shared.counters.increment(Counter::SnapshotsPublished);
        self.shared.publish(snapshot);
        if self.moves.next_deadline().is_some() {
            // The shares of open moves change with time alone.
            self.schedule_publish(MOVE_SNAPSHOT_INTERVAL_MS);
        }
    }

    /// Rebuilds the views of changed endpoints and reuses those of the others.
    fn update_views(&mut self) {
        let mut previous = std::mem::take(&mut self.views);
        for vm in self.cluster.vms() {
            let condition = self.cluster.condition(&vm.id);
            let load = self.cluster.load(&vm.id);
            let current = previous
                .remove(&vm.id)
                .filter(|view| is_current(view, vm, condition, load));
            let view = current.or_else(|| endpoint_view(vm, condition, load).map(Arc::new));
            if let Some(view) = view {
                self.views.insert(vm.id.clone(), view);
            }
        }
    }
}

fn parse_template(entry: &KeyValue) -> Option<LearnedTemplate> {
    let workspace = entry.key.strip_prefix(TEMPLATE_PREFIX)?;
    Some(LearnedTemplate {
        workspace: workspace.parse().ok()?,
        revision: entry.revision,
        text: entry.value.as_str().into(),
    })
}

fn endpoint_kind(role: &VmRole) -> Option<EndpointKind> {
    match role {
        VmRole::Node { .. } => None,
        VmRole::Engine {
            model,
            endpoint_version,
        } => Some(EndpointKind::Engine {
            model: model.clone(),
            version: endpoint_version.clone(),
        }),
        VmRole::Service { service } => Some(EndpointKind::Service {
            service: service.clone(),
        }),
    }
}

fn is_current(
    view: &EndpointView,
    vm: &VmEntry,
    condition: EndpointCondition,
    load: EndpointLoad,
) -> bool {
    view.condition == condition
        && view.reported_running == load.running
        && view.reported_waiting == load.waiting
        && view.capacity == load.capacity
        && view.address == vm.address
        && endpoint_kind(&vm.role).as_ref() == Some(&view.kind)
}

fn endpoint_view(
    vm: &VmEntry,
    condition: EndpointCondition,
    load: EndpointLoad,
) -> Option<EndpointView> {
    Some(EndpointView {
        id: vm.id.clone(),
        address: vm.address,
        kind: endpoint_kind(&vm.role)?,
        failure_domain: vm.failure_domain.clone(),
        region: vm.region.clone(),
        condition,
        reported_running: load.running,
        reported_waiting: load.waiting,
        capacity: load.capacity,
        pace_us: None,
    })
}

fn peer_view(member: MemberView<'_>) -> PeerView {
    PeerView {
        id: member.location.node.clone(),
        peer_address: member.peer_address,
        caller_address: Some(member.caller_address),
        failure_domain: member.location.failure_domain.clone(),
        region: member.location.region.clone(),
        live: member.live,
    }
}
