//! Cluster state: the other nodes and the endpoints. Applies the effects of
//! membership, gossip and endpoint health.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

use parsleylatch_decide::{
    endpoint_health::{
        EndpointLoad, EndpointWatch, ListedEndpoint, LoadResponse, WatchEffect, WatchInput,
    },
    gossip::{
        Gossip, GossipEffect, GossipInput, GossipSettings, Item, ItemKey, ItemValue, ItemVersion,
        NodeRecord, NodeStatus,
    },
    membership::{ListedNode, MemberLocation, Membership, MembershipEffect, MembershipInput},
    moves::Observer,
    store_session::{WatchMode, watch_mode},
    view::EndpointCondition,
    vm_list,
};
use parsleylatch_peer::{LinkEvent, Received};
use parsleylatch_types::{
    ByteCount, EndpointId, Micros, MonoTime, NodeId, Revision, UnixMillis, WorkspaceId,
};
use parsleylatch_wire::{
    engine::LoadReport,
    gossip::{Gossip as GossipBody, Probe, ProbeReply, gossip::Kind},
    peer::peer_message::Body,
    platform::{VmEntry, VmListReply, VmRole},
};
use tokio::sync::{mpsc, watch};

use super::{
    moves::LearnedCounts,
    peer_links::{PeerLinks, SendOutcome},
    watchers::{WatchedEndpoint, WatchedEndpoints},
};
use crate::{gossip_codec, node::Addresses, shared::Shared, telemetry::Counter};

/// A template received from the store or by gossip.
#[derive(Clone, Debug)]
pub(crate) struct LearnedTemplate {
    pub(crate) workspace: WorkspaceId,
    pub(crate) revision: Revision,
    pub(crate) text: Arc<str>,
}

/// Changes since they were last taken.
#[derive(Debug, Default)]
pub(crate) struct ClusterChanges {
    pub(crate) templates: Vec<LearnedTemplate>,
    pub(crate) counts: Vec<LearnedCounts>,
    /// Whether conditions of endpoints, members or the VM list changed; published
    /// almost at once.
    pub(crate) conditions_changed: bool,
    /// Whether loads changed; published with more delay.
    pub(crate) loads_changed: bool,
}

/// Parameters of the watchers, which depend on the live nodes.
pub(crate) struct WatchAssignments {
    pub(crate) endpoints: watch::Sender<WatchedEndpoints>,
    pub(crate) watch_mode: watch::Sender<WatchMode>,
    pub(crate) list_interval: watch::Sender<Micros>,
}

impl WatchAssignments {
    fn new() -> Self {
        Self {
            endpoints: watch::Sender::new(WatchedEndpoints::new()),
            watch_mode: watch::Sender::new(WatchMode::Watch),
            list_interval: watch::Sender::new(vm_list::read_interval(ByteCount::ZERO, 1)),
        }
    }
}

/// The other nodes and the endpoints, as this node knows them.
pub(crate) struct Cluster {
    shared: Arc<Shared>,
    gossip: Gossip,
    membership: Membership,
    endpoints: EndpointWatch,
    links: PeerLinks,
    vms: BTreeMap<EndpointId, VmEntry>,
    list_bytes: ByteCount,
    vms_changed: bool,
    changes: ClusterChanges,
    pub(crate) assignments: WatchAssignments,
}

impl Cluster {
    pub(crate) fn new(
        shared: Arc<Shared>,
        addresses: Addresses,
        events: mpsc::Sender<LinkEvent>,
    ) -> Self {
        let identity = &shared.identity;
        let version = ItemVersion {
            incarnation: identity.incarnation,
            counter: 0,
        };
        let record = NodeRecord {
            status: NodeStatus::Alive,
            peer_address: addresses.peer,
            caller_address: addresses.caller,
            failure_domain: identity.failure_domain.clone(),
            region: identity.region.clone(),
        };
        let (membership, item) = Membership::new(identity.node_id.clone(), version, record);
        let mut cluster = Self {
            gossip: Gossip::new(GossipSettings::default()),
            endpoints: EndpointWatch::new(membership.own().clone(), version),
            membership,
            links: PeerLinks::new(identity.clone(), events),
            vms: BTreeMap::new(),
            list_bytes: ByteCount::ZERO,
            vms_changed: false,
            changes: ClusterChanges::default(),
            assignments: WatchAssignments::new(),
            shared,
        };
        cluster.publish(item);
        cluster
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        let deadlines = [
            self.gossip.next_deadline(),
            self.membership.next_deadline(),
            self.endpoints.next_deadline(),
        ];
        deadlines.into_iter().flatten().min()
    }

