//! The stand-in store's restore from a snapshot, and once-only calls whose claims it loses.

use std::time::Duration;

use parsleylatch::{
    standin::{Store, StoreSettings},
    store::{Condition, StoreClient},
    types::{EraReading, Millis, RequestId, RequestsPerSecond, Revision, StoreEra},
};
use serde_json::json;
use tokio::time::sleep;

use crate::{
    calls::{FLEET, ObservedOutcome, call_book, run_count},
    harness::RunningFleet,
};

/// Time within which all nodes learn of a restore; their watches end with it.
const RESTORE_KNOWN_DELAY: Duration = Duration::from_millis(1_500);

fn era(number: u64) -> EraReading {
    EraReading::Read(StoreEra::new(number))
}

/// A call that has run must not run again because the copy lacks its claim.
#[tokio::test]
async fn call_once_claim_lost_in_restore() {
    let running = RunningFleet::start(FLEET).await;
    let control = running.fleet.store.control;
    let request_body = json!({ "truck": 7 });
    running.post(control, "/snapshot", &()).await;
    let id = RequestId::generate();
    let first = call_book(&running, 0, id, &request_body).await;
    assert!(matches!(first, ObservedOutcome::Answer(_)), "{first:?}");
    running.post(control, "/restore", &()).await;
    sleep(RESTORE_KNOWN_DELAY).await;
    for node in [1, 0] {
        let repeated = call_book(&running, node, id, &request_body).await;
        assert!(repeated.is_unknown(), "node {node}: {repeated:?}");
    }
    assert_eq!(run_count(&running, id).await, 1);
    for node in [0, 1] {
        let id = RequestId::generate();
        let outcome = call_book(&running, node, id, &request_body).await;
        assert!(matches!(outcome, ObservedOutcome::Answer(_)), "{outcome:?}");
        assert_eq!(run_count(&running, id).await, 1);
    }
}

/// All responses state the era, whether they succeed or not, and a watch from a revision that
/// the restored store has not issued is refused.
#[tokio::test]
async fn restore_states_era() {
    let store = Store::start(&StoreSettings {
        era: Some(StoreEra::new(7)),
        ..StoreSettings::local()
    });
    let store = store.unwrap();
    let client = StoreClient::new(store.server.addresses.address);
    store.put("a", "1");
    store.take_snapshot();
    store.put("a", "2");
    store.put("b", "1");
    let listed = client.list("").await.unwrap();
    assert_eq!(
        (listed.era, listed.reply.revision),
        (era(7), Revision::new(3))
    );
    assert_eq!(store.restore(), Some(StoreEra::new(8)));
    let listed = client.list("").await.unwrap();
    assert_eq!(
        (listed.era, listed.reply.revision),
        (era(8), Revision::new(1))
    );
    assert_eq!(listed.reply.entries[0].value, "1");
    let refused = client.watch("", Revision::new(3), Millis::ZERO).await;
    let refused = refused.unwrap_err();
    assert!(refused.is_history_compacted());
    assert_eq!(refused.era, Some(era(8)));
    let written = client.write("a", "3".to_owned(), Condition::At(Revision::new(2)), None);
    let written = written.await.unwrap();
    assert_eq!((written.era, written.reply.written), (era(8), false));
    let watched = client.watch("", Revision::new(1), Millis::ZERO).await;
    assert!(watched.unwrap().reply.entries.is_empty());
}

/// Responses to calls beyond the rate limit state the era too.
#[tokio::test]
async fn restore_refusal_states_era() {
    let store = Store::start(&StoreSettings {
        era: Some(StoreEra::new(7)),
        read_rate: RequestsPerSecond::ZERO,
        ..StoreSettings::local()
    });
    let store = store.unwrap();
    let client = StoreClient::new(store.server.addresses.address);
    let refused = client.read("a").await.unwrap_err();
    assert!(refused.to_string().contains("429"), "{refused}");
    assert_eq!(refused.era, Some(era(7)));
}

/// A store without an era states none, and waits with a watch from a later revision.
#[tokio::test]
async fn restore_without_era_as_before() {
    let store = Store::start(&StoreSettings::local()).unwrap();
    let client = StoreClient::new(store.server.addresses.address);
    store.put("a", "1");
    let watched = client.watch("", Revision::new(900), Millis::ZERO).await;
    let watched = watched.unwrap();
    assert_eq!(watched.era, era(0));
    assert!(watched.reply.entries.is_empty());
}
