//! Fault plan of a run, a pure function of the seed, the load duration and the targets.
//! Faults come in series that may overlap.

use parsleylatch_standin::{RelayedFault, RelayedNotice, StoreFault};
use parsleylatch_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use strum::{Display, EnumString};

use crate::{
    invariants::Invariant, limits_plan::plan_limits_profile, link::LinkMode,
    silence_plan::plan_silence_profile,
};

/// Time from the start of the load to the earliest fault.
pub(crate) const WARM_UP_MS: u64 = 1_500;
/// Number of series in a run.
const SERIES_COUNT: std::ops::RangeInclusive<usize> = 3..=7;
const FAULTS_PER_SERIES: std::ops::RangeInclusive<u64> = 1..=4;
/// Time between the faults of a series.
const GAP_MS: std::ops::RangeInclusive<u64> = 100..=2_500;
/// Duration of a fault.
const DURATION_MS: std::ops::RangeInclusive<u64> = 100..=3_500;
/// Delay added by slow links, endpoints and stores.
const DELAY_MS: std::ops::RangeInclusive<u64> = 20..=400;
/// Notices of endpoints in a run. They have a generator of their own, so that the other faults
/// of a seed stay as they are.
const NOTICE_COUNT: std::ops::RangeInclusive<usize> = 0..=2;
const NOTICE_SEED: u64 = 0x6e6f_7469_6365;
/// Time for which an endpoint wants no requests.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 600..=2_500;
/// Duration of the faults that reveal an invariant violated on purpose.
const BREAKING_DURATION_MS: Millis = Millis::new(2_000);
/// Duration of link faults that lose requests.
const BREAKING_RESET_MS: Millis = Millis::new(100);
/// Length of a pause, of a relay or asked for by an endpoint, that outlasts the request timeout.
const BREAKING_PAUSE_MS: Millis = Millis::new(6_000);
/// Seeds that are multiples of this number have planned operations only, so that time bounds
/// are checked during the whole run.
const PLANNED_ONLY_SEED_INTERVAL: u64 = 4;

/// Selection of the faults that a run draws from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "snake_case")]
pub enum Profile {
    /// All faults, or planned operations only, depending on the seed.
    #[default]
    Mixed,
    /// Planned operations beside silent endpoints and relays on a part of a core.
    Silence,
    /// Planned operations of relays near their limits on connections and descriptors.
    Limits,
}

/// A fault or planned operation to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Stops a relay gracefully; it is restarted.
    StopRelay(usize),
    /// Changes a relay's settings file, with or without SIGHUP.
    ChangeSettings { relay: usize, with_signal: bool },
    /// Writes a new configuration version.
    ChangeConfiguration,
    /// Drains an endpoint, then replaces it by a new process.
    DrainEndpoint(usize),
    /// Kills a relay; it is restarted.
    KillRelay(usize),
    /// Pauses a relay.
    PauseRelay(usize, Millis),
    /// Disturbs the link between callers and a relay.
    CallerLink(usize, LinkMode, Millis),
    /// Disturbs the link between a relay and the store.
    StoreLink(usize, LinkMode, Millis),
    /// Disturbs the link between relays and an endpoint.
    EndpointLink(usize, LinkMode, Millis),
    /// Resets an endpoint's connections as in a crash, then replaces it by a new process.
    CrashEndpoint(usize, Millis),
    /// Makes an endpoint say something about further requests: that it leaves, until it is
    /// replaced by a new process, or that it wants none for a while.
    Notice(usize, RelayedNotice),
    /// Makes an endpoint misbehave.
    Endpoint {
        index: usize,
        fault: RelayedFault,
        delay_ms: Millis,
        duration_ms: Millis,
    },
    /// Makes an endpoint silent, which is no disturbance.
    Silence {
        index: usize,
        duration_ms: Millis,
        /// Last part of the duration, in which it answers state requests again.
        answering_ms: Millis,
    },
    /// Runs a relay on a part of a core, which is no disturbance.
    PartCore(usize, Millis),
    /// Makes the store misbehave.
    Store {
        fault: StoreFault,
        delay_ms: Millis,
        duration_ms: Millis,
    },
}

impl Fault {
    /// Index of the relay that it concerns; none for the store and the endpoints.
    pub(crate) fn relay(self) -> Option<usize> {
        match self {
            Self::StopRelay(relay)
            | Self::ChangeSettings { relay, .. }
            | Self::KillRelay(relay)
            | Self::PauseRelay(relay, _)
            | Self::CallerLink(relay, ..)
            | Self::StoreLink(relay, ..)
            | Self::PartCore(relay, _) => Some(relay),
            _ => None,
        }
    }
}

