//! Members that leave, die, refute and come back; the links between them.

use std::collections::{BTreeMap, BTreeSet};

use parsleylatch_decide::{
    gossip::{Item, ItemKey, ItemValue, ItemVersion, NodeRecord, NodeStatus},
    membership::{
        ListedNode, MemberLocation, MemberState, Membership, MembershipEffect, MembershipInput,
        overlay_neighbours, rendezvous_nodes,
    },
};
use parsleylatch_types::{Incarnation, Millis, MonoTime, NodeId};
use test_case::test_case;

fn id(node: usize) -> NodeId {
    format!("n{node}").parse().unwrap()
}

fn location(node: usize, domains: usize, far_from: usize) -> MemberLocation {
    let domain = node % domains;
    let region = if domain < far_from { "near" } else { "far" };
    MemberLocation {
        node: id(node),
        failure_domain: format!("d{domain}").parse().unwrap(),
        region: region.parse().unwrap(),
    }
}

fn record(node: usize, status: NodeStatus) -> NodeRecord {
    let location = location(node, 3, 2);
    NodeRecord {
        status,
        peer_address: ([127, 0, 0, 1], 1_000 + node as u16).into(),
        caller_address: ([127, 0, 0, 1], 2_000 + node as u16).into(),
        failure_domain: location.failure_domain,
        region: location.region,
    }
}

fn version(incarnation: u64, counter: u64) -> ItemVersion {
    ItemVersion {
        incarnation: Incarnation::new(incarnation),
        counter,
    }
}

fn listed(node: usize) -> ListedNode {
    ListedNode {
        location: location(node, 3, 2),
        peer_address: ([127, 0, 0, 1], 1_000 + node as u16).into(),
        caller_address: ([127, 0, 0, 1], 2_000 + node as u16).into(),
        leaving: false,
    }
}

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(millis)
}

fn membership(nodes: usize) -> Membership {
    let (mut membership, _) = Membership::new(id(0), version(5, 0), record(0, NodeStatus::Alive));
    let list = (0..nodes).map(listed).collect();
    membership.handle(at(0), MembershipInput::Listed(list));
    membership
}

fn learn(
    membership: &mut Membership,
    now: MonoTime,
    node: usize,
    learned: (ItemVersion, NodeStatus),
) {
    let input = MembershipInput::Learned {
        node: id(node),
        version: learned.0,
        record: record(node, learned.1),
    };
    membership.handle(now, input);
}

fn published(effects: &[MembershipEffect]) -> Vec<(NodeId, ItemVersion, NodeStatus)> {
    let items = effects.iter().filter_map(|effect| match effect {
        MembershipEffect::Publish(Item {
            key: ItemKey::Node(node),
            version,
            value: ItemValue::Node(record),
        }) => Some((node.clone(), *version, record.status)),
        _ => None,
    });
    items.collect()
}

/// Runs the membership to a time; partners that `answers` names answer.
fn run(
    membership: &mut Membership,
    until: MonoTime,
    answers: impl Fn(&NodeId) -> bool,
) -> Vec<MembershipEffect> {
    let mut all = Vec::new();
    while let Some(deadline) = membership.next_deadline().filter(|at| *at <= until) {
        let effects = membership.expire(deadline);
        for effect in &effects {
            if let MembershipEffect::Probe(peer) = effect
                && answers(peer)
            {
                membership.handle(deadline, MembershipInput::Answered(peer.clone()));
            }
        }
        all.extend(effects);
    }
    all
}

#[test]
fn probe_all_answer() {
    let mut membership = membership(6);
    let effects = run(&mut membership, at(60_000), |_| true);
    assert!(published(&effects).is_empty());
    assert!(membership.members().all(|member| member.live));
}

#[test]
fn probe_no_answer() {
    let mut membership = membership(2);
    let effects = run(&mut membership, at(4_000), |_| false);
    let suspicion = published(&effects);
    assert_eq!(suspicion.len(), 1);
    assert_eq!(suspicion[0].2, NodeStatus::Suspect);
    assert_eq!(membership.state(&id(1)), Some(MemberState::Suspect));
    let effects = run(&mut membership, at(8_000), |_| false);
    assert_eq!(published(&effects)[0].2, NodeStatus::Dead);
    assert_eq!(membership.state(&id(1)), Some(MemberState::Dead));
}

#[test]
fn probe_own_process_paused() {
    let mut membership = membership(2);
    for round in 1..10 {
        // Each round this node wakes ten seconds late and finds no answer.
        let effects = membership.expire(at(11_000 * round));
        assert!(published(&effects).is_empty());
    }
}

#[test]
fn probe_link_lost() {
    let mut membership = membership(2);
    membership.handle(at(1_500), MembershipInput::LinkLost(id(1)));
    run(&mut membership, at(1_900), |_| false);
    assert_eq!(membership.state(&id(1)), Some(MemberState::Suspect));
}

