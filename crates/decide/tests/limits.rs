//! Tests of admission: paying requests have priority, free requests stay within their
//! share, and the workspaces of a tier are served by weight.

use std::collections::BTreeMap;

use parsleylatch_decide::limits::{
    AdmissionEffect, AdmissionQueue, AdmissionRequest, CapacityView, ModelCapacity, TicketId,
};
use parsleylatch_settings::Tier;
use parsleylatch_types::{Millis, ModelId, MonoTime, RequestCount, Weight};
use proptest::prelude::*;
use test_case::test_case;

const START: MonoTime = MonoTime::new(5_000_000);

fn model() -> ModelId {
    "drafts".parse().unwrap()
}

fn capacity(slots: u64, busy: u64, cluster_threads: u64) -> CapacityView {
    let of_model = ModelCapacity {
        slots: RequestCount::new(slots),
        busy: RequestCount::new(busy),
    };
    CapacityView {
        models: BTreeMap::from([(model(), of_model)]),
        cluster_threads: RequestCount::new(cluster_threads),
        accepting: true,
    }
}

fn request(workspace: &str, tier: Tier, weight: u32) -> AdmissionRequest {
    let weight = Weight::new(weight);
    AdmissionRequest {
        workspace: workspace.parse().unwrap(),
        tier,
        weight,
        model: model(),
    }
}

fn queue(slots: u64, busy: u64, cluster_threads: u64) -> AdmissionQueue {
    let mut queue = AdmissionQueue::new();
    queue.update(START, capacity(slots, busy, cluster_threads));
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
        .map(|_| admitted(&queue.submit(START, request(&workspace, tier, 1)).1).len())
        .sum()
}

#[test_case(Tier::Paying, 100, 0, 1, 105 ; "paying fills every slot")]
#[test_case(Tier::Paying, 100, 90, 1, 15 ; "paying fills what is left")]
#[test_case(Tier::Free, 100, 0, 1, 60 ; "free stays within the share")]
#[test_case(Tier::Free, 100, 70, 1, 5 ; "free stays below the ceiling")]
#[test_case(Tier::Free, 100, 80, 1, 0 ; "free gets nothing above the ceiling")]
#[test_case(Tier::Free, 100, 0, 10, 6 ; "free share is divided by threads")]
fn submit_slots(tier: Tier, slots: u64, busy: u64, cluster_threads: u64, expected: usize) {
    let mut queue = queue(slots, busy, cluster_threads);
    assert_eq!(admit_all(&mut queue, 200, tier), expected);
}

#[test]
fn submit_queue_full() {
    let mut queue = queue(0, 0, 1);
    admit_all(&mut queue, 1, Tier::Paying);
    let refusals: Vec<_> = (0..100)
        .flat_map(|_| queue.submit(START, request("w", Tier::Paying, 1)).1)
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
    let (late, effects) = queue.submit(START, request("x", Tier::Free, 1));
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
    let (free, _) = queue.submit(START, request("free", Tier::Free, 100));
    let (paying, _) = queue.submit(START, request("paying", Tier::Paying, 1));
    let effects = queue.update(START, capacity(10, 0, 1));
    assert_eq!(admitted(&effects), [paying, free]);
}

#[test]
fn update_node_stopping() {
    let mut queue = queue(10, 20, 1);
    queue.submit(START, request("w", Tier::Paying, 1));
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
    let (id, _) = queue.submit(START, request("w", Tier::Paying, 1));
    queue.abandon(START, id);
    assert_eq!(queue.waiting(), 0);
    assert_eq!(queue.update(START, capacity(10, 0, 1)), []);
}

/// Two busy workspaces are served in the ratio of their weights.
#[test]
fn release_weighted_shares() {
    let mut queue = queue(1, 0, 1);
    let (_, first) = queue.submit(START, request("warm-up", Tier::Paying, 1));
    assert_eq!(admitted(&first).len(), 1);
    let mut owner = BTreeMap::new();
    for _ in 0..60 {
        owner.insert(
            queue.submit(START, request("heavy", Tier::Paying, 3)).0,
            "heavy",
        );
        owner.insert(
            queue.submit(START, request("light", Tier::Paying, 1)).0,
            "light",
        );
    }
    let mut served = BTreeMap::from([("heavy", 0), ("light", 0)]);
    for round in 1..=40_u64 {
        // Load reports include the previous admission by now, so it no longer counts.
        let now = START + Millis::new(2_000 * round);
        for id in admitted(&queue.release(now, Tier::Paying, &model())) {
            *served.get_mut(owner[&id]).unwrap() += 1;
        }
    }
    assert_eq!((served["heavy"], served["light"]), (30, 10));
}

proptest! {
    /// The free requests of all nodes together stay within their share, and paying
    /// requests are admitted while load reports show free slots.
    #[test]
    fn submit_free_flood(nodes in 1_u64..40, slots in 40_u64..2_000, flood in 1_usize..300) {
        let mut free = 0;
        for _ in 0..nodes {
            let mut queue = queue(slots, 0, nodes);
            free += admit_all(&mut queue, flood, Tier::Free);
            prop_assert_eq!(admit_all(&mut queue, 1, Tier::Paying), 1);
        }
        let bound = (slots * 60 / 100).max(nodes);
        prop_assert!(free as u64 <= bound, "{} free of {}", free, slots);
    }

    /// Each request is admitted or refused exactly once.
    #[test]
    fn submit_resolved_once(steps in proptest::collection::vec((0_u8..4, 0_u64..3_000), 1..200)) {
        let mut queue = queue(3, 0, 1);
        let mut now = START;
        let mut resolved = BTreeMap::<TicketId, u32>::new();
        let mut submitted = 0;
        let mut running = Vec::new();
        for (kind, pause_ms) in steps {
            now = now + Millis::new(pause_ms);
            let effects = match kind {
                0 | 1 => {
                    submitted += 1;
                    let tier = if kind == 0 { Tier::Paying } else { Tier::Free };
                    queue.submit(now, request(if kind == 0 { "p" } else { "f" }, tier, 1)).1
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
                *resolved.entry(*id).or_default() += 1;
            }
        }
        let late = queue.expire(now + Millis::new(60_000));
        prop_assert_eq!(queue.waiting(), 0);
        prop_assert_eq!(resolved.len() + late.len(), submitted);
        prop_assert!(resolved.values().all(|count| *count == 1));
    }
}