    pub(crate) fn expire(&mut self) {
        let now = self.now();
        let effects = self.membership.expire(now);
        self.apply_membership_effects(effects);
        let effects = self.endpoints.expire(now);
        self.apply_watch_effects(effects);
        let effects = self.gossip.expire(now);
        self.apply_gossip_effects(effects);
    }

    /// Returns the changes since the last call.
    pub(crate) fn take_changes(&mut self) -> ClusterChanges {
        if std::mem::take(&mut self.vms_changed) {
            self.distribute_vms();
        }
        std::mem::take(&mut self.changes)
    }

    pub(crate) fn vms(&self) -> impl Iterator<Item = &VmEntry> {
        self.vms.values()
    }

    pub(crate) fn has_vms(&self) -> bool {
        !self.vms.is_empty()
    }

    pub(crate) fn membership(&self) -> &Membership {
        &self.membership
    }

    pub(crate) fn condition(&self, endpoint: &EndpointId) -> EndpointCondition {
        self.endpoints.condition(endpoint)
    }

    pub(crate) fn load(&self, endpoint: &EndpointId) -> EndpointLoad {
        self.endpoints.load(endpoint)
    }

    /// Announces to all nodes that this node leaves.
    pub(crate) fn leave(&mut self) {
        self.handle_membership_input(MembershipInput::Leave);
    }

    /// Publishes an item to all nodes.
    pub(crate) fn publish(&mut self, item: Item) {
        let now = self.now();
        let effects = self.gossip.handle(now, GossipInput::Publish(item));
        self.apply_gossip_effects(effects);
    }

    pub(crate) fn apply_vm_list(&mut self, reply: &VmListReply, read_at: UnixMillis) {
        let mut listed = BTreeMap::new();
        for vm in &reply.vms {
            if let Ok(text) = serde_json::to_string(vm) {
                listed.insert(vm.id.clone(), Arc::from(text));
            }
        }
        let bytes = listed.values().map(|text: &Arc<str>| text.len() as u64);
        self.list_bytes = ByteCount::new(bytes.sum());
        for item in vm_list::changes(self.gossip.items(), &listed, read_at) {
            self.apply_item(item.clone());
            self.publish(item);
        }
        self.update_assignments();
    }

    pub(crate) fn apply_template(&mut self, template: LearnedTemplate) {
        let item = Item {
            key: ItemKey::Template(template.workspace.clone()),
            version: ItemVersion::of_revision(template.revision),
            value: ItemValue::Template(Arc::clone(&template.text)),
        };
        self.changes.templates.push(template);
        self.publish(item);
    }

    pub(crate) fn apply_load(&mut self, endpoint: EndpointId, report: Option<LoadReport>) {
        let response = report.map(|report| LoadResponse {
            load: EndpointLoad {
                running: report.running,
                waiting: report.waiting,
                capacity: report.capacity,
            },
            leaving: report.leaving,
        });
        self.handle_watch_input(WatchInput::Load(endpoint, response));
    }

    pub(crate) fn record_attempt(&mut self, endpoint: EndpointId, lost: bool) {
        self.handle_watch_input(WatchInput::Attempt(endpoint, lost));
    }

