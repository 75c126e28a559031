//! Places go to paying requests first, free ones stay within their share, and
//! workspaces of a tier are served by weight.

use std::collections::BTreeMap;

use parsleylatch_decide::limits::{
    AdmissionEffect, AdmissionQueue, Ask, CapacityView, ModelCapacity, TicketId,
};
use parsleylatch_settings::Tier;
use parsleylatch_types::{Millis, ModelId, MonoTime, RequestCount, Weight};
use proptest::prelude::*;
use test_case::test_case;

const START: MonoTime = MonoTime::new(5_000_000);

fn model() -> ModelId {
    "drafts".parse().unwrap()
}

fn capacity(places: u64, busy: u64, sharers: u64) -> CapacityView {
    let of_model = ModelCapacity {
        places: RequestCount::new(places),
        busy: RequestCount::new(busy),
    };
    CapacityView {
        models: BTreeMap::from([(model(), of_model)]),
        sharers: RequestCount::new(sharers),
        accepting: true,
    }
}

fn ask(workspace: &str, tier: Tier, weight: u32) -> Ask {
    let weight = Weight::new(weight);
    Ask {
        workspace: workspace.parse().unwrap(),
        tier,
        weight,
        model: model(),
    }
}

fn queue(places: u64, busy: u64, sharers: u64) -> AdmissionQueue {
    let mut queue = AdmissionQueue::new();
    queue.update(START, capacity(places, busy, sharers));
    queue
}

fn admitted(effects: &[AdmissionEffect]) -> Vec<TicketId> {
    let admitted = effects.iter().filter_map(|effect| match effect {
        AdmissionEffect::Admit(id) => Some(*id),
        AdmissionEffect::Refuse(..) => None,
    });
    admitted.collect()
}

fn admit_all(queue: &mut AdmissionQueue, count: usize, tier: Tier) -> usize {
    // A workspace has one tier.
    let workspace = tier.to_string();
    (0..count)
        .map(|_| admitted(&queue.ask(START, ask(&workspace, tier, 1)).1).len())
        .sum()
}

#[test_case(Tier::Paying, 100, 0, 1, 105 ; "paying fills every place")]
#[test_case(Tier::Paying, 100, 90, 1, 15 ; "paying fills what is left")]
#[test_case(Tier::Free, 100, 0, 1, 60 ; "free stays within the share")]
#[test_case(Tier::Free, 100, 70, 1, 5 ; "free stays below the ceiling")]
#[test_case(Tier::Free, 100, 80, 1, 0 ; "free gets nothing above the ceiling")]
#[test_case(Tier::Free, 100, 0, 10, 6 ; "free share is divided by the nodes")]
fn ask_places(tier: Tier, places: u64, busy: u64, sharers: u64, expected: usize) {
    let mut queue = queue(places, busy, sharers);
    assert_eq!(admit_all(&mut queue, 200, tier), expected);
}

#[test]
fn ask_queue_full() {
    let mut queue = queue(0, 0, 1);
    admit_all(&mut queue, 1, Tier::Paying);
    let refusals: Vec<_> = (0..100)
        .flat_map(|_| queue.ask(START, ask("w", Tier::Paying, 1)).1)
        .collect();
    assert_eq!(queue.waiting(), 64);
    let AdmissionEffect::Refuse(_, refusal) = refusals.last().unwrap() else {
        panic!("the last one is refused");
    };
    assert!(refusal.not_run && refusal.retry_after_ms.is_some());
}

#[test]
fn expire_waits_end() {
    let mut queue = queue(10, 10, 1);
    admit_all(&mut queue, 1, Tier::Paying);
    let (late, effects) = queue.ask(START, ask("x", Tier::Free, 1));
    assert_eq!(effects, []);
    let deadline = queue.next_deadline().unwrap();
    assert_eq!(deadline, START + Millis::new(1_500));
    assert_eq!(queue.expire(START), []);
    let effects = queue.expire(deadline);
    assert!(
        matches!(&effects[..], [AdmissionEffect::Refuse(id, refusal)]
        if *id == late && refusal.not_run)
    );
}

