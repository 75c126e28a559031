//! One node that takes part in gossip with simulated peers.
//!
//! The node has the links that the production overlay assigns to it. An item
//! published by another node arrives first on one link, chosen at random. On each
//! other link it is sent once, in either direction with equal probability, as
//! when all nodes learn of it at about the same time.

use std::collections::BTreeSet;

use parsleylatch_decide::{
    endpoint_health::{
        EndpointLoad, EndpointWatch, ListedEndpoint, LoadResponse, WatchEffect, WatchInput,
    },
    gossip::{
        EndpointSummary, Gossip, GossipEffect, GossipInput, GossipMessage, GossipSettings, Item,
        ItemKey, ItemValue, ItemVersion, NodeRecord, NodeStatus, ObservationId, ObservedCondition,
    },
    membership::{
        ListedNode, MemberLocation, Membership, MembershipEffect, MembershipInput,
        overlay_neighbours, rendezvous_nodes,
    },
};
use parsleylatch_node::gossip_codec;
use parsleylatch_types::{EndpointId, FailureDomain, Incarnation, MonoTime, NodeId, RequestCount};
use parsleylatch_wire::{
    gossip::{Gossip as GossipBody, Probe, ProbeReply, gossip::Kind},
    peer::{PeerMessage, peer_message::Body},
    platform::{VmEntry, VmRole},
};
use prost::Message;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use super::{
    frames::{ByLink, encode, encode_body},
    state::{self, Size},
};

/// Loads that all nodes of a region publish.
const MAX_REGION_LOADS_PER_SECOND: f64 = 70.0;
/// Loads sent over one link between regions.
const MAX_CROSS_REGION_LOADS_PER_SECOND: usize = 4;
/// Loads that one node publishes.
const MAX_NODE_LOADS_PER_SECOND: f64 = 20.0;
/// Loads that one node reads from its endpoints.
const MAX_READS_PER_SECOND: u64 = 12;
/// Length prefix of each frame.
const FRAME_HEADER_BYTES: u64 = 4;
/// Streams that an engine runs concurrently.
const ENGINE_CAPACITY: u64 = 64;

/// Traffic on the links of a node.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TrafficCounts {
    pub(super) bytes_in: u64,
    pub(super) bytes_out: u64,
    pub(super) messages_out: u64,
    pub(super) loads_in: u64,
}

/// Load item of an endpoint that another node watches.
struct PublishedLoad {
    id: ObservationId,
    version: ItemVersion,
}

/// Loads that the other nodes of one region publish.
#[derive(Default)]
struct RegionLoads {
    loads: Vec<PublishedLoad>,
    per_second: usize,
}

/// State of one node, and of the peers that send to it.
pub(super) struct SimulatedNode {
    gossip: Gossip,
    membership: Membership,
    pub(super) endpoints: EndpointWatch,
    pub(super) counts: TrafficCounts,
    links: Vec<(NodeId, bool)>,
    watched: Vec<EndpointId>,
    own: MemberLocation,
    locations: Vec<MemberLocation>,
    own_region: RegionLoads,
    other_region: RegionLoads,
    random: Pcg64Mcg,
}

impl SimulatedNode {
    /// Creates the node at a position of the VM list.
    pub(super) fn new(size: Size, position: usize) -> Self {
        let vms = state::vm_list(size).vms;
        let listed: Vec<ListedNode> = vms.iter().filter_map(listed_node).collect();
        let locations: Vec<MemberLocation> =
            listed.iter().map(|node| node.location.clone()).collect();
        let own = locations[position].clone();
        let version = ItemVersion {
            incarnation: Incarnation::new(1_765_000_000_000),
            counter: 1,
        };
        let record = node_record(&listed[position]);
        let (mut membership, own_item) = Membership::new(own.node.clone(), version, record);
        let mut gossip = Gossip::new(GossipSettings::default());
        for item in initial_items(size, &vms, &listed)
            .into_iter()
            .chain([own_item])
        {
            gossip.handle(MonoTime::ZERO, GossipInput::Publish(item));
        }
        membership.handle(MonoTime::ZERO, MembershipInput::Listed(listed));
        let mut endpoints = EndpointWatch::new(own.clone(), version);
        let listed_endpoints = vms.iter().filter_map(listed_endpoint).collect();
        endpoints.handle(MonoTime::ZERO, WatchInput::Members(locations.clone()));
        let effects = endpoints.handle(MonoTime::ZERO, WatchInput::Listed(listed_endpoints));
        let links = overlay_links(&own, &locations);
        let (own_region, other_region) = loads_by_region(&vms, &locations, &own);
        let mut node = Self {
            gossip,
            membership,
            endpoints,
            counts: TrafficCounts::default(),
            links,
            watched: Vec::new(),
            own,
            locations,
            own_region,
            other_region,
            random: Pcg64Mcg::new(7),
        };
        node.record_watched(&effects);
        node.open_links();
        node
    }

