//! Membership: who may exist, who answers, and whom to link to.
//!
//! The platform's list says which nodes may exist; probes on the few links that
//! a node opens say who answers. A node that misses probes is suspected first,
//! and everyone is told; it refutes that with a higher version of its record,
//! or is dead after a while. A node that stops says so itself.

mod member;
mod overlay;

use std::{collections::BTreeMap, net::SocketAddr};

use parsleylatch_types::{Millis, MonoTime, NodeId};

pub(crate) use member::verify_chart;
pub use member::{MemberEvent, MemberState};
pub use overlay::{MemberLocation, overlay_neighbours, rendezvous_nodes};

use crate::gossip::{Item, ItemKey, ItemValue, ItemVersion, NodeRecord, NodeStatus};
use member::MemberLiveness;

/// Time between two probes of a partner.
const PROBE_INTERVAL_MS: Millis = Millis::new(1_000);
/// Time for a broken link to come back before its node is suspected.
const RECONNECT_TIMEOUT_MS: Millis = Millis::new(300);
/// Unanswered probes in a row after which a partner is suspected.
const SUSPECT_AFTER_MISSED_PROBES: u32 = 2;

/// One node of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedNode {
    /// Where it is.
    pub location: MemberLocation,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// What happens to the membership.
#[derive(Clone, Debug)]
pub enum MembershipInput {
    /// Every other node that may exist.
    Listed(Vec<ListedNode>),
    /// A newer record of a node.
    Learned {
        /// Node.
        node: NodeId,
        /// Version of the record.
        version: ItemVersion,
        /// The record.
        record: NodeRecord,
    },
    /// A partner answered a probe, or said anything else.
    Answered(NodeId),
    /// The link to a partner broke.
    LinkLost(NodeId),
    /// This node stops.
    Leave,
}

/// What a node has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipEffect {
    /// Open a link.
    Connect {
        /// Node.
        peer: NodeId,
        /// Its address.
        address: SocketAddr,
        /// Whether the link crosses regions.
        crosses_regions: bool,
    },
    /// Close a link that was opened here.
    Disconnect(NodeId),
    /// Ask a partner for an answer.
    Probe(NodeId),
    /// Tell every node.
    Publish(Item),
    /// The members or their states are not what they were.
    Changed,
}

#[derive(Clone, Debug)]
struct Member {
    listed: ListedNode,
    record: Option<(ItemVersion, NodeRecord)>,
    liveness: MemberLiveness,
}

impl Member {
    /// Address as the node itself says, or else the list.
    fn peer_address(&self) -> SocketAddr {
        let said = self.record.as_ref().map(|(_, record)| record.peer_address);
        said.unwrap_or(self.listed.peer_address)
    }
}

#[derive(Clone, Debug)]
struct Neighbour {
    address: SocketAddr,
    next_probe_at: MonoTime,
    missed_probes: u32,
}

/// One other node, for the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView<'membership> {
    /// Where it is.
    pub location: &'membership MemberLocation,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Whether it answers and stays.
    pub live: bool,
}

/// Membership as one node sees it.
#[derive(Clone, Debug)]
pub struct Membership {
    own: MemberLocation,
    own_version: ItemVersion,
    own_record: NodeRecord,
    members: BTreeMap<NodeId, Member>,
    neighbours: BTreeMap<NodeId, Neighbour>,
    /// Records of nodes that are not listed yet.
    unlisted: BTreeMap<NodeId, (ItemVersion, NodeRecord)>,
}

impl Membership {
    /// Membership of a node that knows no other; the item tells of it.
    pub fn new(own: NodeId, version: ItemVersion, record: NodeRecord) -> (Self, Item) {
        let membership = Self {
            own: MemberLocation {
                node: own,
                failure_domain: record.failure_domain.clone(),
                region: record.region.clone(),
            },
            own_version: version,
            own_record: record,
            members: BTreeMap::new(),
            neighbours: BTreeMap::new(),
            unlisted: BTreeMap::new(),
        };
        let item = membership.own_item();
        (membership, item)
    }

    /// Where this node is.
    pub fn own(&self) -> &MemberLocation {
        &self.own
    }

