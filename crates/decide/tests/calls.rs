//! Service calls: request ids, retries, rate limits, digests and the claim sweep.

use std::{collections::BTreeSet, sync::Arc};

use parsleylatch_decide::{
    call::{
        CLAIM_RETENTION_MS, CallAnswer, CallDigest, ClaimBucket, ClaimSweep, FreeClaimLimiter,
        IdempotentCall, IdempotentEffect, IdempotentInput, RecentIds, RetryBudgets, StoreHealth,
        check_age, may_delete,
    },
    refusal::RefusalKind,
};
use parsleylatch_types::{EndpointId, Millis, MonoTime, NodeId, RequestId, UnixMillis};
use test_case::test_case;

const NOW: UnixMillis = UnixMillis::new(1_800_000_000_000);

fn id_of_age(age_ms: i64) -> RequestId {
    let created_at = NOW.get().checked_add_signed(-age_ms).unwrap();
    RequestId::from_parts(UnixMillis::new(created_at), 7)
}

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(millis)
}

#[test_case(0, None ; "new")]
#[test_case(CLAIM_RETENTION_MS.get() as i64, None ; "oldest")]
#[test_case(CLAIM_RETENTION_MS.get() as i64 + 1, Some(RefusalKind::Expired) ; "too old")]
#[test_case(-300_000, None ; "clock ahead")]
#[test_case(-300_001, Some(RefusalKind::BadRequest) ; "clock too far ahead")]
fn check_age_id(age_ms: i64, refused: Option<RefusalKind>) {
    let checked = check_age(id_of_age(age_ms), NOW);
    assert_eq!(checked.err().map(|refusal| refusal.kind), refused);
}

/// A claim may be deleted only if the slowest clock also refuses its id.
#[test]
fn may_delete_skewed_clocks() {
    for age_ms in [0, 86_400_001, 86_400_000 + 599_999, 86_400_000 + 600_001] {
        let id = id_of_age(age_ms);
        let slow_clock = UnixMillis::new(NOW.get() - 600_000);
        assert!(!may_delete(id, NOW) || check_age(id, slow_clock).is_err());
    }
    assert!(may_delete(id_of_age(86_400_000 + 600_001), NOW));
}

#[test]
fn claim_bucket_prefix() {
    let id = id_of_age(0);
    let bucket = ClaimBucket::of_id(id);
    assert!(id.to_string().starts_with(&bucket.to_string()));
    assert_eq!(bucket.to_string().parse(), Ok(bucket));
}

/// Every due bucket is swept by exactly one node.
#[test]
fn sweep_all_buckets() {
    let nodes: Vec<NodeId> = (0..9)
        .map(|n| format!("node-{n}").parse().unwrap())
        .collect();
    let mut swept = BTreeSet::new();
    for node in &nodes {
        let peers: Vec<NodeId> = nodes.iter().filter(|it| *it != node).cloned().collect();
        let mut sweep = ClaimSweep::new(node.clone());
        while let Some(bucket) = sweep.next_due(NOW, &peers) {
            assert!(swept.insert(bucket), "swept by two nodes");
            sweep.mark_swept(bucket);
        }
    }
    assert!(swept.len() >= 1_320, "{} buckets", swept.len());
    assert!(swept.iter().zip(swept.iter().skip(1)).all(|(a, b)| a < b));
    assert!(!swept.contains(&ClaimBucket::of_id(id_of_age(86_400_000))));
}

#[test]
fn retry_budget_used_up() {
    let mut budgets = RetryBudgets::default();
    let workspace = "w".parse().unwrap();
    let saved = (0..100).filter(|_| budgets.take_retry(&workspace)).count();
    assert_eq!(saved, 10);
    for _ in 0..1_000 {
        budgets.record_call(&workspace);
    }
    let earned = (0..100).filter(|_| budgets.take_retry(&workspace)).count();
    assert_eq!(earned, 10, "the credit is bounded");
}

/// All threads of the fleet together stay within the free tier's rate.
#[test]
fn free_claims_shared() {
    let mut threads = vec![FreeClaimLimiter::default(); 18];
    let mut taken = 0;
    for millis in 0..10_000 {
        for thread in &mut threads {
            taken += usize::from(thread.take(at(millis), 18));
        }
    }
    assert!((250..=250 + 3 * 18).contains(&taken), "{taken} in 10 s");
}

#[test]
fn call_digest_parts() {
    let digest = |service: &str, operation: &str, body: &str| {
        let (service, operation) = (service.parse().unwrap(), operation.parse().unwrap());
        CallDigest::of_call(&service, &operation, body.as_bytes())
    };
    let one = digest("a", "b", "{}");
    assert_eq!(one, digest("a", "b", "{}"));
    assert_eq!(one.to_string().parse(), Ok(one));
    for other in [
        digest("ab", "b", "{}"),
        digest("a", "c", "{}"),
        digest("a", "b", "[]"),
    ] {
        assert_ne!(one, other);
    }
}

#[test]
fn store_health_recovers() {
    let health = StoreHealth::failed_at(at(1_000));
    assert!(health.is_down(at(1_499)));
    assert!(!health.is_down(at(1_500)));
    assert!(!StoreHealth::default().is_down(at(0)));
}

#[test]
fn recent_ids_kept() {
    let mut recent = RecentIds::default();
    let (first, second) = (id_of_age(0), id_of_age(1));
    assert!(!recent.record(at(0), first));
    assert!(recent.record(at(1), first));
    recent.record(at(359_999), second);
    assert!(
        recent.may_contain(first),
        "retained for longer than the clock skew"
    );
    recent.remove(second);
    assert!(!recent.may_contain(second));
}

fn failed(endpoint: &str, unsent: bool, may_retry: bool) -> IdempotentInput {
    IdempotentInput::Failed {
        endpoint: Some(endpoint.parse::<EndpointId>().unwrap()),
        unsent,
        may_retry,
        detail: "broken".to_owned(),
    }
}

#[test]
fn idempotent_call_retried() {
    let (mut call, effects) = IdempotentCall::start(at(0));
    assert_eq!(effects, [IdempotentEffect::Send { tried: vec![] }]);
    let effects = call.handle(at(10), failed("s-1", false, true));
    let tried = vec!["s-1".parse().unwrap()];
    assert_eq!(effects, [IdempotentEffect::Send { tried }]);
    let answer = CallAnswer {
        status: 200,
        body: Arc::from(&b"{}"[..]),
    };
    let effects = call.handle(at(20), IdempotentInput::Answered(answer.clone()));
    assert_eq!(effects, [IdempotentEffect::Answer(answer)]);
}

#[test_case(true, false, 0, true ; "never sent")]
#[test_case(false, false, 0, false ; "sent and no budget")]
#[test_case(false, true, 3_001, false ; "sent and no time")]
fn idempotent_call_refused(unsent: bool, may_retry: bool, at_ms: u64, not_run: bool) {
    let (mut call, _) = IdempotentCall::start(at(0));
    let effects = call.handle(at(at_ms), failed("s-1", unsent, may_retry));
    let [IdempotentEffect::Refuse(refusal)] = &effects[..] else {
        panic!("{effects:?}");
    };
    assert_eq!(refusal.not_run, not_run);
    assert_eq!(refusal.kind, RefusalKind::AttemptsExhausted);
}