    pub(super) fn links(&self) -> usize {
        self.links.len()
    }

    pub(super) fn watched(&self) -> usize {
        self.watched.len()
    }

    pub(super) fn locations(&self) -> Vec<MemberLocation> {
        self.locations.clone()
    }

    pub(super) fn reset_counts(&mut self) {
        self.counts = TrafficCounts::default();
    }

    /// Returns all items other than loads.
    pub(super) fn items_without_loads(&self) -> Vec<Item> {
        let items = self.gossip.items().items();
        let items = items.filter(|item| !matches!(item.key, ItemKey::Endpoint(_)));
        items.cloned().collect()
    }

    fn record_watched(&mut self, effects: &[WatchEffect]) {
        for effect in effects {
            if let WatchEffect::Watch(watched) = effect {
                self.watched = watched.iter().map(|(id, _)| id.clone()).collect();
            }
        }
    }

    fn open_links(&mut self) {
        for (peer, opened_here) in self.links.clone() {
            let location = self.locations.iter().find(|location| location.node == peer);
            let crosses_regions =
                location.is_some_and(|location| location.region != self.own.region);
            let input = GossipInput::LinkUp {
                peer,
                opened_here,
                crosses_regions,
            };
            self.gossip.handle(MonoTime::ZERO, input);
        }
    }

    /// Returns the frames that peers send in the next second, grouped by peer.
    pub(super) fn next_peer_frames(&mut self) -> Vec<(NodeId, Vec<u8>)> {
        let mut by_link: ByLink<Vec<Item>> = ByLink::new();
        let same_region_count = self.own_region.per_second;
        let domains: BTreeSet<&FailureDomain> = self
            .locations
            .iter()
            .map(|location| &location.failure_domain)
            .collect();
        let other_region_count = self.other_region.per_second;
        let other_region_count =
            other_region_count.min(domains.len() * MAX_CROSS_REGION_LOADS_PER_SECOND);
        let peers: Vec<NodeId> = self.same_region_links();
        let links = peers.len() as f64;
        // Half of the links carry an item inwards on average, and half outwards.
        let repeat_probability = ((links / 2.0 - 1.0) / (links - 1.0)).clamp(0.0, 1.0);
        for position in
            (0..same_region_count).chain(same_region_count..same_region_count + other_region_count)
        {
            let item = self.next_load(position < same_region_count);
            self.counts.loads_in += 1;
            let first = self.random.random_range(0..peers.len());
            for (link, peer) in peers.iter().enumerate() {
                if link == first || self.random.random_bool(repeat_probability) {
                    by_link.entry(peer.clone()).or_default().push(item.clone());
                }
            }
        }
        let items = by_link.into_iter().map(|(peer, items)| {
            let frame = encode(GossipMessage::Items(items));
            (peer, frame)
        });
        let mut frames: Vec<(NodeId, Vec<u8>)> = items.collect();
        frames.extend(self.probe_and_digest_frames());
        frames
    }

    /// Returns the linked peers of the node's own region.
    fn same_region_links(&self) -> Vec<NodeId> {
        let peers = self.links.iter().filter(|(peer, _)| {
            let mut locations = self.locations.iter();
            locations.any(|location| location.node == *peer && location.region == self.own.region)
        });
        peers.map(|(peer, _)| peer.clone()).collect()
    }

    /// Returns the probes and digests of peers; a matching digest needs no response.
    fn probe_and_digest_frames(&mut self) -> Vec<(NodeId, Vec<u8>)> {
        let mut frames = Vec::new();
        for (peer, opened_here) in &self.links {
            let kind = if *opened_here {
                Kind::ProbeReply(ProbeReply {})
            } else {
                Kind::Probe(Probe {})
            };
            frames.push((peer.clone(), encode_body(GossipBody { kind: Some(kind) })));
            if !opened_here && self.random.random_range(0..10) == 0 {
                let digest = self.gossip.items().digest().to_vec();
                frames.push((peer.clone(), encode(GossipMessage::Digest(digest))));
            }
        }
        frames
    }

