//! A store that comes back from a copy: which responses are late, and which documents of the
//! copy replace what a node knows.

use std::net::SocketAddr;

use parsleylatch_decide::{
    call::{
        CallDigest, CallEffect, CallInput, CallSpec, CallState, Claim, ClaimCondition, ClaimNonce,
        ClaimOutcome, OnceOnlyCall, Settlement, SettlementEffect, SettlementInput, SettlementSpec,
    },
    refusal::RefusalKind,
    relay::{
        ConfigurationMark, DocumentMark, EndpointEntry, EndpointKey, ListedEntry, OrderFinding,
        RESTORE_GRACE_MS, Registry, judge_order,
    },
    store_eras::{ClaimEras, EraFinding, StoreEras, rewrite_delay_limit},
};
use parsleylatch_types::{
    EntrySequence, EraReading, Incarnation, Millis, MonoTime, RequestId, Revision, SlotCount,
    StoreEra, StorePosition, UnixMillis,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use test_case::test_case;

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(millis)
}

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition::new(StoreEra::new(era), Revision::new(revision))
}

fn era(number: u64) -> EraReading {
    EraReading::Read(StoreEra::new(number))
}

fn unreadable() -> EraReading {
    EraReading::Unreadable("x".into())
}

/// A late response must not take a node back, and an absurd era must not take it so far ahead
/// that it ignores the store.
#[test_case(&[5], EraFinding::Current, 5 ; "first")]
#[test_case(&[5, 5], EraFinding::Current, 5 ; "same")]
#[test_case(&[5, 6], EraFinding::Restored { earlier: StoreEra::new(5) }, 6 ; "next")]
#[test_case(&[0, 1], EraFinding::Restored { earlier: StoreEra::ZERO }, 1 ; "first stated")]
#[test_case(&[5, 4], EraFinding::Late, 5 ; "earlier")]
#[test_case(&[5, 0], EraFinding::Late, 5 ; "absent")]
#[test_case(&[5, 1_005], EraFinding::Restored { earlier: StoreEra::new(5) }, 1_005 ; "largest step")]
#[test_case(&[5, 1_006], EraFinding::Unreadable { is_first: true }, 5 ; "beyond the largest step")]
#[test_case(&[5, 1_006, 1_007], EraFinding::Unreadable { is_first: false }, 5 ; "again beyond")]
#[test_case(&[5, 7, 6], EraFinding::Late, 7 ; "two restores out of order")]
fn observe_era(eras: &[u64], expected: EraFinding, known_after: u64) {
    let mut known = StoreEras::default();
    let findings: Vec<EraFinding> = eras.iter().map(|it| known.observe(&era(*it))).collect();
    assert_eq!(findings.last(), Some(&expected));
    assert_eq!(known.known(), StoreEra::new(known_after));
}

#[test]
fn observe_era_unreadable() {
    let mut known = StoreEras::default();
    let finding = known.observe(&unreadable());
    assert_eq!(finding, EraFinding::Unreadable { is_first: true });
    assert_eq!(known.observe(&era(3)), EraFinding::Current);
    let finding = known.observe(&unreadable());
    assert_eq!(finding, EraFinding::Unreadable { is_first: false });
    assert!(finding.is_usable());
    assert_eq!(known.known(), StoreEra::new(3));
}

#[test_case(99, 0 ; "few nodes")]
#[test_case(100, 1_000 ; "many nodes")]
fn rewrite_delay_limit_nodes(nodes: usize, expected_ms: u64) {
    assert_eq!(rewrite_delay_limit(nodes), Millis::new(expected_ms));
}

/// A configuration of the copy must not bring back a key that a later one has withdrawn.
#[test_case((4, 1, 90), (5, 0, 20), false ; "older version after a restore")]
#[test_case((5, 1, 3), (5, 0, 20), true ; "same version after a restore")]
#[test_case((6, 1, 3), (5, 0, 20), true ; "newer version after a restore")]
#[test_case((4, 1, 9), (5, 1, 8), false ; "older version later in an era")]
#[test_case((5, 1, 7), (5, 1, 8), false ; "same version earlier in an era")]
#[test_case((6, 0, 20), (5, 1, 3), true ; "newer version of an earlier era")]
#[test_case((4, 0, 21), (5, 0, 20), true ; "older version without an era")]
#[test_case((6, 0, 19), (5, 0, 20), false ; "earlier revision without an era")]
fn replaces_configuration(offered: (u64, u64, u64), known: (u64, u64, u64), expected: bool) {
    let mark = |(version, era, revision)| ConfigurationMark {
        version,
        position: position(era, revision),
    };
    assert_eq!(mark(offered).replaces(&mark(known)), expected);
}

