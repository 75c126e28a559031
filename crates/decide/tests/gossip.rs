//! Merging of items, and gossip over links that break.

use std::collections::BTreeMap;

use parsleylatch_decide::gossip::{
    Gossip, GossipEffect, GossipInput, GossipMessage, GossipSettings, Item, ItemKey, ItemMap,
    ItemValue, ItemVersion, Merged,
};
use parsleylatch_types::{Incarnation, Millis, MonoTime, NodeId, Revision};
use proptest::prelude::*;

fn template(workspace: u8, revision: u64, text: &str) -> Item {
    Item {
        key: ItemKey::Template(format!("w{workspace}").parse().unwrap()),
        version: ItemVersion::of_revision(Revision::new(revision)),
        value: ItemValue::Template(text.into()),
    }
}

fn evidence(origin: u8, incarnation: u64, counter: u64) -> Item {
    Item {
        key: ItemKey::Evidence {
            origin: format!("n{origin}").parse().unwrap(),
            move_id: "m".parse().unwrap(),
        },
        version: ItemVersion {
            incarnation: Incarnation::new(incarnation),
            counter,
        },
        value: ItemValue::Evidence(vec![counter as u8].into()),
    }
}

fn any_item() -> impl Strategy<Value = Item> {
    prop_oneof![
        (0..3_u8, 0..5_u64, "[ab]")
            .prop_map(|(key, revision, text)| template(key, revision, &text)),
        (0..3_u8, 0..3_u64, 0..4_u64).prop_map(|(key, start, count)| evidence(key, start, count)),
    ]
}

fn merged(items: &[Item]) -> Vec<Item> {
    let mut map = ItemMap::new();
    for item in items {
        map.merge(item.clone());
    }
    map.items().cloned().collect()
}

proptest! {
    #[test]
    fn merge_any_order(items in prop::collection::vec(any_item(), 0..30), seed in any::<u64>()) {
        let mut shuffled = items.clone();
        let length = shuffled.len().max(1);
        for index in 0..shuffled.len() {
            let other = (seed.wrapping_mul(index as u64 + 1) >> 7) as usize % length;
            shuffled.swap(index, other);
        }
        prop_assert_eq!(merged(&items), merged(&shuffled));
    }

    #[test]
    fn merge_any_grouping(
        left in prop::collection::vec(any_item(), 0..10),
        middle in prop::collection::vec(any_item(), 0..10),
        right in prop::collection::vec(any_item(), 0..10),
    ) {
        let left_first = [merged(&[left.clone(), middle.clone()].concat()), right.clone()].concat();
        let right_first = [left, merged(&[middle, right].concat())].concat();
        prop_assert_eq!(merged(&left_first), merged(&right_first));
    }

    #[test]
    fn merge_twice(items in prop::collection::vec(any_item(), 0..30)) {
        prop_assert_eq!(merged(&items), merged(&[items.clone(), items.clone()].concat()));
    }

    #[test]
    fn merge_never_reverts(items in prop::collection::vec(any_item(), 0..40)) {
        let mut map = ItemMap::new();
        let mut versions = BTreeMap::new();
        for item in items {
            let key = item.key.clone();
            map.merge(item);
            let version = map.get(&key).unwrap().version;
            let before = versions.insert(key, version).unwrap_or_default();
            prop_assert!(version >= before);
        }
    }

    #[test]
    fn digest_same_items(items in prop::collection::vec(any_item(), 0..30)) {
        let mut once = ItemMap::new();
        let mut backwards = ItemMap::new();
        for item in &items {
            once.merge(item.clone());
        }
        for item in items.iter().rev() {
            backwards.merge(item.clone());
        }
        prop_assert_eq!(once.digest(), backwards.digest());
    }

    /// Links come and go at any time; once they stay, every node has the same.
    #[test]
    fn gossip_broken_links(
        published in prop::collection::vec((0..5_usize, any_item()), 1..20),
        faults in prop::collection::vec((0..5_usize, 0..40_u64), 0..12),
    ) {
        let mut network = Network::ring(5);
        for step in 0..40_u64 {
            if let Some((node, item)) = published.get(step as usize) {
                network.publish(*node, item.clone());
            }
            for (node, at) in &faults {
                if *at == step { network.disconnect(*node); }
                if *at + 3 == step { network.connect(*node); }
            }
            network.advance(Millis::new(100));
        }
        for node in 0..5 { network.connect(node); }
        for _ in 0..10 { network.advance(Millis::new(3_000)); }
        let all: Vec<Item> = published.iter().map(|(_, item)| item.clone()).collect();
        for node in &network.nodes {
            prop_assert_eq!(node.items().items().cloned().collect::<Vec<_>>(), merged(&all));
        }
    }
}