    fn next_load(&mut self, same_region: bool) -> Item {
        let loads = if same_region {
            &mut self.own_region.loads
        } else {
            &mut self.other_region.loads
        };
        let position = self.random.random_range(0..loads.len());
        let published = &mut loads[position];
        published.version = published.version.next();
        let load = random_load(&mut self.random);
        Item {
            key: ItemKey::Endpoint(published.id),
            version: published.version,
            value: ItemValue::Endpoint(EndpointSummary::new(
                ObservedCondition::Live,
                load.running,
                load.waiting,
                load.capacity,
            )),
        }
    }

    /// Returns the load responses that arrive in one of the `steps` of a second.
    pub(super) fn next_load_responses(
        &mut self,
        now: MonoTime,
        step: u64,
        steps: u64,
    ) -> Vec<(EndpointId, LoadResponse)> {
        let rate = MAX_READS_PER_SECOND.min(2 * self.watched.len() as u64);
        let due = rate * (step + 1) / steps - rate * step / steps;
        let mut loads = Vec::new();
        for turn in 0..due {
            let position = (now.get() / 50_000 + turn) as usize % self.watched.len();
            let response = LoadResponse {
                load: random_load(&mut self.random),
                leaving: false,
            };
            loads.push((self.watched[position].clone(), response));
        }
        loads
    }

    pub(super) fn handle_load_responses(
        &mut self,
        now: MonoTime,
        loads: Vec<(EndpointId, LoadResponse)>,
    ) {
        for (endpoint, response) in loads {
            let input = WatchInput::Load(endpoint, Some(response));
            let effects = self.endpoints.handle(now, input);
            for effect in effects {
                if let WatchEffect::Publish(item) = effect {
                    let effects = self.gossip.handle(now, GossipInput::Publish(item));
                    self.send(effects);
                }
            }
        }
    }

    /// Handles a frame from a peer, as the node's control thread does.
    pub(super) fn handle_frame(&mut self, now: MonoTime, from: NodeId, frame: &[u8]) {
        self.counts.bytes_in += frame.len() as u64 + FRAME_HEADER_BYTES;
        let Ok(message) = PeerMessage::decode(frame) else {
            return;
        };
        let Some(Body::Gossip(body)) = message.body else {
            return;
        };
        let membership_input = MembershipInput::Answered(from.clone());
        self.membership.handle(now, membership_input);
        if matches!(body.kind, Some(Kind::Probe(_))) {
            let kind = Some(Kind::ProbeReply(ProbeReply {}));
            self.count_sent(&encode_body(GossipBody { kind }));
        }
        if let Some(message) = gossip_codec::decode(body) {
            let input = GossipInput::Message { from, message };
            let effects = self.gossip.handle(now, input);
            self.handle_learned(now, &effects);
            self.send(effects);
        }
    }

    fn handle_learned(&mut self, now: MonoTime, effects: &[GossipEffect]) {
        for effect in effects {
            let GossipEffect::Learned(item) = effect else {
                continue;
            };
            if let (ItemKey::Endpoint(id), ItemValue::Endpoint(summary)) = (&item.key, &item.value)
            {
                let input = WatchInput::Observed(*id, item.version, *summary);
                self.endpoints.handle(now, input);
            }
        }
    }

    /// Handles expired deadlines.
    pub(super) fn expire(&mut self, now: MonoTime) {
        if self.membership.next_deadline().is_some_and(|at| at <= now) {
            for effect in self.membership.expire(now) {
                if let MembershipEffect::Probe(_) = effect {
                    let kind = Some(Kind::Probe(Probe {}));
                    self.count_sent(&encode_body(GossipBody { kind }));
                }
            }
        }
        if self.endpoints.next_deadline().is_some_and(|at| at <= now) {
            self.endpoints.expire(now);
        }
        if self.gossip.next_deadline().is_some_and(|at| at <= now) {
            let effects = self.gossip.expire(now);
            self.send(effects);
        }
    }

    fn send(&mut self, effects: Vec<GossipEffect>) {
        for effect in effects {
            if let GossipEffect::Send { message, .. } = effect {
                let frame = encode(message);
                self.count_sent(&frame);
            }
        }
    }

    fn count_sent(&mut self, frame: &[u8]) {
        self.counts.bytes_out += frame.len() as u64 + FRAME_HEADER_BYTES;
        self.counts.messages_out += 1;
    }
}

/// Returns the links of a node, and whether the node itself opens each.
fn overlay_links(own: &MemberLocation, locations: &[MemberLocation]) -> Vec<(NodeId, bool)> {
    let others_of = |location: &MemberLocation| -> Vec<MemberLocation> {
        let others = locations.iter().filter(|other| other.node != location.node);
        others.cloned().collect()
    };
    let opened: Vec<NodeId> = overlay_neighbours(own, &others_of(own));
    let mut links: Vec<(NodeId, bool)> = Vec::new();
    links.extend(opened.iter().map(|peer| (peer.clone(), true)));
    for location in locations.iter().filter(|location| *location != own) {
        let opens = overlay_neighbours(location, &others_of(location)).contains(&own.node);
        if opens && !opened.contains(&location.node) {
            links.push((location.node.clone(), false));
        }
    }
    links
}