    /// Every other listed node.
    pub fn members(&self) -> impl Iterator<Item = MemberView<'_>> {
        self.members.values().map(|member| MemberView {
            location: &member.listed.location,
            peer_address: member.peer_address(),
            caller_address: member
                .record
                .as_ref()
                .map_or(member.listed.caller_address, |(_, record)| {
                    record.caller_address
                }),
            live: member.liveness.state() == MemberState::Alive && !member.listed.leaving,
        })
    }

    /// This node and the others that answer and stay.
    pub fn live_locations(&self) -> impl Iterator<Item = &MemberLocation> {
        let others = self.members().filter(|member| member.live);
        std::iter::once(&self.own).chain(others.map(|member| member.location))
    }

    /// State of another node.
    pub fn state(&self, node: &NodeId) -> Option<MemberState> {
        self.members.get(node).map(|member| member.liveness.state())
    }

    /// Time at which [`Membership::expire`] has to be called.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        let suspicions = self
            .members
            .values()
            .filter_map(|member| member.liveness.next_deadline());
        let probes = self
            .neighbours
            .values()
            .map(|neighbour| neighbour.next_probe_at);
        suspicions.chain(probes).min()
    }

    /// Handles an input.
    pub fn handle(&mut self, now: MonoTime, input: MembershipInput) -> Vec<MembershipEffect> {
        match input {
            MembershipInput::Listed(nodes) => self.apply_list(now, nodes),
            MembershipInput::Learned {
                node,
                version,
                record,
            } if node == self.own.node => self.refute(version, record.status),
            MembershipInput::Learned {
                node,
                version,
                record,
            } => self.apply_record(now, &node, version, record),
            MembershipInput::Answered(peer) => {
                if let Some(neighbour) = self.neighbours.get_mut(&peer) {
                    neighbour.missed_probes = 0;
                }
                Vec::new()
            }
            MembershipInput::LinkLost(peer) => {
                if let Some(neighbour) = self.neighbours.get_mut(&peer) {
                    neighbour.missed_probes =
                        neighbour.missed_probes.max(SUSPECT_AFTER_MISSED_PROBES);
                    neighbour.next_probe_at =
                        neighbour.next_probe_at.min(now + RECONNECT_TIMEOUT_MS);
                }
                Vec::new()
            }
            MembershipInput::Leave => {
                self.own_record.status = NodeStatus::Leaving;
                self.own_version = self.own_version.next();
                vec![MembershipEffect::Publish(self.own_item())]
            }
        }
    }

    /// Handles deadlines that have passed.
    pub fn expire(&mut self, now: MonoTime) -> Vec<MembershipEffect> {
        let mut effects = Vec::new();
        for member in self.members.values_mut() {
            if let Some(status) = member.liveness.expire(now) {
                effects.push(announce(member, status));
                effects.push(MembershipEffect::Changed);
            }
        }
        self.probe_neighbours(now, &mut effects);
        if !effects.is_empty() {
            self.update_neighbours(now, &mut effects);
        }
        effects
    }

    fn own_item(&self) -> Item {
        Item {
            key: ItemKey::Node(self.own.node.clone()),
            version: self.own_version,
            value: ItemValue::Node(self.own_record.clone()),
        }
    }

    /// Says with a higher version what holds, if another node says otherwise.
    fn refute(&mut self, version: ItemVersion, status: NodeStatus) -> Vec<MembershipEffect> {
        if version < self.own_version || status == self.own_record.status {
            return Vec::new();
        }
        self.own_version = version.max(self.own_version).next();
        vec![MembershipEffect::Publish(self.own_item())]
    }

    fn apply_list(&mut self, now: MonoTime, nodes: Vec<ListedNode>) -> Vec<MembershipEffect> {
        let others = nodes
            .into_iter()
            .filter(|listed| listed.location.node != self.own.node);
        let mut before = std::mem::take(&mut self.members);
        let mut records = Vec::new();
        for listed in others {
            let node = listed.location.node.clone();
            let member = match before.remove(&node) {
                Some(known) => Member { listed, ..known },
                None => {
                    let record = self.unlisted.remove(&node);
                    records.extend(record.map(|record| (node.clone(), record)));
                    Member {
                        listed,
                        record: None,
                        liveness: MemberLiveness::new(now),
                    }
                }
            };
            self.members.insert(node, member);
        }
        for (node, member) in before {
            self.unlisted
                .extend(member.record.map(|record| (node, record)));
        }
        let mut effects = vec![MembershipEffect::Changed];
        for (node, (version, record)) in records {
            effects.extend(self.apply_record(now, &node, version, record));
        }
        self.update_neighbours(now, &mut effects);
        effects
    }

    fn apply_record(
        &mut self,
        now: MonoTime,
        node: &NodeId,
        version: ItemVersion,
        record: NodeRecord,
    ) -> Vec<MembershipEffect> {
        let Some(member) = self.members.get_mut(node) else {
            self.unlisted.insert(node.clone(), (version, record));
            return Vec::new();
        };
        let event = match record.status {
            NodeStatus::Alive => MemberEvent::Refuted,
            NodeStatus::Suspect => MemberEvent::Suspected,
            NodeStatus::Dead => MemberEvent::DeclaredDead,
            NodeStatus::Leaving => MemberEvent::Left,
        };
        member.record = Some((version, record));
        let said = member.liveness.handle(now, event);
        let mut effects = vec![MembershipEffect::Changed];
        effects.extend(said.map(|status| announce(member, status)));
        self.update_neighbours(now, &mut effects);
        effects
    }

    fn probe_neighbours(&mut self, now: MonoTime, effects: &mut Vec<MembershipEffect>) {
        for (peer, neighbour) in &mut self.neighbours {
            if neighbour.next_probe_at > now {
                continue;
            }
            // A node that stood still itself has no reason to suspect others.
            if now.since(neighbour.next_probe_at) > PROBE_INTERVAL_MS.micros() {
                neighbour.missed_probes = 0;
            }
            neighbour.next_probe_at = now + PROBE_INTERVAL_MS;
            neighbour.missed_probes += 1;
            if neighbour.missed_probes > SUSPECT_AFTER_MISSED_PROBES {
                let member = self.members.get_mut(peer);
                effects.extend(member.and_then(|member| {
                    let status = member.liveness.handle(now, MemberEvent::Unanswered)?;
                    Some(announce(member, status))
                }));
                effects.push(MembershipEffect::Changed);
            }
            effects.push(MembershipEffect::Probe(peer.clone()));
        }
    }

    /// Opens and closes links, so that they are those that the members ask for.
    fn update_neighbours(&mut self, now: MonoTime, effects: &mut Vec<MembershipEffect>) {
        // Suspects keep their links, on which they can refute the suspicion.
        let candidates: Vec<MemberLocation> = self
            .members
            .values()
            .filter(|member| !member.listed.leaving)
            .filter(|member| {
                matches!(
                    member.liveness.state(),
                    MemberState::Alive | MemberState::Suspect
                )
            })
            .map(|member| member.listed.location.clone())
            .collect();
        let wanted: BTreeMap<NodeId, SocketAddr> = overlay_neighbours(&self.own, &candidates)
            .into_iter()
            .filter_map(|node| {
                let address = self.members.get(&node)?.peer_address();
                Some((node, address))
            })
            .collect();
        self.neighbours.retain(|peer, neighbour| {
            let kept = wanted.get(peer) == Some(&neighbour.address);
            if !kept {
                effects.push(MembershipEffect::Disconnect(peer.clone()));
            }
            kept
        });
        for (peer, address) in wanted {
            if self.neighbours.contains_key(&peer) {
                continue;
            }
            let crosses_regions = self
                .members
                .get(&peer)
                .is_some_and(|member| member.listed.location.region != self.own.region);
            let neighbour = Neighbour {
                address,
                next_probe_at: now + PROBE_INTERVAL_MS,
                missed_probes: 0,
            };
            self.neighbours.insert(peer.clone(), neighbour);
            effects.push(MembershipEffect::Connect {
                peer,
                address,
                crosses_regions,
            });
        }
    }
}

/// Tells every node of a state, under the version that the node itself said last.
fn announce(member: &mut Member, status: NodeStatus) -> MembershipEffect {
    let listed = &member.listed;
    let (version, record) = member.record.get_or_insert_with(|| {
        let record = NodeRecord {
            status,
            peer_address: listed.peer_address,
            caller_address: listed.caller_address,
            failure_domain: listed.location.failure_domain.clone(),
            region: listed.location.region.clone(),
        };
        (ItemVersion::default(), record)
    });
    record.status = status;
    MembershipEffect::Publish(Item {
        key: ItemKey::Node(listed.location.node.clone()),
        version: *version,
        value: ItemValue::Node(record.clone()),
    })
}
