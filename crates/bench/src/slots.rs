//! Skew of the distribution of claims over hash slots, with one store value per slot.
//!
//! A slot is computed in two steps: the hash modulo the number of slots, then
//! group and table as quotient and remainder by the number of tables. When the
//! number of groups doubles, a key keeps its table, and its group either stays
//! or grows by the previous number of groups. The skew is the difference between
//! the largest and the smallest slot, divided by the smallest.

use parsleylatch_types::{RequestId, UnixMillis};

use crate::report::Report;

/// Number of ids that are distributed.
const ID_COUNT: u64 = 1_000_000;
/// Tables per group.
const TABLES: u64 = 16;
/// Numbers of slots that are compared.
const SLOT_COUNTS: [u64; 5] = [16, 64, 256, 1_024, 4_096];
const FIRST_ID_TIME: UnixMillis = UnixMillis::new(1_800_000_000_000);
/// Ids generated per millisecond.
const IDS_PER_MILLI: u64 = 4;
/// Odd multiplier that derives the random part of an id from a counter.
const ID_MULTIPLIER: u128 = 0x9e37_79b9_7f4a_7c15_f39c_c060_5ced_c835;

/// Group and table of a hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotPlace {
    /// Group; the number of groups grows by doubling.
    pub group: u64,
    /// Table within the group; constant for a key.
    pub table: u64,
}

/// Places a hash by two-step arithmetic.
pub fn place(hash: u64, groups: u64, tables: u64) -> SlotPlace {
    let slot = hash % (groups * tables);
    SlotPlace {
        group: slot / tables,
        table: slot % tables,
    }
}

/// Places a hash by two independent remainders, which leaves slots empty when
/// the numbers of groups and tables have a common divisor.
fn place_naive(hash: u64, groups: u64, tables: u64) -> SlotPlace {
    SlotPlace {
        group: hash % groups,
        table: hash % tables,
    }
}

/// Returns the difference between the largest and the smallest slot, divided by the
/// smallest; infinite if a slot is empty.
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

/// Function from a hash and the numbers of groups and tables to a slot.
pub type PlaceFn = fn(u64, u64, u64) -> SlotPlace;

fn hashes() -> impl Iterator<Item = u64> {
    (0..ID_COUNT).map(|number| {
        let at = UnixMillis::new(FIRST_ID_TIME.get() + number / IDS_PER_MILLI);
        let random = ID_MULTIPLIER.wrapping_mul(u128::from(number) + 1);
        RequestId::from_parts(at, random).stable_hash()
    })
}

/// Reports the skew at several numbers of slots.
pub(crate) fn measure_skew(report: &mut Report) {
    for slots in SLOT_COUNTS {
        let groups = slots / TABLES;
        let two_steps = skew(hashes(), groups, place) * 100.0;
        report.add_sized("slot_skew", "two steps", slots, two_steps, "%");
        let remainders = skew(hashes(), groups, place_naive) * 100.0;
        report.add("slot_skew_remainders", &slots.to_string(), remainders, "%");
    }
}
