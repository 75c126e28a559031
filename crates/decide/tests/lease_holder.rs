//! Orders to engines under pauses, lost leases and engines that ignore fencing.

use std::collections::BTreeMap;

use parsleylatch_decide::{
    deployment::{DeploymentEffect, DeploymentTable},
    lease_holder::{HolderEffect, HolderInput, LEASE_TTL_MS, LeaseHolder, ORDER_TIMEOUT_MS},
};
use parsleylatch_types::{EndpointId, FencingNumber, Millis, MonoTime, Revision};
use proptest::{collection::vec, prelude::*};
use test_case::test_case;

const STEP_MS: u64 = 100;
const HOLDERS: usize = 3;

fn at(ms: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(ms)
}

fn engine() -> EndpointId {
    "engine-1".parse().unwrap()
}

/// Pause of one holder; its clock goes on meanwhile.
#[derive(Clone, Copy, Debug)]
struct Pause {
    holder: usize,
    from_ms: u64,
    length_ms: u64,
    /// Whether the pause falls between the check and the sending of an order.
    holds_order_back: bool,
}

fn pause() -> impl Strategy<Value = Pause> {
    (0..HOLDERS, 0..120_000_u64, 100..40_000_u64, any::<bool>()).prop_map(
        |(holder, from_ms, length_ms, holds_order_back)| Pause {
            holder,
            from_ms,
            length_ms,
            holds_order_back,
        },
    )
}

/// The claim in the store, with the end of its lease by the store's clock.
#[derive(Clone, Copy, Debug)]
struct Claim {
    holder: usize,
    lapses_at_ms: u64,
}

struct Candidate {
    holder: LeaseHolder,
    table: DeploymentTable,
    wanted: Vec<String>,
}

impl Candidate {
    fn new(number: usize) -> Self {
        let mut table = DeploymentTable::new();
        let wanted = vec![format!("wanted-by-{number}")];
        table.want(at(0), BTreeMap::from([(engine(), wanted.clone())]));
        Self {
            holder: LeaseHolder::new(at(0)),
            table,
            wanted,
        }
    }
}

/// One order as the engine got it.
#[derive(Clone, Debug)]
struct Arrived {
    fencing: FencingNumber,
    taken: bool,
}

struct World {
    candidates: Vec<Candidate>,
    claim: Option<Claim>,
    revision: u64,
    checks_fencing: bool,
    fencing: FencingNumber,
    has: Vec<String>,
    late: Vec<(u64, FencingNumber, Vec<String>)>,
    arrived: Vec<Arrived>,
    senders: Vec<(u64, usize)>,
    /// Times at which orders were decided on.
    ordered_ms: Vec<u64>,
}

impl World {
    fn new(checks_fencing: bool) -> Self {
        Self {
            candidates: (0..HOLDERS).map(Candidate::new).collect(),
            claim: None,
            revision: 0,
            checks_fencing,
            fencing: FencingNumber::ZERO,
            has: Vec::new(),
            late: Vec::new(),
            arrived: Vec::new(),
            senders: Vec::new(),
            ordered_ms: Vec::new(),
        }
    }

    fn run(&mut self, pauses: &[Pause], until_ms: u64) {
        for now_ms in (0..until_ms).step_by(STEP_MS as usize) {
            if self.claim.is_some_and(|claim| claim.lapses_at_ms <= now_ms) {
                self.claim = None;
            }
            let due: Vec<_> = self.late.extract_if(.., |late| late.0 <= now_ms).collect();
            for (_, fencing, wanted) in due {
                self.deliver(fencing, wanted);
            }
            for number in 0..HOLDERS {
                let held = pauses.iter().find(|pause| {
                    let until_ms = pause.from_ms + pause.length_ms;
                    pause.holder == number && (pause.from_ms..until_ms).contains(&now_ms)
                });
                match held {
                    None => self.step(now_ms, number, None),
                    // Sends one last order, which leaves when the pause ends.
                    Some(pause) if pause.holds_order_back && now_ms < pause.from_ms + STEP_MS => {
                        self.step(now_ms, number, Some(pause.from_ms + pause.length_ms));
                    }
                    Some(_) => {}
                }
            }
        }
    }

    fn step(&mut self, now_ms: u64, number: usize, held_until_ms: Option<u64>) {
        let now = at(now_ms);
        let holder = &mut self.candidates[number].holder;
        if holder.next_deadline().is_some_and(|due| due <= now) {
            let effects = holder.expire(now);
            self.answer(now_ms, number, &effects);
        }
        let candidate = &mut self.candidates[number];
        let fencing = candidate.holder.may_send(now);
        if fencing.is_some() {
            self.senders.push((now_ms, number));
        }
        for effect in candidate.table.expire(now, fencing) {
            let DeploymentEffect::Read(endpoint) = effect else {
                continue;
            };
            let fencing = candidate.holder.may_send(now);
            let ordered = candidate
                .table
                .take_read(now, fencing, &endpoint, &self.has);
            if let Some(DeploymentEffect::Order {
                fencing, wanted, ..
            }) = ordered
            {
                self.ordered_ms.push(now_ms);
                self.late
                    .push((held_until_ms.unwrap_or(now_ms + STEP_MS), fencing, wanted));
            }
        }
    }

