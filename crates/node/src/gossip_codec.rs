//! Conversion between gossip messages and their wire format.
//!
//! Decoding skips items that it can't parse, because a node of a newer version
//! may send kinds that this version does not know.

use std::sync::Arc;

use parsleylatch_decide::gossip::{
    EndpointSummary, GossipMessage, Item, ItemKey, ItemValue, ItemVersion, NodeRecord, NodeStatus,
    ObservationId, ObservedCondition,
};
use parsleylatch_types::{Incarnation, RequestCount, Revision};
use parsleylatch_wire::gossip::{
    Digest, EndpointItems, EvidenceItem, EvidenceKey, Gossip, ItemKey as WireKey, Items, NodeItem,
    TemplateItem, Version, Versions, VmItem, Wants, gossip::Kind, item_key::Kind as KeyKind,
};

/// Width of the condition in a packed summary.
const CONDITION_BITS: u32 = 2;
/// Width of the load in a packed summary.
const LOAD_BITS: u32 = 5;
/// Width of the number of waiting streams in a packed summary.
const WAITING_BITS: u32 = 7;

/// Encodes a message for the wire.
pub fn encode(message: GossipMessage) -> Gossip {
    let kind = match message {
        GossipMessage::Items(items) => Kind::Items(encode_items(items)),
        GossipMessage::Digest(buckets) => Kind::Digest(Digest { buckets }),
        GossipMessage::Versions { digest, versions } => Kind::Versions(Versions {
            digest: Some(Digest { buckets: digest }),
            versions: versions.into_iter().map(encode_version).collect(),
        }),
        GossipMessage::Want(keys) => Kind::Wants(Wants {
            keys: keys.iter().map(encode_key).collect(),
        }),
    };
    Gossip { kind: Some(kind) }
}

/// Decodes a message from the wire; returns `None` for probes and empty messages.
pub fn decode(message: Gossip) -> Option<GossipMessage> {
    Some(match message.kind? {
        Kind::Items(items) => GossipMessage::Items(decode_items(items)),
        Kind::Digest(digest) => GossipMessage::Digest(digest.buckets),
        Kind::Versions(versions) => GossipMessage::Versions {
            digest: versions.digest.unwrap_or_default().buckets,
            versions: versions
                .versions
                .into_iter()
                .filter_map(decode_version)
                .collect(),
        },
        Kind::Wants(wants) => {
            GossipMessage::Want(wants.keys.into_iter().filter_map(decode_key).collect())
        }
        Kind::Probe(_) | Kind::ProbeReply(_) => return None,
    })
}

fn encode_items(items: Vec<Item>) -> Items {
    let mut encoded = Items::default();
    for item in items {
        let version = item.version;
        match (item.key, item.value) {
            (ItemKey::Endpoint(id), ItemValue::Endpoint(summary)) => {
                let endpoints = encoded.endpoints.get_or_insert_default();
                push_endpoint(endpoints, id, version, &summary);
            }
            (ItemKey::Node(id), ItemValue::Node(record)) => {
                encoded
                    .nodes
                    .push(encode_node(id.to_string(), version, &record));
            }
            (ItemKey::Template(id), ItemValue::Template(text)) => {
                encoded.templates.push(TemplateItem {
                    workspace: id.to_string(),
                    revision: version.counter,
                    text: text.to_string(),
                });
            }
            (ItemKey::Vm(id), ItemValue::Vm(text)) => encoded.vms.push(VmItem {
                id: id.to_string(),
                read_at_unix_ms: version.counter,
                text: text.as_deref().map(str::to_owned),
            }),
            (ItemKey::Evidence { origin, move_id }, ItemValue::Evidence(content)) => {
                encoded.evidence.push(EvidenceItem {
                    origin: origin.to_string(),
                    move_id: move_id.to_string(),
                    incarnation: version.incarnation.get(),
                    counter: version.counter,
                    content: content.to_vec(),
                });
            }
            // Keys and values are always constructed with the same kind.
            _ => {}
        }
    }
    encoded
}

fn push_endpoint(
    endpoints: &mut EndpointItems,
    id: ObservationId,
    version: ItemVersion,
    summary: &EndpointSummary,
) {
    let incarnation = version.incarnation.get();
    if endpoints.observations.is_empty() {
        endpoints.first_incarnation = incarnation;
    }
    let delta = incarnation.wrapping_sub(endpoints.first_incarnation) as i64;
    endpoints.observations.push(id.to_bits());
    endpoints.incarnation_deltas.push(delta);
    endpoints.counters.push(version.counter);
    endpoints.summaries.push(pack_summary(summary));
}

fn pack_summary(summary: &EndpointSummary) -> u64 {
    let mut packed = summary.capacity.get();
    packed = packed << WAITING_BITS | u64::from(summary.waiting_bits);
    packed = packed << LOAD_BITS | u64::from(summary.load_sixteenths);
    packed << CONDITION_BITS | summary.condition as u64
}

fn unpack_summary(packed: u64) -> Option<EndpointSummary> {
    let low_bits = |value: u64, bits: u32| (value & ((1 << bits) - 1)) as u8;
    let load = packed >> CONDITION_BITS;
    let waiting = load >> LOAD_BITS;
    Some(EndpointSummary {
        condition: ObservedCondition::from_repr(low_bits(packed, CONDITION_BITS))?,
        load_sixteenths: low_bits(load, LOAD_BITS),
        waiting_bits: low_bits(waiting, WAITING_BITS),
        capacity: RequestCount::new(waiting >> WAITING_BITS),
    })
}

