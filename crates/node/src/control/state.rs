//! State of the control thread, and the snapshots made from it.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use parsleylatch_decide::{
    configuration::{Applied, Configuration},
    generation::AttemptReport,
    node_life::{NodeEffect, NodeEvent, NodeLife, NodeState},
    view::{EndpointCondition, EndpointKind, EndpointView, PeerView, Snapshot},
};
use parsleylatch_settings::{Document, Template};
use parsleylatch_types::{EndpointId, MonoTime};
use parsleylatch_wire::{
    engine::LoadReport,
    platform::{KeyValue, ListReply, VmEntry, VmListReply, VmRole},
};
use tokio::sync::{oneshot, watch};

use super::{ControlInput, moves::MoveControl};
use crate::{
    shared::{Shared, StopPhase},
    telemetry::Counter,
};

/// Engines whose load is to be read.
pub(crate) type WatchedEndpoints = Vec<(EndpointId, SocketAddr)>;

/// What an engine said of itself, and whether it still answers.
#[derive(Clone, Copy, Debug, Default)]
struct KnownLoad {
    report: LoadReport,
    unanswered: u32,
}

/// Unanswered load reports after which an endpoint is suspect.
const SUSPECT_AFTER_UNANSWERED: u32 = 2;

pub(crate) struct ControlState {
    shared: Arc<Shared>,
    life: NodeLife,
    ready: Option<oneshot::Sender<()>>,
    configuration: Configuration,
    moves: MoveControl,
    has_templates: bool,
    vms: Option<Vec<VmEntry>>,
    loads: BTreeMap<EndpointId, KnownLoad>,
    watched: watch::Sender<WatchedEndpoints>,
    accepting: bool,
}

impl ControlState {
    pub(crate) fn new(shared: Arc<Shared>, ready: oneshot::Sender<()>) -> Self {
        let life = NodeLife::new(shared.clock.now());
        Self {
            moves: MoveControl::new(Arc::clone(&shared)),
            shared,
            life,
            ready: Some(ready),
            configuration: Configuration::new(),
            has_templates: false,
            vms: None,
            loads: BTreeMap::new(),
            watched: watch::Sender::new(Vec::new()),
            accepting: false,
        }
    }

    pub(crate) fn watched_endpoints(&self) -> watch::Receiver<WatchedEndpoints> {
        self.watched.subscribe()
    }

    pub(crate) fn is_stopped(&self) -> bool {
        self.life.state() == NodeState::Stopped
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        let deadlines = [self.life.next_deadline(), self.moves.next_deadline()];
        deadlines.into_iter().flatten().min()
    }

    pub(crate) fn expire(&mut self) {
        let now = self.shared.clock.now();
        let effects = self.life.expire(now);
        self.carry_out(effects);
        self.moves.expire(now);
        self.publish();
    }

    pub(crate) fn step_life(&mut self, event: NodeEvent) {
        let effects = self.life.handle(self.shared.clock.now(), event);
        self.carry_out(effects);
    }

    pub(crate) fn handle(&mut self, input: ControlInput) {
        match input {
            ControlInput::Templates(reply) => self.take_templates(reply),
            ControlInput::MoveRecords(reply) => {
                self.moves.take_records(&reply);
                self.publish();
            }
            ControlInput::Vms(reply) => self.take_vms(reply),
            ControlInput::Load(endpoint, report) => self.take_load(endpoint, report),
            ControlInput::Attempt(report) => self.take_attempt(&report),
            ControlInput::Gossip(received) => {
                log::debug!("gossip from {}", received.from.node_id);
            }
            ControlInput::Idle => {}
            ControlInput::StopRequested => self.step_life(NodeEvent::StopRequested),
        }
    }

    fn take_templates(&mut self, reply: ListReply) {
        for entry in reply.entries {
            self.take_template(&entry);
        }
        self.has_templates = true;
        self.publish();
        self.check_configured();
    }

    /// A template that can't be read leaves the last good one in force.
    fn take_template(&mut self, entry: &KeyValue) {
        match Template::read(&Document::new(&entry.key, &entry.value)) {
            Ok(template) => {
                let workspace = template.workspace.clone();
                if self.configuration.apply(template, entry.revision) == Applied::Newer {
                    self.shared.counters.increment(Counter::TemplatesApplied);
                    log::info!("{} is in force at revision {}", entry.key, entry.revision);
                    if let Some(view) = self.configuration.workspace(&workspace) {
                        self.moves.take_template(view);
                    }
                }
            }
            Err(error) => {
                self.shared.counters.increment(Counter::TemplatesUnreadable);
                log::error!("the last good template stays in force: {error}");
            }
        }
    }

