//! Tests of commands to engines with paused processes, lost leases and engines that
//! ignore fencing numbers.

use std::collections::BTreeMap;

use parsleylatch_decide::{
    deployment::{DeploymentEffect, DeploymentTable},
    lease_holder::{
        COMMAND_TIMEOUT_MS, HolderEffect, HolderInput, HolderState, LEASE_TTL_MS, LeaseHolder,
    },
};
use parsleylatch_types::{
    EndpointId, FencingNumber, Millis, MonoTime, Revision, StoreEra, StorePosition,
};
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

/// Pause of one candidate's process; its clock continues meanwhile.
#[derive(Clone, Copy, Debug)]
struct Pause {
    holder: usize,
    from_ms: u64,
    length_ms: u64,
    /// Whether the pause falls between the lease check and the sending of a command.
    delays_command: bool,
}

fn pause() -> impl Strategy<Value = Pause> {
    (0..HOLDERS, 0..120_000_u64, 100..40_000_u64, any::<bool>()).prop_map(
        |(holder, from_ms, length_ms, delays_command)| Pause {
            holder,
            from_ms,
            length_ms,
            delays_command,
        },
    )
}

/// The claim in the store, with the expiry of its lease by the store's clock.
#[derive(Clone, Copy, Debug)]
struct Claim {
    holder: usize,
    expires_at_ms: u64,
}

struct Candidate {
    holder: LeaseHolder,
    table: DeploymentTable,
    desired: Vec<String>,
}

impl Candidate {
    fn new(number: usize) -> Self {
        let mut table = DeploymentTable::new();
        let desired = vec![format!("desired-by-{number}")];
        table.set_desired(at(0), BTreeMap::from([(engine(), desired.clone())]));
        Self {
            holder: LeaseHolder::new(at(0)),
            table,
            desired,
        }
    }
}

/// One command that the engine received.
#[derive(Clone, Debug)]
struct ReceivedCommand {
    fencing: FencingNumber,
    accepted: bool,
}

struct World {
    candidates: Vec<Candidate>,
    claim: Option<Claim>,
    revision: u64,
    checks_fencing: bool,
    /// Era of the store, which a restore without the claim begins.
    era: StoreEra,
    restored_at_ms: Option<u64>,
    fencing: FencingNumber,
    actual: Vec<String>,
    in_transit: Vec<(u64, FencingNumber, Vec<String>)>,
    received: Vec<ReceivedCommand>,
    senders: Vec<(u64, usize)>,
    /// Times at which commands were decided on.
    commanded_ms: Vec<u64>,
}

impl World {
    fn new(checks_fencing: bool) -> Self {
        Self {
            candidates: (0..HOLDERS).map(Candidate::new).collect(),
            claim: None,
            revision: 0,
            era: StoreEra::ZERO,
            restored_at_ms: None,
            checks_fencing,
            fencing: FencingNumber::ZERO,
            actual: Vec::new(),
            in_transit: Vec::new(),
            received: Vec::new(),
            senders: Vec::new(),
            commanded_ms: Vec::new(),
        }
    }

    fn run(&mut self, pauses: &[Pause], until_ms: u64) {
        for now_ms in (0..until_ms).step_by(STEP_MS as usize) {
            if self.restored_at_ms == Some(now_ms) {
                self.claim = None;
                self.revision = 0;
                self.era = self.era.next();
            }
            if self
                .claim
                .is_some_and(|claim| claim.expires_at_ms <= now_ms)
            {
                self.claim = None;
            }
            let due: Vec<_> = self
                .in_transit
                .extract_if(.., |command| command.0 <= now_ms)
                .collect();
            for (_, fencing, desired) in due {
                self.deliver(fencing, desired);
            }
            for number in 0..HOLDERS {
                let pause = pauses.iter().find(|pause| {
                    let until_ms = pause.from_ms + pause.length_ms;
                    pause.holder == number && (pause.from_ms..until_ms).contains(&now_ms)
                });
                match pause {
                    None => self.step(now_ms, number, None),
                    // Decides on one last command, which is sent when the pause ends.
                    Some(pause) if pause.delays_command && now_ms < pause.from_ms + STEP_MS => {
                        self.step(now_ms, number, Some(pause.from_ms + pause.length_ms));
                    }
                    Some(_) => {}
                }
            }
        }
    }