/// A fault and its time after the start of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlannedFault {
    pub(crate) at: Millis,
    pub(crate) fault: Fault,
}

/// Number of relays and endpoints that faults can target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Targets {
    pub(crate) relays: usize,
    pub(crate) endpoints: usize,
}

/// Draws the faults of a run, in order of time.
pub(crate) fn plan(
    profile: Profile,
    seed: u64,
    load_ms: Millis,
    targets: Targets,
) -> Vec<PlannedFault> {
    let mut faults = match profile {
        Profile::Mixed => plan_mixed_profile(seed, load_ms, targets),
        Profile::Silence => plan_silence_profile(seed, load_ms, targets),
        Profile::Limits => plan_limits_profile(seed, load_ms, targets),
    };
    faults.sort_by_key(|planned| planned.at);
    faults
}

fn plan_mixed_profile(seed: u64, load_ms: Millis, targets: Targets) -> Vec<PlannedFault> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let is_planned_only = seed.is_multiple_of(PLANNED_ONLY_SEED_INTERVAL);
    let mut faults = Vec::new();
    for _ in 0..random.random_range(SERIES_COUNT) {
        let draw_fault = if is_planned_only {
            pick_planned_operation(&mut random)
        } else {
            pick_any_fault(&mut random)
        };
        let mut at = random.random_range(WARM_UP_MS..load_ms.get().max(WARM_UP_MS + 1));
        let gap = random.random_range(GAP_MS);
        for _ in 0..random.random_range(FAULTS_PER_SERIES) {
            if at < load_ms.get() {
                let fault = draw_fault(&mut random, targets);
                faults.push(PlannedFault {
                    at: Millis::new(at),
                    fault,
                });
            }
            at += gap;
        }
    }
    faults.extend(plan_notices(seed, load_ms, targets));
    faults
}

fn plan_notices(seed: u64, load_ms: Millis, targets: Targets) -> Vec<PlannedFault> {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ NOTICE_SEED);
    let count = random.random_range(NOTICE_COUNT);
    let notices = (0..count).map(|_| {
        let at = random.random_range(WARM_UP_MS..load_ms.get().max(WARM_UP_MS + 1));
        let index = random.random_range(0..targets.endpoints);
        let pause_ms = Millis::new(random.random_range(PAUSE_MS));
        let notice = match random.random() {
            true => RelayedNotice::Leaving,
            false => RelayedNotice::Pause(pause_ms),
        };
        PlannedFault {
            at: Millis::new(at),
            fault: Fault::Notice(index, notice),
        }
    });
    notices.collect()
}

/// Faults that make a deployment that violates an invariant on purpose show it.
pub(crate) fn breaking_faults(invariant: Invariant, targets: Targets) -> Vec<PlannedFault> {
    let at = |seconds: u64, fault| PlannedFault {
        at: Millis::new(seconds * 1_000),
        fault,
    };
    let on_endpoints = |fault| {
        let faults = (0..targets.endpoints).map(|index| Fault::Endpoint {
            index,
            fault,
            delay_ms: Millis::ZERO,
            duration_ms: BREAKING_DURATION_MS,
        });
        faults.map(|fault| at(1, fault)).collect()
    };
    match invariant {
        Invariant::ResponseIntegrity | Invariant::EventOrder => on_endpoints(RelayedFault::Garble),
        Invariant::NotRunRefusal => on_endpoints(RelayedFault::FalseReject),
        Invariant::AtMostOnce | Invariant::AttemptLimit => on_endpoints(RelayedFault::Fail),
        Invariant::ResponseDeadline => vec![at(1, Fault::PauseRelay(0, BREAKING_PAUSE_MS))],
        Invariant::NewCallerSilence => {
            // Callers of the other relays open connections to the silent one.
            let stops = (1..targets.relays).map(|relay| at(1, Fault::StopRelay(relay)));
            let pause = at(1, Fault::PauseRelay(0, BREAKING_PAUSE_MS));
            [pause].into_iter().chain(stops).collect()
        }
        Invariant::KeptConnectionLoss => {
            // Relays are in touch some seconds after their start. Responses wait until the reset.
            let stall = Fault::CallerLink(0, LinkMode::StallToClient, BREAKING_DURATION_MS);
            let reset = Fault::CallerLink(0, LinkMode::Reset, BREAKING_RESET_MS);
            vec![at(6, stall), at(7, reset)]
        }
        Invariant::PlannedWorkLoss => {
            let reset = Fault::CallerLink(0, LinkMode::Reset, BREAKING_RESET_MS);
            vec![at(1, Fault::StopRelay(0)), at(1, reset)]
        }
        Invariant::RequestLoss | Invariant::ProcessExit => vec![at(1, Fault::KillRelay(0))],
        Invariant::Drain => vec![at(1, Fault::DrainEndpoint(0))],
        Invariant::LeavingNotice => vec![at(1, Fault::Notice(0, RelayedNotice::Leaving))],
        Invariant::PauseNotice => {
            let pause = RelayedNotice::Pause(BREAKING_PAUSE_MS);
            // Relays leave a single endpoint that rejects what it gets.
            let notices = (0..targets.endpoints).map(|index| Fault::Notice(index, pause));
            notices.map(|fault| at(1, fault)).collect()
        }
        Invariant::ConfigurationDelay => vec![at(1, Fault::ChangeConfiguration)],
        Invariant::EarlyFailure => on_endpoints(RelayedFault::LoseAnswer),
        Invariant::RequestIntegrity | Invariant::Recovery | Invariant::MemoryLimit => Vec::new(),
    }
}