#[test]
fn update_paying_before_free() {
    let mut queue = queue(10, 20, 1);
    let (free, _) = queue.ask(START, ask("free", Tier::Free, 100));
    let (paying, _) = queue.ask(START, ask("paying", Tier::Paying, 1));
    let effects = queue.update(START, capacity(10, 0, 1));
    assert_eq!(admitted(&effects), [paying, free]);
}

#[test]
fn update_node_stops() {
    let mut queue = queue(10, 20, 1);
    queue.ask(START, ask("w", Tier::Paying, 1));
    let effects = queue.update(
        START,
        CapacityView {
            accepting: false,
            ..capacity(10, 20, 1)
        },
    );
    assert!(matches!(&effects[..], [AdmissionEffect::Refuse(_, refusal)] if refusal.not_run));
}

#[test]
fn abandon_leaves_queue() {
    let mut queue = queue(10, 20, 1);
    let (id, _) = queue.ask(START, ask("w", Tier::Paying, 1));
    queue.abandon(START, id);
    assert_eq!(queue.waiting(), 0);
    assert_eq!(queue.update(START, capacity(10, 0, 1)), []);
}

/// Two busy workspaces are served in the ratio of their weights.
#[test]
fn release_weighted_shares() {
    let mut queue = queue(1, 0, 1);
    let (_, first) = queue.ask(START, ask("warm-up", Tier::Paying, 1));
    assert_eq!(admitted(&first).len(), 1);
    let mut owner = BTreeMap::new();
    for _ in 0..60 {
        owner.insert(queue.ask(START, ask("heavy", Tier::Paying, 3)).0, "heavy");
        owner.insert(queue.ask(START, ask("light", Tier::Paying, 1)).0, "light");
    }
    let mut served = BTreeMap::from([("heavy", 0), ("light", 0)]);
    for round in 1..=40_u64 {
        // Past the reporting lag the former admission counts no more.
        let now = START + Millis::new(2_000 * round);
        for id in admitted(&queue.release(now, Tier::Paying, &model())) {
            *served.get_mut(owner[&id]).unwrap() += 1;
        }
    }
    assert_eq!((served["heavy"], served["light"]), (30, 10));
}

proptest! {
    /// Whatever the other nodes do, free requests of all nodes stay within the
    /// share, and paying ones are admitted while reports show room.
    #[test]
    fn ask_free_flood(nodes in 1_u64..40, places in 40_u64..2_000, flood in 1_usize..300) {
        let mut free = 0;
        for _ in 0..nodes {
            let mut queue = queue(places, 0, nodes);
            free += admit_all(&mut queue, flood, Tier::Free);
            prop_assert_eq!(admit_all(&mut queue, 1, Tier::Paying), 1);
        }
        let bound = (places * 60 / 100).max(nodes);
        prop_assert!(free as u64 <= bound, "{} free of {}", free, places);
    }

    /// Each request is admitted or refused at most once, and all are in the end.
    #[test]
    fn ask_settled_once(steps in proptest::collection::vec((0_u8..4, 0_u64..3_000), 1..200)) {
        let mut queue = queue(3, 0, 1);
        let mut now = START;
        let mut settled = BTreeMap::<TicketId, u32>::new();
        let mut asked = 0;
        let mut running = Vec::new();
        for (kind, pause_ms) in steps {
            now = now + Millis::new(pause_ms);
            let effects = match kind {
                0 | 1 => {
                    asked += 1;
                    let tier = if kind == 0 { Tier::Paying } else { Tier::Free };
                    queue.ask(now, ask(if kind == 0 { "p" } else { "f" }, tier, 1)).1
                }
                2 if !running.is_empty() => {
                    running.pop();
                    queue.release(now, Tier::Paying, &model())
                }
                _ => queue.expire(now),
            };
            for effect in &effects {
                let id = match effect {
                    AdmissionEffect::Admit(id) => { running.push(*id); id }
                    AdmissionEffect::Refuse(id, refusal) => { prop_assert!(refusal.not_run); id }
                };
                *settled.entry(*id).or_default() += 1;
            }
        }
        let late = queue.expire(now + Millis::new(60_000));
        prop_assert_eq!(queue.waiting(), 0);
        prop_assert_eq!(settled.len() + late.len(), asked);
        prop_assert!(settled.values().all(|count| *count == 1));
    }
}