    fn step(&mut self, now_ms: u64, number: usize, delayed_until_ms: Option<u64>) {
        let now = at(now_ms);
        let holder = &mut self.candidates[number].holder;
        if holder.next_deadline().is_some_and(|due| due <= now) {
            let effects = holder.expire(now);
            self.answer(now_ms, number, &effects);
        }
        let candidate = &mut self.candidates[number];
        let fencing = candidate.holder.fencing_for_send(now);
        if fencing.is_some() {
            self.senders.push((now_ms, number));
        }
        for effect in candidate.table.expire(now, fencing) {
            let DeploymentEffect::Read(endpoint) = effect else {
                continue;
            };
            let fencing = candidate.holder.fencing_for_send(now);
            let command = candidate
                .table
                .handle_read(now, fencing, &endpoint, &self.actual);
            if let Some(DeploymentEffect::Apply {
                fencing, desired, ..
            }) = command
            {
                self.commanded_ms.push(now_ms);
                self.in_transit.push((
                    delayed_until_ms.unwrap_or(now_ms + STEP_MS),
                    fencing,
                    desired,
                ));
            }
        }
    }

    /// Responds to the effects as the store does, without delay.
    fn answer(&mut self, now_ms: u64, number: usize, effects: &[HolderEffect]) {
        for effect in effects {
            let input = match *effect {
                HolderEffect::Claim { requested_at } if self.claim.is_none() => {
                    self.revision += 1;
                    self.grant_lease(now_ms, number);
                    let revision = Revision::new(self.revision);
                    let position = StorePosition::new(self.era, revision);
                    HolderInput::Claimed {
                        requested_at,
                        position,
                    }
                }
                HolderEffect::Claim { .. } => HolderInput::Refused,
                HolderEffect::Renew { requested_at } => {
                    match self.claim.is_some_and(|claim| claim.holder == number) {
                        true => {
                            self.grant_lease(now_ms, number);
                            HolderInput::Renewed { requested_at }
                        }
                        false => HolderInput::LeaseExpired,
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

    fn grant_lease(&mut self, now_ms: u64, holder: usize) {
        let expires_at_ms = now_ms + LEASE_TTL_MS.get();
        self.claim = Some(Claim {
            holder,
            expires_at_ms,
        });
    }

    fn deliver(&mut self, fencing: FencingNumber, desired: Vec<String>) {
        let accepted = !self.checks_fencing || fencing >= self.fencing;
        if accepted {
            self.fencing = self.fencing.max(fencing);
            self.actual = desired;
        }
        self.received.push(ReceivedCommand { fencing, accepted });
    }

    /// Desired deployment of the current lease holder.
    fn desired(&self) -> Option<&Vec<String>> {
        let claim = self.claim?;
        Some(&self.candidates[claim.holder].desired)
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// No two nodes may send within one command timeout of each other.
    #[test]
    fn fencing_for_send_one_at_a_time(pauses in vec(pause(), 0..6)) {
        let mut world = World::new(false);
        world.run(&pauses, 200_000);
        for pair in world.senders.windows(2) {
            let [(earlier_ms, first), (later_ms, second)] = [pair[0], pair[1]];
            let apart = Millis::new(later_ms - earlier_ms);
            prop_assert!(first == second || apart >= COMMAND_TIMEOUT_MS, "{pair:?}");
        }
    }

    /// An engine that checks fencing numbers never accepts an older holder again.
    #[test]
    fn handle_read_fencing_grows(pauses in vec(pause(), 0..6)) {
        let mut world = World::new(true);
        world.run(&pauses, 200_000);
        let accepted: Vec<_> = world.received.iter().filter(|command| command.accepted).collect();
        prop_assert!(accepted.windows(2).all(|pair| pair[0].fencing <= pair[1].fencing));
    }

    /// With or without fencing checks, the engine ends with the desired deployment of
    /// the last holder.
    #[test]
    fn handle_read_converges(pauses in vec(pause(), 0..6), checks_fencing in any::<bool>()) {
        let mut world = World::new(checks_fencing);
        world.run(&pauses, 260_000);
        prop_assert_eq!(Some(&world.actual), world.desired());
    }
}

/// A holder that was paused until its lease expired sends nothing when it resumes.
#[test]
fn fencing_for_send_after_pause() {
    let mut world = World::new(false);
    world.run(&[], 30_000);
    let holder = world.claim.unwrap().holder;
    let candidate = &world.candidates[holder].holder;
    assert!(candidate.fencing_for_send(at(30_000)).is_some());
    let expired = at(30_000 + LEASE_TTL_MS.get());
    assert_eq!(candidate.fencing_for_send(expired), None);
}

/// A command that a paused holder sends late is corrected at an engine that ignores
/// fencing numbers, and refused by an engine that checks them.
#[test_case(true ; "engine checks fencing")]
#[test_case(false ; "engine ignores fencing")]
fn handle_read_delayed(checks_fencing: bool) {
    let world = run_with_delayed_command(checks_fencing, 60_000);
    let numbers = fencing_numbers(&world);
    let late = numbers.windows(2).position(|pair| pair[1] < pair[0]);
    let late = late.expect("the old command arrives after the new one") + 1;
    assert_eq!(world.received[late].accepted, !checks_fencing);
    assert_eq!(Some(&world.actual), world.desired());
}

/// A command that is delayed by no more than the lease term plus the command timeout
/// arrives before the first command of the next holder.
#[test]
fn handle_read_delayed_settled() {
    let numbers = fencing_numbers(&run_with_delayed_command(false, 18_500));
    assert!(numbers.len() >= 2, "{numbers:?}");
    assert!(numbers.is_sorted(), "{numbers:?}");
}

/// Runs with a holder whose first command is sent only after a pause.
fn run_with_delayed_command(checks_fencing: bool, length_ms: u64) -> World {
    let mut undisturbed = World::new(checks_fencing);
    undisturbed.run(&[], 30_000);
    let pauses = [Pause {
        holder: undisturbed.claim.unwrap().holder,
        from_ms: undisturbed.commanded_ms[0],
        length_ms,
        delays_command: true,
    }];
    let mut world = World::new(checks_fencing);
    world.run(&pauses, 140_000);
    world
}

fn fencing_numbers(world: &World) -> Vec<FencingNumber> {
    world
        .received
        .iter()
        .map(|command| command.fencing)
        .collect()
}

/// After a restore that has lost the lease, a new holder's commands are accepted although the
/// store issues revisions again, and the holders don't send at the same time.
#[test]
fn handle_read_store_restored() {
    let mut world = World::new(true);
    world.restored_at_ms = Some(40_000);
    world.run(&[], 120_000);
    assert_eq!(world.era, StoreEra::new(1));
    let numbers = fencing_numbers(&world);
    assert!(numbers.is_sorted(), "{numbers:?}");
    assert!(world.received.iter().all(|command| command.accepted));
    let resumed = world.senders.iter().find(|(at_ms, _)| *at_ms > 55_000);
    assert!(resumed.is_some(), "no holder sends after the restore");
    for pair in world.senders.windows(2) {
        let apart = Millis::new(pair[1].0 - pair[0].0);
        assert!(pair[0].1 == pair[1].1 || apart >= COMMAND_TIMEOUT_MS);
    }
}

/// A holder that learns of a restore sends nothing more under its lease.
#[test]
fn fencing_for_send_store_restored() {
    let mut holder = LeaseHolder::new(at(0));
    let due = holder.next_deadline().unwrap();
    let claim = holder.expire(due);
    let [HolderEffect::Claim { requested_at }] = claim[..] else {
        panic!("{claim:?}");
    };
    let position = StorePosition::new(StoreEra::new(2), Revision::new(9));
    let claimed = HolderInput::Claimed {
        requested_at,
        position,
    };
    holder.handle(due, claimed);
    let mut now = due;
    while holder.fencing_for_send(now).is_none() {
        now = holder.next_deadline().unwrap();
        for effect in holder.expire(now) {
            if let HolderEffect::Renew { requested_at } = effect {
                holder.handle(now, HolderInput::Renewed { requested_at });
            }
        }
    }
    holder.handle(now, HolderInput::StoreRestored);
    assert_eq!(holder.fencing_for_send(now), None);
    assert_eq!(holder.state(), HolderState::Waiting);
}
