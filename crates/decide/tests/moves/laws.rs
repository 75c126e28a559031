//! Evidence is a join-semilattice.

use parsleylatch_decide::moves::{EvidenceKey, MoveEvidence, Observer, TrialCounts, Veto};
use parsleylatch_types::{Incarnation, Micros, RequestCount};
use proptest::{collection::vec, option, prelude::*};

fn observer() -> impl Strategy<Value = Observer> {
    (0..3_u8, 0..2_u64).prop_map(|(node, incarnation)| Observer {
        node: format!("node-{node}").parse().unwrap(),
        incarnation: Incarnation::new(incarnation),
    })
}

fn key() -> impl Strategy<Value = EvidenceKey> {
    (1..3_u8, 0..2_u8, observer()).prop_map(|(version, route, observer)| EvidenceKey {
        version: format!("v{version}").parse().unwrap(),
        route: format!("r{route}").parse().unwrap(),
        observer,
    })
}

fn counts() -> impl Strategy<Value = TrialCounts> {
    [0..9_u64, 0..9, 0..9, 0..9, 0..9].prop_map(|[trials, failures, slow, paced, pace]| {
        TrialCounts {
            trials: RequestCount::new(trials),
            failures: RequestCount::new(failures),
            slow: RequestCount::new(slow),
            paced: RequestCount::new(paced),
            pace_total_us: Micros::new(pace),
        }
    })
}

fn evidence() -> impl Strategy<Value = MoveEvidence> {
    let veto = (0..2_u8, observer()).prop_map(|(route, observer)| Veto {
        route: format!("r{route}").parse().unwrap(),
        observer,
    });
    let parts = (vec((key(), counts()), 0..8), option::of(veto));
    parts.prop_map(|(counts, veto)| MoveEvidence::from_parts(counts, veto))
}

fn merged(left: &MoveEvidence, right: &MoveEvidence) -> MoveEvidence {
    let mut sum = left.clone();
    sum.merge(right);
    sum
}

proptest! {
    #[test]
    fn merge_commutative(a in evidence(), b in evidence()) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
    }

    #[test]
    fn merge_associative(a in evidence(), b in evidence(), c in evidence()) {
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
    }

    #[test]
    fn merge_idempotent(a in evidence(), b in evidence()) {
        prop_assert_eq!(merged(&a, &a), a.clone());
        let both = merged(&a, &b);
        prop_assert_eq!(merged(&both, &b), both);
    }

    /// Merging never removes a veto and never decreases a counter.
    #[test]
    fn merge_monotonic(a in evidence(), b in evidence()) {
        let both = merged(&a, &b);
        prop_assert!(a.veto().is_none() || both.veto().is_some());
        for (key, counts) in a.counts() {
            let (_, kept) = both.counts().find(|(known, _)| *known == key).unwrap();
            prop_assert!(kept.trials >= counts.trials && kept.failures >= counts.failures);
        }
    }
}