/// An order that the one in force has replaced must not move traffic again.
#[test_case((0, 9, "v2"), OrderFinding::Known ; "read again")]
#[test_case((0, 8, "v1"), OrderFinding::Known ; "earlier revision")]
#[test_case((0, 10, "v2"), OrderFinding::New ; "written again in its era")]
#[test_case((1, 9, "v2"), OrderFinding::Moved ; "kept by the copy")]
#[test_case((1, 30, "v2"), OrderFinding::Moved ; "written again after the restore")]
#[test_case((1, 5, "v1"), OrderFinding::Superseded ; "shown by the copy")]
#[test_case((1, 6, "v1"), OrderFinding::New ; "ordered again after the restore")]
#[test_case((1, 5, "v3"), OrderFinding::New ; "new at a revision issued again")]
fn judge_order_restored(offered: (u64, u64, &str), expected: OrderFinding) {
    let known = DocumentMark {
        position: position(0, 9),
        text: "v2",
    };
    let (era, revision, text) = offered;
    let offered = DocumentMark {
        position: position(era, revision),
        text,
    };
    let superseded = [(Revision::new(5), "v1")];
    assert_eq!(judge_order(offered, Some(known), superseded), expected);
}

/// Entry of endpoint `number`, by incarnation, sequence and whether it leaves.
fn listed(number: u16, incarnation: u64, sequence: Option<u64>, is_leaving: bool) -> ListedEntry {
    let entry = EndpointEntry {
        key: EndpointKey {
            id: format!("i-{number}").parse().unwrap(),
            incarnation: Incarnation::new(incarnation),
        },
        service: "engines".parse().unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + number)),
        failure_domain: "a".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: SlotCount::new(4),
        is_leaving,
    };
    ListedEntry {
        entry,
        sequence: sequence.map(EntrySequence::new),
        is_rewritten: false,
    }
}

fn used(registry: &Registry) -> Vec<(String, u64)> {
    let used = registry.entries().filter(|entry| !entry.is_leaving);
    used.map(|it| (it.key.id.to_string(), it.key.incarnation.get()))
        .collect()
}

/// An endpoint that has left is not used because the copy lists it, until its entry is newer.
#[test_case(1, Some(7), false, false ; "same entry")]
#[test_case(1, Some(6), false, false ; "older entry")]
#[test_case(1, Some(8), false, true ; "written again")]
#[test_case(2, Some(1), false, true ; "new process")]
#[test_case(0, Some(9), false, false ; "earlier process")]
#[test_case(1, None, false, false ; "no sequence, of the copy")]
#[test_case(1, None, true, true ; "no sequence, written after the restore")]
fn apply_left_endpoint_listed(
    incarnation: u64,
    sequence: Option<u64>,
    is_rewritten: bool,
    is_used: bool,
) {
    let mut registry = Registry::new();
    let known = listed(1, 1, sequence.and(Some(7)), false);
    registry.apply(at(0), position(0, 5), vec![known]);
    registry.apply(at(10), position(0, 6), Vec::new());
    let copied = ListedEntry {
        is_rewritten,
        ..listed(1, incarnation, sequence, false)
    };
    let change = registry.apply(at(20), position(1, 3), vec![copied.clone()]);
    assert_eq!(change.unwrap().withheld.is_empty(), is_used);
    assert_eq!(used(&registry).len(), usize::from(is_used));
    // The listing is applied again with each change of the store.
    registry.apply(at(900_000), position(1, 4), vec![copied]);
    assert_eq!(used(&registry).len(), usize::from(is_used));
}

/// What is known of an endpoint outlasts an older entry of the copy.
#[test_case(listed(1, 1, Some(9), true), listed(1, 1, Some(8), false), &[] ; "leaving")]
#[test_case(listed(1, 1, None, true), listed(1, 1, None, false), &[] ; "leaving, no sequence")]
#[test_case(listed(1, 2, Some(1), false), listed(1, 1, Some(8), false), &[2] ; "replaced")]
#[test_case(listed(1, 1, Some(8), false), listed(1, 1, Some(8), false), &[1] ; "unchanged")]
#[test_case(listed(1, 1, Some(8), false), listed(1, 1, Some(9), true), &[] ; "newer leaves")]
#[test_case(listed(1, 1, Some(8), false), listed(1, 3, Some(1), false), &[3] ; "newer process")]
fn apply_older_entry_listed(known: ListedEntry, copied: ListedEntry, expected: &[u64]) {
    let mut registry = Registry::new();
    registry.apply(at(0), position(0, 50), vec![known]);
    registry.apply(at(10), position(1, 3), vec![copied]);
    let incarnations: Vec<u64> = used(&registry).into_iter().map(|(_, it)| it).collect();
    assert_eq!(incarnations, expected);
}