    pub(crate) fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Up(identity) => {
                self.links.set_usable(&identity.node_id, true);
                self.link_up(identity.node_id, true);
            }
            LinkEvent::Down(peer) => {
                self.links.set_usable(&peer, false);
                self.link_down(&peer);
                self.handle_membership_input(MembershipInput::LinkLost(peer));
            }
            LinkEvent::Received(received) => self.handle_message(*received),
        }
    }

    /// Handles a message received on a link, whichever node opened it.
    pub(crate) fn handle_message(&mut self, received: Received) {
        let Body::Gossip(message) = received.body else {
            return;
        };
        let from = received.from.node_id;
        if self.links.record_accepted(&from, &received.reply) {
            self.link_up(from.clone(), false);
        }
        self.handle_membership_input(MembershipInput::Answered(from.clone()));
        if let Some(Kind::Probe(_)) = message.kind {
            self.send(&from, Kind::ProbeReply(ProbeReply {}));
        }
        if let Some(message) = gossip_codec::decode(message) {
            let now = self.now();
            let input = GossipInput::Message { from, message };
            let effects = self.gossip.handle(now, input);
            self.apply_gossip_effects(effects);
        }
    }

    fn now(&self) -> MonoTime {
        self.shared.clock.now()
    }

    fn link_up(&mut self, peer: NodeId, opened_here: bool) {
        let own_region = &self.membership.own().region;
        let mut members = self.membership.members();
        let crosses_regions = members
            .any(|member| member.location.node == peer && member.location.region != *own_region);
        drop(members);
        let input = GossipInput::LinkUp {
            peer,
            opened_here,
            crosses_regions,
        };
        let effects = self.gossip.handle(self.now(), input);
        self.apply_gossip_effects(effects);
    }

    fn link_down(&mut self, peer: &NodeId) {
        self.links.remove_accepted(peer);
        let now = self.now();
        self.gossip.handle(now, GossipInput::LinkDown(peer.clone()));
    }

    fn send(&mut self, to: &NodeId, kind: Kind) {
        let message = GossipBody { kind: Some(kind) };
        if self.links.send(to, message) == SendOutcome::NoLink {
            self.link_down(to);
        }
    }

    fn handle_membership_input(&mut self, input: MembershipInput) {
        let now = self.now();
        let effects = self.membership.handle(now, input);
        self.apply_membership_effects(effects);
    }

    fn handle_watch_input(&mut self, input: WatchInput) {
        let now = self.now();
        let effects = self.endpoints.handle(now, input);
        self.apply_watch_effects(effects);
    }

    fn apply_gossip_effects(&mut self, effects: Vec<GossipEffect>) {
        for effect in effects {
            match effect {
                GossipEffect::Send { to, message } => {
                    self.shared.counters.increment(Counter::GossipSent);
                    if let Some(kind) = gossip_codec::encode(message).kind {
                        self.send(&to, kind);
                    }
                }
                GossipEffect::Learned(item) => self.apply_item(item),
            }
        }
    }

    /// Applies an item received by gossip or read from the VM list.
    fn apply_item(&mut self, item: Item) {
        let version = item.version;
        match (item.key, item.value) {
            (ItemKey::Node(node), ItemValue::Node(record)) => {
                self.handle_membership_input(MembershipInput::Learned {
                    node,
                    version,
                    record,
                });
            }
            (ItemKey::Endpoint(id), ItemValue::Endpoint(summary)) => {
                self.handle_watch_input(WatchInput::Observed(id, version, summary));
            }
            (ItemKey::Template(workspace), ItemValue::Template(text)) => {
                self.changes.templates.push(LearnedTemplate {
                    workspace,
                    revision: Revision::new(version.counter),
                    text,
                });
            }
            (ItemKey::Evidence { origin, move_id }, ItemValue::Evidence(content)) => {
                let observer = Observer {
                    node: origin,
                    incarnation: version.incarnation,
                };
                self.changes.counts.push(LearnedCounts {
                    move_id,
                    observer,
                    content,
                });
            }
            (ItemKey::Vm(id), ItemValue::Vm(text)) => self.apply_vm(id, text.as_deref()),
            _ => {}
        }
    }

    fn apply_vm(&mut self, id: EndpointId, text: Option<&str>) {
        match text.map(serde_json::from_str::<VmEntry>) {
            Some(Ok(vm)) => {
                self.vms.insert(id, vm);
            }
            Some(Err(error)) => log::warn!("ignoring unparsable list entry of VM {id}: {error}"),
            None => {
                self.vms.remove(&id);
            }
        }
        self.vms_changed = true;
    }

    /// Passes a changed VM list to membership and endpoint health.
    fn distribute_vms(&mut self) {
        let nodes = self.vms.values().filter_map(listed_node).collect();
        let endpoints = self.vms.values().filter_map(listed_endpoint).collect();
        self.handle_membership_input(MembershipInput::Listed(nodes));
        self.handle_watch_input(WatchInput::Listed(endpoints));
        self.changes.conditions_changed = true;
    }

    fn apply_membership_effects(&mut self, effects: Vec<MembershipEffect>) {
        let mut changed = false;
        for effect in effects {
            match effect {
                MembershipEffect::Connect { peer, address, .. } => self.links.open(peer, address),
                MembershipEffect::Disconnect(peer) => {
                    self.links.close(&peer);
                    self.link_down(&peer);
                }
                MembershipEffect::Probe(peer) => self.send(&peer, Kind::Probe(Probe {})),
                MembershipEffect::Publish(item) => self.publish(item),
                MembershipEffect::Changed => changed = true,
            }
        }
        if changed {
            self.changes.conditions_changed = true;
            let live = self.membership.live_locations().cloned().collect();
            self.handle_watch_input(WatchInput::Members(live));
            self.update_assignments();
        }
    }

    fn apply_watch_effects(&mut self, effects: Vec<WatchEffect>) {
        for effect in effects {
            match effect {
                WatchEffect::Watch(endpoints) => self.watch_endpoints(&endpoints),
                WatchEffect::Publish(item) => self.publish(item),
                WatchEffect::LoadChanged => self.changes.loads_changed = true,
                WatchEffect::ConditionChanged => self.changes.conditions_changed = true,
            }
        }
    }

    fn watch_endpoints(&self, endpoints: &[(EndpointId, bool)]) {
        let watched = endpoints.iter().filter_map(|(id, is_first)| {
            let address: SocketAddr = self.vms.get(id)?.address;
            Some(WatchedEndpoint {
                id: id.clone(),
                address,
                is_first: *is_first,
            })
        });
        self.assignments.endpoints.send_replace(watched.collect());
    }

    /// Recomputes the watchers' parameters from the live nodes.
    fn update_assignments(&self) {
        let own = self.membership.own();
        let mode = watch_mode(own, self.membership.live_locations());
        let in_own_region = self.membership.live_locations();
        let in_own_region = in_own_region
            .filter(|location| location.region == own.region)
            .count();
        set_if_changed(&self.assignments.watch_mode, mode);
        let interval = vm_list::read_interval(self.list_bytes, in_own_region);
        set_if_changed(&self.assignments.list_interval, interval);
    }
}

/// Sets a watched value; notifies the receivers only if it changed.
fn set_if_changed<Value>(sender: &watch::Sender<Value>, value: Value)
where
    Value: PartialEq,
{
    sender.send_if_modified(|current| {
        let changed = *current != value;
        *current = value;
        changed
    });
}

fn listed_node(vm: &VmEntry) -> Option<ListedNode> {
    let VmRole::Node { caller_address } = &vm.role else {
        return None;
    };
    Some(ListedNode {
        location: MemberLocation {
            node: vm.id.as_str().parse().ok()?,
            failure_domain: vm.failure_domain.clone(),
            region: vm.region.clone(),
        },
        peer_address: vm.address,
        caller_address: *caller_address,
        leaving: vm.leaving,
    })
}

fn listed_endpoint(vm: &VmEntry) -> Option<ListedEndpoint> {
    let reports_load = match &vm.role {
        VmRole::Node { .. } => return None,
        VmRole::Engine { .. } => true,
        VmRole::Service { .. } => false,
    };
    Some(ListedEndpoint {
        id: vm.id.clone(),
        failure_domain: vm.failure_domain.clone(),
        region: vm.region.clone(),
        reports_load,
        leaving: vm.leaving,
    })
}