    /// The store answers at once.
    fn answer(&mut self, now_ms: u64, number: usize, effects: &[HolderEffect]) {
        for effect in effects {
            let input = match *effect {
                HolderEffect::Claim { asked_at } if self.claim.is_none() => {
                    self.revision += 1;
                    self.hold(now_ms, number);
                    let revision = Revision::new(self.revision);
                    HolderInput::Claimed { asked_at, revision }
                }
                HolderEffect::Claim { .. } => HolderInput::Refused,
                HolderEffect::Renew { asked_at } => {
                    match self.claim.is_some_and(|claim| claim.holder == number) {
                        true => {
                            self.hold(now_ms, number);
                            HolderInput::Renewed { asked_at }
                        }
                        false => HolderInput::Lapsed,
                    }
                }
                HolderEffect::Release => {
                    self.claim = None;
                    continue;
                }
            };
            self.candidates[number].holder.handle(at(now_ms), input);
        }
    }

    fn hold(&mut self, now_ms: u64, holder: usize) {
        let lapses_at_ms = now_ms + LEASE_TTL_MS.get();
        self.claim = Some(Claim {
            holder,
            lapses_at_ms,
        });
    }

    fn deliver(&mut self, fencing: FencingNumber, wanted: Vec<String>) {
        let taken = !self.checks_fencing || fencing >= self.fencing;
        if taken {
            self.fencing = self.fencing.max(fencing);
            self.has = wanted;
        }
        self.arrived.push(Arrived { fencing, taken });
    }

    /// What the holder at the end wants.
    fn wanted(&self) -> Option<&Vec<String>> {
        let claim = self.claim?;
        Some(&self.candidates[claim.holder].wanted)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Two nodes never may send within the longest time of an order.
    #[test]
    fn may_send_one_at_a_time(pauses in vec(pause(), 0..6)) {
        let mut world = World::new(false);
        world.run(&pauses, 200_000);
        for pair in world.senders.windows(2) {
            let [(earlier_ms, first), (later_ms, second)] = [pair[0], pair[1]];
            let apart = Millis::new(later_ms - earlier_ms);
            prop_assert!(first == second || apart >= ORDER_TIMEOUT_MS, "{pair:?}");
        }
    }

    /// An engine that checks never goes back to an older holder.
    #[test]
    fn order_fencing_grows(pauses in vec(pause(), 0..6)) {
        let mut world = World::new(true);
        world.run(&pauses, 200_000);
        let taken: Vec<_> = world.arrived.iter().filter(|order| order.taken).collect();
        prop_assert!(taken.windows(2).all(|pair| pair[0].fencing <= pair[1].fencing));
    }

    /// Whatever the engine checks, it ends with what the last holder wants.
    #[test]
    fn order_ends_as_wanted(pauses in vec(pause(), 0..6), checks_fencing in any::<bool>()) {
        let mut world = World::new(checks_fencing);
        world.run(&pauses, 260_000);
        prop_assert_eq!(Some(&world.has), world.wanted());
    }
}

/// A holder that was paused past its lease sends nothing when it wakes.
#[test]
fn may_send_after_pause() {
    let mut world = World::new(false);
    world.run(&[], 30_000);
    let holder = world.claim.unwrap().holder;
    let candidate = &world.candidates[holder].holder;
    assert!(candidate.may_send(at(30_000)).is_some());
    let lapsed = at(30_000 + LEASE_TTL_MS.get());
    assert_eq!(candidate.may_send(lapsed), None);
}

/// An order that a paused holder sends late is undone at an engine that ignores
/// fencing numbers, and refused by one that checks.
#[test_case(true ; "engine checks fencing")]
#[test_case(false ; "engine ignores fencing")]
fn order_held_back(checks_fencing: bool) {
    let world = hold_back(checks_fencing, 60_000);
    let numbers = fencing_numbers(&world);
    let late = numbers.windows(2).position(|pair| pair[1] < pair[0]);
    let late = late.expect("the old order arrives after the new one") + 1;
    assert_eq!(world.arrived[late].taken, !checks_fencing);
    assert_eq!(Some(&world.has), world.wanted());
}

/// A holder whose last order is late by no more than the lease and the longest
/// order is over before the next one begins.
#[test]
fn order_held_back_settled() {
    let numbers = fencing_numbers(&hold_back(false, 18_500));
    assert!(numbers.len() >= 2, "{numbers:?}");
    assert!(numbers.is_sorted(), "{numbers:?}");
}

/// Runs with a holder whose first order leaves only after a pause.
fn hold_back(checks_fencing: bool, length_ms: u64) -> World {
    let mut undisturbed = World::new(checks_fencing);
    undisturbed.run(&[], 30_000);
    let pauses = [Pause {
        holder: undisturbed.claim.unwrap().holder,
        from_ms: undisturbed.ordered_ms[0],
        length_ms,
        holds_order_back: true,
    }];
    let mut world = World::new(checks_fencing);
    world.run(&pauses, 140_000);
    world
}

fn fencing_numbers(world: &World) -> Vec<FencingNumber> {
    world.arrived.iter().map(|order| order.fencing).collect()
}