/// Endpoints that the copy lacks are used while they register again, but not forever.
#[test]
fn apply_missing_after_restore() {
    let mut registry = Registry::new();
    let known = vec![listed(1, 1, Some(1), false), listed(2, 1, Some(1), false)];
    registry.apply(at(0), position(0, 50), known);
    let change = registry
        .apply(at(1_000), position(1, 1), Vec::new())
        .unwrap();
    assert!(change.is_restored);
    assert_eq!((change.held.len(), change.removed.len()), (2, 0));
    let back = vec![listed(1, 1, Some(2), false)];
    registry.apply(at(2_000), position(1, 2), back.clone());
    assert_eq!(used(&registry).len(), 2);
    let end = 1_000 + RESTORE_GRACE_MS.get();
    assert!(!registry.is_hold_expired(at(end - 1)));
    assert!(registry.is_hold_expired(at(end)));
    registry.apply(at(end), position(1, 2), back);
    assert_eq!(used(&registry), [("i-1".to_owned(), 1)]);
    // It may still come back in this era with the entry that it had.
    let late = vec![listed(1, 1, Some(2), false), listed(2, 1, Some(1), false)];
    registry.apply(at(end + 10), position(1, 3), late);
    assert_eq!(used(&registry).len(), 2);
}

/// A listing of an earlier era, and one of an earlier revision, are ignored.
#[test]
fn apply_earlier_position_ignored() {
    let mut registry = Registry::new();
    registry.apply(at(0), position(1, 5), vec![listed(1, 1, Some(1), false)]);
    assert_eq!(registry.apply(at(1), position(0, 900), Vec::new()), None);
    assert_eq!(registry.apply(at(2), position(1, 4), Vec::new()), None);
    assert!(registry.is_newer_than(position(0, 900)));
    assert_eq!(used(&registry).len(), 1);
}

/// A store with six endpoints that is copied and restored at random.
struct World {
    /// Incarnation and sequence of each listed endpoint.
    store: Vec<Option<(u64, u64)>>,
    /// Last entry of each endpoint.
    newest: Vec<(u64, u64)>,
    has_left: Vec<bool>,
    copy: (Vec<Option<(u64, u64)>>, u64),
    era: u64,
    revision: u64,
}

impl World {
    fn new() -> Self {
        Self {
            store: vec![None; 6],
            newest: vec![(1, 0); 6],
            has_left: vec![false; 6],
            copy: (vec![None; 6], 1),
            era: 0,
            revision: 1,
        }
    }

    fn step(&mut self, random: &mut Pcg64) {
        let number = random.random_range(0..6);
        self.revision += 1;
        match random.random_range(0..10) {
            0..=4 => {
                let (incarnation, sequence) = self.newest[number];
                self.newest[number] = match random.random_bool(0.2) {
                    true => (incarnation + 1, 1),
                    false => (incarnation, sequence + 1),
                };
                self.store[number] = Some(self.newest[number]);
                self.has_left[number] = false;
            }
            5 | 6 => self.has_left[number] |= self.store[number].take().is_some(),
            7 | 8 => self.copy = (self.store.clone(), self.revision),
            _ => {
                (self.store, self.revision) = self.copy.clone();
                self.era += 1;
            }
        }
    }

    fn listing(&self) -> Vec<ListedEntry> {
        let entries = self.store.iter().enumerate().filter_map(|(number, known)| {
            let (incarnation, sequence) = (*known)?;
            Some(listed(number as u16, incarnation, Some(sequence), false))
        });
        entries.collect()
    }
}

