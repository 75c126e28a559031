//! Plan of the silence profile: changes, reloads and overlapping planned stops beside endpoints
//! that fall silent and go on, and relays on a part of a core.

use std::ops::RangeInclusive;

use parsleylatch_types::Millis;
use rand::{RngExt, SeedableRng, seq::index::sample};
use rand_pcg::Pcg64Mcg;

use crate::{
    environment::{SERVICES, service_index},
    plan::{Fault, PlannedFault, Targets, WARM_UP_MS},
};

/// Time between two changes of the configuration.
const CHANGE_GAP_MS: RangeInclusive<u64> = 200..=2_000;
/// Time between two reloads of the settings of a relay.
const RELOAD_GAP_MS: RangeInclusive<u64> = 500..=3_000;
/// Time between two series of planned stops.
const STOP_GAP_MS: RangeInclusive<u64> = 2_000..=7_000;
/// Time between two stops of a series, less than a stop takes.
const STOP_OFFSET_MS: RangeInclusive<u64> = 0..=1_500;
/// Time between two series of silences.
const SILENCE_GAP_MS: RangeInclusive<u64> = 50..=700;
/// Time between two silences of a series.
const SILENCE_OFFSET_MS: RangeInclusive<u64> = 0..=800;
/// Time for which an endpoint goes on between two silences.
const MIN_WORK_MS: u64 = 1_000;
const SILENCE_MS: RangeInclusive<u64> = 300..=1_500;
/// Longest time for which a silent endpoint answers state requests before it goes on.
const MAX_ANSWERING_MS: u64 = 300;
/// Time for which a relay runs on a part of a core, unless it does so during the whole load.
const PART_CORE_MS: RangeInclusive<u64> = 2_000..=6_000;

/// Time in which an endpoint is silent.
struct SilentInterval {
    index: usize,
    from_ms: u64,
    to_ms: u64,
}

/// Draws the faults of the silence profile.
pub(crate) fn plan_silence_profile(
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
        let with_signal = random.random();
        faults.push(planned(at_ms, Fault::ChangeSettings { relay, with_signal }));
    }
    faults.extend(plan_stops(random, load_ms, targets, STOP_GAP_MS));
    for relay in 0..targets.relays {
        if random.random() {
            let duration_ms = random.random_range(PART_CORE_MS);
            let (at_ms, duration_ms) = match random.random() {
                true => (0, load_ms.get()),
                false => (random.random_range(0..=load_ms.get()), duration_ms),
            };
            let fault = Fault::PartCore(relay, Millis::new(duration_ms));
            faults.push(planned(at_ms, fault));
        }
    }
    faults.extend(plan_silences(random, load_ms, targets));
    faults
}

pub(crate) fn planned(at_ms: u64, fault: Fault) -> PlannedFault {
    let at = Millis::new(at_ms);
    PlannedFault { at, fault }
}

/// Draws times after the warm-up, with gaps from a range.
pub(crate) fn draw_times(
    random: &mut Pcg64Mcg,
    load_ms: Millis,
    gap_ms: RangeInclusive<u64>,
) -> Vec<u64> {
    let mut times = Vec::new();
    let mut at_ms = WARM_UP_MS + random.random_range(0..=*gap_ms.start());
    while at_ms < load_ms.get() {
        times.push(at_ms);
        at_ms += random.random_range(gap_ms.clone());
    }
    times
}

/// Draws series of planned stops that overlap.
pub(crate) fn plan_stops(
    random: &mut Pcg64Mcg,
    load_ms: Millis,
    targets: Targets,
    gap_ms: RangeInclusive<u64>,
) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    for start_ms in draw_times(random, load_ms, gap_ms) {
        let count = random.random_range(1..=targets.relays);
        let mut at_ms = start_ms;
        // In some series all relays stop together.
        let is_together: bool = random.random();
        for relay in sample(random, targets.relays, count) {
            faults.push(planned(at_ms, Fault::StopRelay(relay)));
            if !is_together {
                at_ms += random.random_range(STOP_OFFSET_MS);
            }
        }
    }
    faults
}

/// Draws silences so that each service has another endpoint at any time that isn't silent.
pub(crate) fn plan_silences(
    random: &mut Pcg64Mcg,
    load_ms: Millis,
    targets: Targets,
) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut silent: Vec<SilentInterval> = Vec::new();
    for start_ms in draw_times(random, load_ms, SILENCE_GAP_MS) {
        let count = random.random_range(1..=targets.endpoints / SERVICES.len());
        let is_together: bool = random.random();
        let mut from_ms = start_ms;
        for index in sample(random, targets.endpoints, count) {
            if !is_together {
                from_ms += random.random_range(SILENCE_OFFSET_MS);
            }
            let duration_ms = random.random_range(SILENCE_MS);
            let answering_ms = match random.random() {
                true => random.random_range(0..=MAX_ANSWERING_MS),
                false => 0,
            };
            let to_ms = from_ms + duration_ms;
            let has_just_been_silent = silent.iter().any(|it| {
                it.index == index
                    && it.from_ms <= to_ms + MIN_WORK_MS
                    && it.to_ms + MIN_WORK_MS >= from_ms
            });
            let overlapping = silent.iter().filter(|it| {
                it.from_ms <= to_ms
                    && it.to_ms >= from_ms
                    && service_index(it.index) == service_index(index)
            });
            let others: Vec<usize> = overlapping.map(|it| it.index).collect();
            let mut sound = (0..targets.endpoints).filter(|it| {
                service_index(*it) == service_index(index) && *it != index && !others.contains(it)
            });
            if has_just_been_silent || sound.next().is_none() {
                continue;
            }
            silent.push(SilentInterval {
                index,
                from_ms,
                to_ms,
            });
            let fault = Fault::Silence {
                index,
                duration_ms: Millis::new(duration_ms),
                answering_ms: Millis::new(answering_ms),
            };
            faults.push(planned(from_ms, fault));
        }
    }
    faults
}