fn encode_node(node_id: String, version: ItemVersion, record: &NodeRecord) -> NodeItem {
    NodeItem {
        node_id,
        incarnation: version.incarnation.get(),
        counter: version.counter,
        status: record.status as u32,
        peer_address: record.peer_address.to_string(),
        caller_address: record.caller_address.to_string(),
        failure_domain: record.failure_domain.to_string(),
        region: record.region.to_string(),
    }
}

fn decode_items(items: Items) -> Vec<Item> {
    let endpoints = items.endpoints.map(decode_endpoints).unwrap_or_default();
    let nodes = items.nodes.into_iter().filter_map(decode_node);
    let templates = items.templates.into_iter().filter_map(decode_template);
    let vms = items.vms.into_iter().filter_map(decode_vm);
    let evidence = items.evidence.into_iter().filter_map(decode_evidence);
    endpoints
        .into_iter()
        .chain(nodes)
        .chain(templates)
        .chain(vms)
        .chain(evidence)
        .collect()
}

fn decode_endpoints(endpoints: EndpointItems) -> Vec<Item> {
    let first = endpoints.first_incarnation;
    let versions = endpoints
        .incarnation_deltas
        .into_iter()
        .zip(endpoints.counters);
    let versions = versions.map(|(delta, counter)| ItemVersion {
        incarnation: Incarnation::new(first.wrapping_add(delta as u64)),
        counter,
    });
    let columns = endpoints
        .observations
        .into_iter()
        .zip(versions)
        .zip(endpoints.summaries);
    let items = columns.filter_map(|((id, version), packed)| {
        Some(Item {
            key: ItemKey::Endpoint(ObservationId::from_bits(id)),
            version,
            value: ItemValue::Endpoint(unpack_summary(packed)?),
        })
    });
    items.collect()
}

fn decode_node(item: NodeItem) -> Option<Item> {
    let record = NodeRecord {
        status: NodeStatus::from_repr(u8::try_from(item.status).ok()?)?,
        peer_address: item.peer_address.parse().ok()?,
        caller_address: item.caller_address.parse().ok()?,
        failure_domain: item.failure_domain.parse().ok()?,
        region: item.region.parse().ok()?,
    };
    Some(Item {
        key: ItemKey::Node(item.node_id.parse().ok()?),
        version: ItemVersion {
            incarnation: Incarnation::new(item.incarnation),
            counter: item.counter,
        },
        value: ItemValue::Node(record),
    })
}

fn decode_template(item: TemplateItem) -> Option<Item> {
    Some(Item {
        key: ItemKey::Template(item.workspace.parse().ok()?),
        version: ItemVersion::of_revision(Revision::new(item.revision)),
        value: ItemValue::Template(item.text.into()),
    })
}

fn decode_vm(item: VmItem) -> Option<Item> {
    Some(Item {
        key: ItemKey::Vm(item.id.parse().ok()?),
        version: ItemVersion {
            incarnation: Incarnation::ZERO,
            counter: item.read_at_unix_ms,
        },
        value: ItemValue::Vm(item.text.map(Arc::from)),
    })
}

fn decode_evidence(item: EvidenceItem) -> Option<Item> {
    Some(Item {
        key: ItemKey::Evidence {
            origin: item.origin.parse().ok()?,
            move_id: item.move_id.parse().ok()?,
        },
        version: ItemVersion {
            incarnation: Incarnation::new(item.incarnation),
            counter: item.counter,
        },
        value: ItemValue::Evidence(item.content.into()),
    })
}

fn encode_key(key: &ItemKey) -> WireKey {
    let kind = match key {
        ItemKey::Node(id) => KeyKind::Node(id.to_string()),
        ItemKey::Endpoint(id) => KeyKind::Observation(id.to_bits()),
        ItemKey::Template(id) => KeyKind::Template(id.to_string()),
        ItemKey::Vm(id) => KeyKind::Vm(id.to_string()),
        ItemKey::Evidence { origin, move_id } => KeyKind::Evidence(EvidenceKey {
            origin: origin.to_string(),
            move_id: move_id.to_string(),
        }),
    };
    WireKey { kind: Some(kind) }
}

fn decode_key(key: WireKey) -> Option<ItemKey> {
    Some(match key.kind? {
        KeyKind::Node(id) => ItemKey::Node(id.parse().ok()?),
        KeyKind::Observation(bits) => ItemKey::Endpoint(ObservationId::from_bits(bits)),
        KeyKind::Template(id) => ItemKey::Template(id.parse().ok()?),
        KeyKind::Vm(id) => ItemKey::Vm(id.parse().ok()?),
        KeyKind::Evidence(key) => ItemKey::Evidence {
            origin: key.origin.parse().ok()?,
            move_id: key.move_id.parse().ok()?,
        },
    })
}

fn encode_version((key, version): (ItemKey, ItemVersion)) -> Version {
    Version {
        key: Some(encode_key(&key)),
        incarnation: version.incarnation.get(),
        counter: version.counter,
    }
}

fn decode_version(version: Version) -> Option<(ItemKey, ItemVersion)> {
    let key = decode_key(version.key?)?;
    let version = ItemVersion {
        incarnation: Incarnation::new(version.incarnation),
        counter: version.counter,
    };
    Some((key, version))
}
