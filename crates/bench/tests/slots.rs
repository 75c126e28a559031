//! Arithmetic of hash slots.

use parsleylatch_bench::slots::{SlotPlace, place, skew};

/// Doubling the groups moves whole tables, and no key between tables.
#[test]
fn place_doubled() {
    for hash in (0..100_000_u64).map(|number| number.wrapping_mul(0x9e37_79b9_7f4a_7c15)) {
        let before = place(hash, 10, 100);
        let after = place(hash, 20, 100);
        assert_eq!(after.table, before.table);
        assert!(after.group == before.group || after.group == before.group + 10);
    }
}

#[test]
fn skew_empty_slot() {
    let same: fn(u64, u64, u64) -> SlotPlace = |hash, groups, tables| SlotPlace {
        group: hash % groups,
        table: hash % tables,
    };
    assert!(skew(0..10_000, 4, same).is_infinite());
    assert!(skew(0..64_000, 4, place).abs() < f64::EPSILON);
}