#[test]
fn merge_old_template() {
    let mut map = ItemMap::new();
    assert_eq!(map.merge(template(1, 7, "new")), Merged::Newer);
    assert_eq!(map.merge(template(1, 7, "new")), Merged::Same);
    assert_eq!(map.merge(template(1, 6, "old")), Merged::Older);
    assert_eq!(map.items().next(), Some(&template(1, 7, "new")));
}

#[test]
fn gossip_quiet_link() {
    let mut network = Network::ring(5);
    network.publish(0, template(1, 1, "one"));
    for _ in 0..30 {
        network.advance(Millis::new(1_000));
    }
    network.messages.clear();
    for _ in 0..9 {
        network.advance(Millis::new(1_000));
    }
    let mut messages = network.messages.iter();
    assert!(messages.all(|message| matches!(message, GossipMessage::Digest(_))));
}

/// Nodes in a ring; node `n` opens the link to node `n + 1`.
struct Network {
    now: MonoTime,
    nodes: Vec<Gossip>,
    is_disconnected: Vec<bool>,
    messages: Vec<GossipMessage>,
}

impl Network {
    fn ring(count: usize) -> Self {
        let mut network = Self {
            now: MonoTime::ZERO,
            nodes: vec![Gossip::new(GossipSettings::default()); count],
            is_disconnected: vec![true; count],
            messages: Vec::new(),
        };
        for node in 0..count {
            network.connect(node);
        }
        network
    }

    fn id(node: usize) -> NodeId {
        format!("n{node}").parse().unwrap()
    }

    fn index(id: &NodeId) -> usize {
        id.as_str()[1..].parse().unwrap()
    }

    fn next(&self, node: usize) -> usize {
        (node + 1) % self.nodes.len()
    }

    fn connect(&mut self, node: usize) {
        if !std::mem::replace(&mut self.is_disconnected[node], false) {
            return;
        }
        let next = self.next(node);
        for (here, there, opened_here) in [(node, next, true), (next, node, false)] {
            let input = GossipInput::LinkUp {
                peer: Self::id(there),
                opened_here,
                crosses_regions: false,
            };
            self.input(here, input);
        }
    }

    fn disconnect(&mut self, node: usize) {
        self.is_disconnected[node] = true;
        let next = self.next(node);
        self.input(node, GossipInput::LinkDown(Self::id(next)));
        self.input(next, GossipInput::LinkDown(Self::id(node)));
    }

    fn publish(&mut self, node: usize, item: Item) {
        self.input(node, GossipInput::Publish(item));
    }

    fn input(&mut self, node: usize, input: GossipInput) {
        let effects = self.nodes[node].handle(self.now, input);
        self.carry(node, effects);
    }

    fn advance(&mut self, by: Millis) {
        self.now = self.now + by;
        for node in 0..self.nodes.len() {
            let effects = self.nodes[node].expire(self.now);
            self.carry(node, effects);
        }
    }

    fn carry(&mut self, node: usize, effects: Vec<GossipEffect>) {
        for effect in effects {
            let GossipEffect::Send { to, message } = effect else {
                continue;
            };
            let to = Self::index(&to);
            let opener = if self.next(node) == to { node } else { to };
            if self.is_disconnected[opener] {
                continue;
            }
            self.messages.push(message.clone());
            let from = Self::id(node);
            self.input(to, GossipInput::Message { from, message });
        }
    }
}