type FaultFn = fn(&mut Pcg64Mcg, Targets) -> Fault;

const PLANNED_OPERATIONS: [FaultFn; 4] = [
    |random, targets| Fault::StopRelay(random.random_range(0..targets.relays)),
    |random, targets| Fault::ChangeSettings {
        relay: random.random_range(0..targets.relays),
        with_signal: random.random(),
    },
    |_, _| Fault::ChangeConfiguration,
    |random, targets| Fault::DrainEndpoint(random.random_range(0..targets.endpoints)),
];

const UNPLANNED_FAULTS: [FaultFn; 8] = [
    |random, targets| Fault::KillRelay(random.random_range(0..targets.relays)),
    |random, targets| {
        Fault::PauseRelay(
            random.random_range(0..targets.relays),
            pick_duration(random),
        )
    },
    |random, targets| {
        let relay = random.random_range(0..targets.relays);
        Fault::CallerLink(relay, pick_link_fault(random), pick_duration(random))
    },
    |random, targets| {
        let relay = random.random_range(0..targets.relays);
        Fault::StoreLink(relay, pick_link_fault(random), pick_duration(random))
    },
    |random, targets| {
        let endpoint = random.random_range(0..targets.endpoints);
        Fault::EndpointLink(endpoint, pick_link_fault(random), pick_duration(random))
    },
    |random, targets| {
        Fault::CrashEndpoint(
            random.random_range(0..targets.endpoints),
            pick_duration(random),
        )
    },
    |random, targets| {
        let faults = [
            RelayedFault::Fail,
            RelayedFault::LoseAnswer,
            RelayedFault::Reject,
            RelayedFault::Slow,
            RelayedFault::Cut,
        ];
        Fault::Endpoint {
            index: random.random_range(0..targets.endpoints),
            fault: pick(random, &faults),
            delay_ms: pick_delay(random),
            duration_ms: pick_duration(random),
        }
    },
    |random, _| {
        let faults = [
            StoreFault::Outage,
            StoreFault::Slow,
            StoreFault::LostAnswers,
            StoreFault::HistoryDropped,
        ];
        Fault::Store {
            fault: pick(random, &faults),
            delay_ms: pick_delay(random),
            duration_ms: pick_duration(random),
        }
    },
];

fn pick_planned_operation(random: &mut Pcg64Mcg) -> FaultFn {
    pick(random, &PLANNED_OPERATIONS)
}

fn pick_any_fault(random: &mut Pcg64Mcg) -> FaultFn {
    let all: Vec<FaultFn> = PLANNED_OPERATIONS
        .into_iter()
        .chain(UNPLANNED_FAULTS)
        .collect();
    pick(random, &all)
}

fn pick_link_fault(random: &mut Pcg64Mcg) -> LinkMode {
    let delayed = LinkMode::Delay(pick_delay(random));
    let modes = [
        delayed,
        LinkMode::Reset,
        LinkMode::StallToServer,
        LinkMode::StallToClient,
        LinkMode::StallBoth,
    ];
    pick(random, &modes)
}

fn pick_duration(random: &mut Pcg64Mcg) -> Millis {
    Millis::new(random.random_range(DURATION_MS))
}

fn pick_delay(random: &mut Pcg64Mcg) -> Millis {
    Millis::new(random.random_range(DELAY_MS))
}

/// Picks a random item; panics if there is none.
fn pick<Item>(random: &mut Pcg64Mcg, items: &[Item]) -> Item
where
    Item: Copy,
{
    items[random.random_range(0..items.len())]
}
