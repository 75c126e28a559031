//! Division of a process's memory.
//! The seed of the property is that of `.cargo/config.toml`.

use parsleylatch_decide::relay::MemoryPlan;
use parsleylatch_types::ByteCount;
use proptest::prelude::*;
use test_case::test_case;

const MIB: u64 = 1 << 20;
const USUAL_HEAD: ByteCount = ByteCount::new(16 << 10);
/// Connections at once that a small machine has to accept.
const SMALL_MACHINE_CONNECTIONS: usize = 1_200;

/// Bytes of all parts of a plan at their limits.
fn planned_bytes(plan: &MemoryPlan, head: ByteCount) -> u128 {
    let connection = MemoryPlan::connection_size(head).get();
    let connections = plan.connection_limit(head) as u128 * u128::from(connection);
    connections + u128::from(plan.bodies.get())
}

proptest! {
    /// The parts leave a tenth of the memory, and are not empty, for any limit on heads.
    #[test]
    fn plan_parts_within_limit(bytes in 32 * MIB..=u64::MAX, head in 0..=u64::MAX) {
        let plan = MemoryPlan::new(ByteCount::new(bytes));
        let planned = planned_bytes(&plan, ByteCount::new(head));
        prop_assert!(planned <= u128::from(bytes / 10 * 9), "{planned} of {bytes}");
        prop_assert!(plan.bodies.get() > 0);
        prop_assert!(plan.connection_limit(ByteCount::new(head)) > 0);
    }
}

#[test]
fn plan_small_machine() {
    let plan = MemoryPlan::new(ByteCount::new(160 * MIB));
    let connections = plan.connection_limit(USUAL_HEAD);
    assert!(connections >= SMALL_MACHINE_CONNECTIONS, "{connections}");
    let usual_bodies = plan.bodies.get() / 55_000;
    assert!(usual_bodies >= 1_000, "{usual_bodies}");
}

/// A limit on heads beyond what one connection may hold is lowered.
#[test_case(0, 8 << 10 ; "below the least buffer")]
#[test_case(16 << 10, 16 << 10 ; "usual")]
#[test_case(1 << 30, 64 << 10 ; "absurd")]
fn head_limit_lowered(configured: u64, expected: u64) {
    let lowered = MemoryPlan::head_limit(ByteCount::new(configured));
    assert_eq!(lowered.get(), expected);
}
