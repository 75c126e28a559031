//! Skew of claims over hash slots, for a store value per slot.
//!
//! Two-step arithmetic: the hash modulo all slots, then group and table by
//! division and remainder of the number of tables. When the groups double, a key
//! keeps its table, and its group stays or grows by the earlier number of
//! groups. The skew is the largest slot less the smallest, over the smallest.

use parsleylatch_types::{RequestId, UnixMillis};

use crate::report::Report;

/// Ids that are spread.
const ID_COUNT: u64 = 1_000_000;
/// Tables of one group.
const TABLES: u64 = 16;
/// Counts of slots that are compared.
const SLOT_COUNTS: [u64; 5] = [16, 64, 256, 1_024, 4_096];
/// Time of the first id.
const FIRST_ID_TIME: UnixMillis = UnixMillis::new(1_800_000_000_000);
/// Ids made in one millisecond.
const IDS_PER_MILLI: u64 = 4;
/// Odd multiplier that makes random parts from a counter.
const ID_MULTIPLIER: u128 = 0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835;

/// Group and table of a hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotPlace {
    /// Group, a number of which doubles at a time.
    pub group: u64,
    /// Table in the group; never changes for a key.
    pub table: u64,
}

/// Place of a hash by two steps.
pub fn place(hash: u64, groups: u64, tables: u64) -> SlotPlace {
    let slot = hash % (groups * tables);
    SlotPlace {
        group: slot / tables,
        table: slot % tables,
    }
}

/// Place by two independent remainders, which leaves slots empty when the
/// numbers have a common divisor.
fn place_naive(hash: u64, groups: u64, tables: u64) -> SlotPlace {
    SlotPlace {
        group: hash % groups,
        table: hash % tables,
    }
}

/// Largest slot less the smallest, over the smallest; infinite with an empty one.
pub fn skew(hashes: impl Iterator<Item = u64>, groups: u64, place_fn: PlaceFn) -> f64 {
    let mut counts = vec![0_u64; (groups * TABLES) as usize];
    for hash in hashes {
        let SlotPlace { group, table } = place_fn(hash, groups, TABLES);
        counts[(group * TABLES + table) as usize] += 1;
    }
    let smallest = counts.iter().min().copied().unwrap_or_default() as f64;
    let largest = counts.iter().max().copied().unwrap_or_default() as f64;
    (largest - smallest) / smallest
}

/// Function that places a hash.
pub type PlaceFn = fn(u64, u64, u64) -> SlotPlace;

fn hashes() -> impl Iterator<Item = u64> {
    (0..ID_COUNT).map(|number| {
        let at = UnixMillis::new(FIRST_ID_TIME.get() + number / IDS_PER_MILLI);
        let random = ID_MULTIPLIER.wrapping_mul(u128::from(number) + 1);
        RequestId::from_parts(at, random).stable_hash()
    })
}

/// Adds the skew at several counts of slots.
pub(crate) fn measure_skew(report: &mut Report) {
    for slots in SLOT_COUNTS {
        let groups = slots / TABLES;
        let two_steps = skew(hashes(), groups, place) * 100.0;
        report.add_sized("slot_skew", "two steps", slots, two_steps, "%");
        let remainders = skew(hashes(), groups, place_naive) * 100.0;
        report.add("slot_skew_remainders", &slots.to_string(), remainders, "%");
    }
}
