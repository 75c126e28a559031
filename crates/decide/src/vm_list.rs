//! Reading of the platform's list of VMs, shared between the nodes.
//!
//! The list is long, so each node reads it seldom, and tells the others what
//! changed. Together the nodes of a region read it about as often as one node
//! alone could.

use std::{collections::BTreeMap, sync::Arc};

use parsleylatch_types::{ByteCount, BytesPerSecond, EndpointId, Micros, Millis, UnixMillis};

use crate::gossip::{Item, ItemKey, ItemMap, ItemValue, ItemVersion};

/// Time between two reads by all the nodes of a region together.
const REGION_READ_INTERVAL_MS: Millis = Millis::new(500);
/// Bytes of the list that a node may read, on average.
const READ_RATE: BytesPerSecond = BytesPerSecond::new(1_500);
/// Microseconds in a second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Time between two reads by one node.
pub fn read_interval(list: ByteCount, live_in_region: usize) -> Micros {
    let shared = REGION_READ_INTERVAL_MS
        .micros()
        .times(live_in_region.max(1) as u64);
    let rate_limited = list.get().saturating_mul(MICROS_PER_SECOND) / READ_RATE.get();
    shared.max(Micros::new(rate_limited))
}

/// What a read of the list changes; entries that were read later stay.
pub fn changes(
    known: &ItemMap,
    listed: &BTreeMap<EndpointId, Arc<str>>,
    read_at: UnixMillis,
) -> Vec<Item> {
    let version = ItemVersion {
        counter: read_at.get(),
        ..ItemVersion::default()
    };
    let entries = listed
        .iter()
        .map(|(id, text)| (id.clone(), Some(Arc::clone(text))));
    let removed = known
        .items()
        .filter_map(|item| match (&item.key, &item.value) {
            (ItemKey::Vm(id), ItemValue::Vm(Some(_))) if !listed.contains_key(id) => {
                Some((id.clone(), None))
            }
            _ => None,
        });
    let items = entries.chain(removed).map(|(id, text)| Item {
        key: ItemKey::Vm(id),
        version,
        value: ItemValue::Vm(text),
    });
    items.filter(|item| is_change(known, item)).collect()
}

fn is_change(known: &ItemMap, item: &Item) -> bool {
    let known = known.get(&item.key);
    known.is_none_or(|known| known.value != item.value && known.version < item.version)
}