    fn take_vms(&mut self, reply: VmListReply) {
        if self.vms.as_ref() == Some(&reply.vms) {
            return;
        }
        let engines = reply
            .vms
            .iter()
            .filter(|vm| matches!(vm.role, VmRole::Engine { .. }));
        let watched: WatchedEndpoints = engines.map(|vm| (vm.id.clone(), vm.address)).collect();
        self.watched.send_if_modified(|current| {
            let changed = *current != watched;
            *current = watched;
            changed
        });
        self.vms = Some(reply.vms);
        self.publish();
        self.check_configured();
    }

    fn take_load(&mut self, endpoint: EndpointId, report: Option<LoadReport>) {
        self.moves.take_answer(endpoint.clone(), report.is_some());
        let known = self.loads.entry(endpoint).or_default();
        match report {
            Some(report) => {
                *known = KnownLoad {
                    report,
                    unanswered: 0,
                }
            }
            None => known.unanswered += 1,
        }
        self.publish();
    }

    fn take_attempt(&mut self, report: &AttemptReport) {
        if let Some(fault) = report.fault {
            log::debug!("attempt lost at {}: {fault}", report.endpoint);
        }
        let snapshot = self.shared.snapshot.load_full();
        self.moves.take_attempt(report, &snapshot);
        if self.moves.version_plans(&self.configuration) != snapshot.version_plans {
            self.publish();
        }
    }

    fn check_configured(&mut self) {
        if self.has_templates && self.vms.is_some() {
            self.step_life(NodeEvent::Configured);
        }
    }

    fn carry_out(&mut self, effects: Vec<NodeEffect>) {
        for effect in effects {
            log::info!("node: {effect:?}");
            match effect {
                NodeEffect::AnnounceReady => self.announce_ready(),
                NodeEffect::AnnounceNotReady => {
                    self.shared
                        .ready
                        .store(false, std::sync::atomic::Ordering::Release);
                    self.shared.stop_phase.send_replace(StopPhase::Noticing);
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

    fn publish(&self) {
        let vms = self.vms.as_deref().unwrap_or_default();
        let snapshot = Snapshot {
            workspaces: self.configuration.by_key(),
            endpoints: vms
                .iter()
                .filter_map(|vm| self.endpoint_view(vm))
                .map(Arc::new)
                .collect(),
            peers: vms.iter().filter_map(|vm| self.peer_view(vm)).collect(),
            version_plans: self.moves.version_plans(&self.configuration),
            moves: self.moves.views(),
            accepting: self.accepting,
        };
        self.shared.publish(snapshot);
    }

    fn endpoint_view(&self, vm: &VmEntry) -> Option<EndpointView> {
        let kind = match &vm.role {
            VmRole::Node { .. } => return None,
            VmRole::Engine {
                model,
                endpoint_version,
            } => EndpointKind::Engine {
                model: model.clone(),
                version: endpoint_version.clone(),
            },
            VmRole::Service { service } => EndpointKind::Service {
                service: service.clone(),
            },
        };
        let load = self.loads.get(&vm.id).copied().unwrap_or_default();
        let condition = match () {
            () if vm.leaving || load.report.leaving => EndpointCondition::Leaving,
            () if load.unanswered >= SUSPECT_AFTER_UNANSWERED => EndpointCondition::Suspect,
            () => EndpointCondition::Live,
        };
        Some(EndpointView {
            id: vm.id.clone(),
            address: vm.address,
            kind,
            failure_domain: vm.failure_domain.clone(),
            region: vm.region.clone(),
            condition,
            reported_running: load.report.running,
            reported_waiting: load.report.waiting,
            capacity: load.report.capacity,
            pace_us: None,
        })
    }

    fn peer_view(&self, vm: &VmEntry) -> Option<PeerView> {
        let VmRole::Node { caller_address } = &vm.role else {
            return None;
        };
        let id = vm.id.as_str().parse().ok()?;
        (id != self.shared.settings.node_id).then(|| PeerView {
            id,
            peer_address: vm.address,
            caller_address: Some(*caller_address),
            failure_domain: vm.failure_domain.clone(),
            region: vm.region.clone(),
            live: !vm.leaving,
        })
    }
}