/// Returns the loads that other nodes publish, for the node's own region and the other.
fn loads_by_region(
    vms: &[VmEntry],
    locations: &[MemberLocation],
    own: &MemberLocation,
) -> (RegionLoads, RegionLoads) {
    let (same_region, other_region): (Vec<ListedEndpoint>, Vec<ListedEndpoint>) = vms
        .iter()
        .filter_map(listed_endpoint)
        .partition(|endpoint| endpoint.region == own.region);
    (
        region_loads(&same_region, locations, own),
        region_loads(&other_region, locations, own),
    )
}

/// Returns the loads published for endpoints of one region. A node publishes each
/// endpoint's load once a second, up to its part of the region's rate limit.
fn region_loads(
    endpoints: &[ListedEndpoint],
    locations: &[MemberLocation],
    own: &MemberLocation,
) -> RegionLoads {
    let version = ItemVersion {
        incarnation: Incarnation::new(1_765_000_000_500),
        counter: 1_000,
    };
    let Some(region) = endpoints.first().map(|endpoint| &endpoint.region) else {
        return RegionLoads::default();
    };
    let region_nodes: Vec<&MemberLocation> = locations
        .iter()
        .filter(|location| location.region == *region)
        .collect();
    let mut loads = Vec::new();
    let mut by_watcher: ByLink<usize> = ByLink::new();
    for endpoint in endpoints {
        let watchers = rendezvous_nodes(endpoint.id.as_str(), region_nodes.iter().copied(), 1);
        for watcher in watchers.into_iter().filter(|watcher| *watcher != own) {
            let id = ObservationId::new(&endpoint.id, &watcher.node);
            loads.push(PublishedLoad { id, version });
            *by_watcher.entry(watcher.node.clone()).or_default() += 1;
        }
    }
    let rate_per_node = MAX_REGION_LOADS_PER_SECOND / region_nodes.len() as f64;
    let rate_per_node = rate_per_node.min(MAX_NODE_LOADS_PER_SECOND);
    let rates = by_watcher
        .values()
        .map(|count| rate_per_node.min(*count as f64));
    RegionLoads {
        per_second: rates.sum::<f64>().round() as usize,
        loads,
    }
}

/// Builds the items of all nodes, templates and VMs.
fn initial_items(size: Size, vms: &[VmEntry], listed: &[ListedNode]) -> Vec<Item> {
    let version = ItemVersion {
        incarnation: Incarnation::new(1_765_000_000_000),
        counter: 1,
    };
    let nodes = listed.iter().map(|node| Item {
        key: ItemKey::Node(node.location.node.clone()),
        version,
        value: ItemValue::Node(node_record(node)),
    });
    let templates = state::templates(size);
    let templates = templates
        .into_iter()
        .enumerate()
        .map(|(position, entry)| Item {
            key: ItemKey::Template(state::workspace_id(position)),
            version: ItemVersion::of_revision(entry.revision),
            value: ItemValue::Template(entry.value.into()),
        });
    let vms = vms.iter().map(|vm| {
        let text = serde_json::to_string(vm).unwrap_or_default();
        Item {
            key: ItemKey::Vm(vm.id.clone()),
            version,
            value: ItemValue::Vm(Some(text.into())),
        }
    });
    nodes.chain(templates).chain(vms).collect()
}

fn random_load(random: &mut Pcg64Mcg) -> EndpointLoad {
    EndpointLoad {
        running: RequestCount::new(random.random_range(0..=ENGINE_CAPACITY)),
        waiting: RequestCount::new(random.random_range(0..8)),
        capacity: RequestCount::new(ENGINE_CAPACITY),
    }
}

fn node_record(node: &ListedNode) -> NodeRecord {
    NodeRecord {
        status: NodeStatus::Alive,
        peer_address: node.peer_address,
        caller_address: node.caller_address,
        failure_domain: node.location.failure_domain.clone(),
        region: node.location.region.clone(),
    }
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
    matches!(vm.role, VmRole::Engine { .. }).then(|| ListedEndpoint {
        id: vm.id.clone(),
        failure_domain: vm.failure_domain.clone(),
        region: vm.region.clone(),
        reports_load: true,
        leaving: vm.leaving,
    })
}