/// An endpoint that has left is not used again without a newer entry, whatever copies the store
/// comes back from.
#[test]
fn apply_random_restores() {
    let mut random = Pcg64::seed_from_u64(20);
    let mut withheld = 0;
    for _ in 0..300 {
        let (mut world, mut registry) = (World::new(), Registry::new());
        for step in 0..80 {
            world.step(&mut random);
            let listing = world.listing();
            let position = position(world.era, world.revision);
            registry.apply(at(step * 10_000), position, listing);
            for (number, has_left) in world.has_left.iter().enumerate() {
                // An endpoint that the copy lacks may be held for a while.
                if !has_left || world.store[number].is_none() {
                    continue;
                }
                withheld += 1;
                let is_used = used(&registry)
                    .iter()
                    .any(|(id, _)| *id == format!("i-{number}"));
                assert!(!is_used, "endpoint {number} at step {step}");
            }
        }
    }
    assert!(withheld > 1_000, "{withheld}");
}

const RESTORED_AT: UnixMillis = UnixMillis::new(1_800_000_000_000);

fn id_created_at(offset_ms: i64) -> RequestId {
    let created_at = RESTORED_AT.get().checked_add_signed(offset_ms).unwrap();
    RequestId::from_parts(UnixMillis::new(created_at), 7)
}

/// The claim of an id from before a restore may be missing from the copy.
#[test_case(&[0], -1, false ; "never restored")]
#[test_case(&[0, 1], -1, true ; "id from before the restore")]
#[test_case(&[0, 1], 1, false ; "id from after the restore")]
#[test_case(&[4], -1, true ; "restored before the node started")]
fn may_lack_claim_id(eras: &[u64], offset_ms: i64, expected: bool) {
    let mut known = ClaimEras::default();
    for number in eras {
        known.observe(RESTORED_AT, &era(*number));
    }
    let later = UnixMillis::new(RESTORED_AT.get() + 5_000);
    known.observe(later, &unreadable());
    assert_eq!(known.may_lack_claim(id_created_at(offset_ms)), expected);
}

fn claim() -> Claim {
    Claim {
        workspace: "union-1".parse().unwrap(),
        node: "node-1".parse().unwrap(),
        nonce: ClaimNonce::new(7),
        digest: CallDigest::of_call(&"desk".parse().unwrap(), &"book".parse().unwrap(), b"x"),
        claimed_at_unix_ms: RESTORED_AT,
        outcome: ClaimOutcome::Pending,
    }
}

/// A call whose earlier claim may be lost is never sent, and ends as one that may have run.
#[test_case(false, Some(Revision::new(4)) ; "claim written")]
#[test_case(false, None ; "claim not written")]
#[test_case(true, None ; "rate limited")]
fn handle_claim_lost(is_rate_limited: bool, written: Option<Revision>) {
    let spec = CallSpec {
        claim: claim(),
        is_new_request: true,
        store_is_down: false,
        is_rate_limited,
    };
    let (mut call, _) = OnceOnlyCall::start(at(0), spec);
    let effects = call.handle(at(5), CallInput::ClaimLost(written));
    assert_eq!(call.state(), CallState::Unknown);
    let is_sent = |it: &CallEffect| matches!(it, CallEffect::Send { .. });
    assert!(!effects.iter().any(is_sent));
    let refusals = effects.iter().filter_map(|it| match it {
        CallEffect::Refuse(refusal) => Some((refusal.kind, refusal.not_run)),
        _ => None,
    });
    let refusals: Vec<_> = refusals.collect();
    assert_eq!(refusals, [(RefusalKind::OutcomeUnknown, false)]);
    let settled = effects.iter().find_map(|it| match it {
        CallEffect::Settle(spec) => Some((spec.claim.outcome.clone(), spec.condition)),
        _ => None,
    });
    let condition = written.map_or(ClaimCondition::Absent, ClaimCondition::At);
    let expected = (!is_rate_limited).then_some((ClaimOutcome::Unknown, condition));
    assert_eq!(settled, expected);
}

/// An outcome whose claim the restore has lost is recorded again, for repeated requests.
#[test]
fn settlement_claim_lost() {
    let spec = SettlementSpec {
        claim: claim().with_outcome(ClaimOutcome::Unknown),
        condition: ClaimCondition::At(Revision::new(9)),
    };
    let (mut settlement, _) = Settlement::start(at(0), spec);
    let effects = settlement.handle(at(5), SettlementInput::Lost);
    let conditions = effects.iter().map(|it| match it {
        SettlementEffect::Write { condition, .. } => Some(*condition),
        SettlementEffect::Read => None,
    });
    let conditions: Vec<_> = conditions.collect();
    assert_eq!(conditions, [Some(ClaimCondition::Absent)]);
}
