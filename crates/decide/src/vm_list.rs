//! Polling of the platform's VM list, shared between the nodes.
//!
//! The list is large, so each node polls it at a long interval and gossips the
//! changes to the others. Together, the nodes of a region read it about as often as
//! a single node could on its own.

use std::{collections::BTreeMap, sync::Arc};

use parsleylatch_types::{ByteCount, BytesPerSecond, EndpointId, Micros, Millis, UnixMillis};

use crate::gossip::{Item, ItemKey, ItemMap, ItemValue, ItemVersion};

/// Time between two reads of the list in a region, by whichever node.
const REGION_READ_INTERVAL_MS: Millis = Millis::new(500);
/// Average rate at which a node may read the list.
const READ_RATE: BytesPerSecond = BytesPerSecond::new(1_500);
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Time between two reads by one node, given the size of the list and the number of
/// live nodes in its region.
pub fn read_interval(list: ByteCount, live_in_region: usize) -> Micros {
    let shared = REGION_READ_INTERVAL_MS
        .micros()
        .saturating_mul(live_in_region.max(1) as u64);
    let rate_limited = list.get().saturating_mul(MICROS_PER_SECOND) / READ_RATE.get();
    shared.max(Micros::new(rate_limited))
}

/// Changes that a read of the list makes to the known items. Items from later reads
/// are not replaced.
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