#[test]
fn learned_own_suspicion() {
    let mut membership = membership(3);
    let input = MembershipInput::Learned {
        node: id(0),
        version: version(5, 0),
        record: record(0, NodeStatus::Suspect),
    };
    let effects = membership.handle(at(10), input);
    assert_eq!(
        published(&effects),
        [(id(0), version(5, 1), NodeStatus::Alive)]
    );
}

#[test]
fn learned_own_earlier_incarnation() {
    let mut membership = membership(3);
    // The clock of the VM went back between the two starts.
    let input = MembershipInput::Learned {
        node: id(0),
        version: version(9, 3),
        record: record(0, NodeStatus::Dead),
    };
    let effects = membership.handle(at(10), input);
    assert_eq!(
        published(&effects),
        [(id(0), version(9, 4), NodeStatus::Alive)]
    );
}

#[test]
fn learned_refutation() {
    let mut membership = membership(3);
    learn(
        &mut membership,
        at(10),
        1,
        (version(2, 0), NodeStatus::Suspect),
    );
    assert_eq!(membership.state(&id(1)), Some(MemberState::Suspect));
    learn(
        &mut membership,
        at(20),
        1,
        (version(2, 1), NodeStatus::Alive),
    );
    assert_eq!(membership.state(&id(1)), Some(MemberState::Alive));
}

#[test]
fn learned_leaving() {
    let mut membership = membership(3);
    learn(
        &mut membership,
        at(10),
        1,
        (version(2, 1), NodeStatus::Leaving),
    );
    let left = membership
        .members()
        .find(|member| member.location.node == id(1));
    assert!(!left.unwrap().live);
    learn(
        &mut membership,
        at(20),
        1,
        (version(3, 0), NodeStatus::Alive),
    );
    let back = membership
        .members()
        .find(|member| member.location.node == id(1));
    assert!(back.unwrap().live, "a new process of the node takes work");
}

#[test]
fn leave_not_refuted() {
    let mut membership = membership(3);
    let effects = membership.handle(at(10), MembershipInput::Leave);
    assert_eq!(
        published(&effects),
        [(id(0), version(5, 1), NodeStatus::Leaving)]
    );
    let input = MembershipInput::Learned {
        node: id(0),
        version: version(5, 0),
        record: record(0, NodeStatus::Suspect),
    };
    assert!(membership.handle(at(20), input).is_empty());
}

#[test_case(9, 3, 2 ; "size of today")]
#[test_case(350, 7, 4 ; "target size")]
fn overlay_neighbours_join_all(count: usize, domains: usize, far_from: usize) {
    let locations: Vec<MemberLocation> = (0..count)
        .map(|node| location(node, domains, far_from))
        .collect();
    let mut links: BTreeMap<&NodeId, BTreeSet<NodeId>> = BTreeMap::new();
    let mut across = 0;
    for own in &locations {
        let others: Vec<MemberLocation> = locations
            .iter()
            .filter(|other| *other != own)
            .cloned()
            .collect();
        let chosen = overlay_neighbours(own, &others);
        assert!(chosen.len() <= 3, "{own:?} opens {} links", chosen.len());
        for neighbour in chosen {
            let neighbour = locations
                .iter()
                .find(|location| location.node == neighbour)
                .unwrap();
            across += usize::from(neighbour.region != own.region);
            links
                .entry(&own.node)
                .or_default()
                .insert(neighbour.node.clone());
            links
                .entry(&neighbour.node)
                .or_default()
                .insert(own.node.clone());
        }
    }
    assert_eq!(
        across, domains,
        "one link of each failure domain crosses regions"
    );
    let reach = distances(&links, &locations[0].node);
    assert_eq!(reach.len(), count, "every node is reached");
    let longest = reach.values().max().unwrap();
    // A link adds the delay of urgent items, 10 ms, and the way itself.
    assert!(*longest <= 12, "the longest way has {longest} links");
}

fn distances<'links>(
    links: &'links BTreeMap<&NodeId, BTreeSet<NodeId>>,
    from: &'links NodeId,
) -> BTreeMap<&'links NodeId, usize> {
    let mut reached = BTreeMap::from([(from, 0)]);
    let mut queue = std::collections::VecDeque::from([from]);
    while let Some(node) = queue.pop_front() {
        let distance = reached[node] + 1;
        for next in &links[node] {
            if !reached.contains_key(next) {
                reached.insert(next, distance);
                queue.push_back(next);
            }
        }
    }
    reached
}

#[test]
fn rendezvous_nodes_different_domains() {
    let locations: Vec<MemberLocation> = (0..20).map(|node| location(node, 4, 4)).collect();
    for duty in 0..50 {
        let holders = rendezvous_nodes(&format!("e{duty}"), locations.iter(), 3);
        let domains: BTreeSet<_> = holders
            .iter()
            .map(|location| &location.failure_domain)
            .collect();
        assert_eq!((holders.len(), domains.len()), (3, 3));
    }
}
