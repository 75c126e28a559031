//! Plan of the limits profile: changes, reloads, overlapping planned stops and silent endpoints
//! beside relays with little memory or few descriptors.

use std::ops::RangeInclusive;

use parsleylatch_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::{
    plan::{Fault, PlannedFault, Targets},
    process::RelayResources,
    silence_plan::{draw_times, plan_silences, plan_stops, planned},
};

/// Time between two changes of the configuration, which change its limits.
const CHANGE_GAP_MS: RangeInclusive<u64> = 1_000..=4_000;
/// Time between two reloads, which change the memory of a relay.
const RELOAD_GAP_MS: RangeInclusive<u64> = 500..=3_000;
/// Time between two series of planned stops, in which connections pile up.
const STOP_GAP_MS: RangeInclusive<u64> = 6_000..=12_000;
/// Memory of relays with little memory.
const MEMORY_MB: RangeInclusive<u64> = 32..=64;
/// Number of settings with different memory that a relay takes in turn.
const MEMORY_SETTINGS: usize = 4;
/// Descriptors of relays with few descriptors, whose memory allows more connections.
const DESCRIPTORS: RangeInclusive<u64> = 260..=400;
const AMPLE_MEMORY_MB: u64 = 160;
/// Generator of the resources, so that the faults of a seed don't depend on them.
const RESOURCE_SEED: u64 = 0x6c69_6d69_7473;

/// Draws the faults of the limits profile. In odd seeds the first relay, and others at random,
/// run on a part of a core.
pub(crate) fn plan_limits_profile(
    seed: u64,
    load_ms: Millis,
    targets: Targets,
) -> Vec<PlannedFault> {
    let random = &mut Pcg64Mcg::seed_from_u64(seed);
    let mut faults = Vec::new();
    for at_ms in draw_times(random, load_ms, CHANGE_GAP_MS) {
        faults.push(planned(at_ms, Fault::ChangeConfiguration));
    }
    for at_ms in draw_times(random, load_ms, RELOAD_GAP_MS) {
        let relay = random.random_range(0..targets.relays);
        let with_signal = true;
        faults.push(planned(at_ms, Fault::ChangeSettings { relay, with_signal }));
    }
    faults.extend(plan_stops(random, load_ms, targets, STOP_GAP_MS));
    faults.extend(plan_silences(random, load_ms, targets));
    if !seed.is_multiple_of(2) {
        let slow = (0..targets.relays).filter(|relay| *relay == 0 || random.random());
        faults.extend(slow.map(|relay| planned(0, Fault::PartCore(relay, load_ms))));
    }
    faults
}

/// Draws the resources of each relay: little memory, or few descriptors.
pub(crate) fn draw_resources(seed: u64, relays: usize) -> Vec<RelayResources> {
    let random = &mut Pcg64Mcg::seed_from_u64(seed ^ RESOURCE_SEED);
    let resources = (0..relays).map(|_| {
        if random.random() {
            let memory_mb = (0..MEMORY_SETTINGS).map(|_| random.random_range(MEMORY_MB));
            RelayResources {
                memory_mb: memory_mb.collect(),
                descriptors: None,
            }
        } else {
            RelayResources {
                memory_mb: vec![AMPLE_MEMORY_MB],
                descriptors: Some(random.random_range(DESCRIPTORS)),
            }
        }
    });
    resources.collect()
}
