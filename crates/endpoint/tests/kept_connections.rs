//! Connections that go back to the pool without having been used.

use std::{net::TcpListener, thread, time::Duration};

use parsleylatch_endpoint::{ConnectionKey, ConnectionPool, ConnectionSettings};
use parsleylatch_types::{Incarnation, Millis};

/// Idle time up to which a connection is taken for a request that may not run twice.
const STRICT_IDLE_MS: Millis = Millis::new(200);
/// The same for other requests.
const PATIENT_IDLE_MS: Millis = Millis::new(1_500);
/// Pause after which a connection is usable for either; after two of them, only for others.
const PAUSE: Duration = Duration::from_millis(150);
const MAX_IDLE: usize = 8;

fn settings(max_idle_ms: Millis) -> ConnectionSettings {
    ConnectionSettings {
        connect_timeout_ms: Millis::new(1_000),
        max_idle_ms,
    }
}

/// A connection that was taken and given back counted as fresh, so that a request that may
/// not run twice met the endpoint's close.
#[tokio::test]
async fn keep_unused_connection_stays_idle_since_last_response() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let key = ConnectionKey {
        address: listener.local_addr().unwrap(),
        id: "i-1".parse().unwrap(),
        incarnation: Incarnation::new(1),
    };
    thread::spawn(move || listener.incoming().flatten().collect::<Vec<_>>());
    let pool = ConnectionPool::new();
    let first = pool.open(&key, settings(Millis::ZERO), None).await.unwrap();
    pool.keep(first, MAX_IDLE);
    tokio::time::sleep(PAUSE).await;
    let patient = pool.open(&key, settings(PATIENT_IDLE_MS), None);
    let patient = patient.await.unwrap();
    assert!(patient.is_reused());
    pool.keep(patient, MAX_IDLE);
    tokio::time::sleep(PAUSE).await;
    let strict = pool.open(&key, settings(STRICT_IDLE_MS), None);
    let is_reused = strict.await.unwrap().is_reused();
    assert!(!is_reused, "reused after {:?} without a byte", 2 * PAUSE);
    let patient = pool.open(&key, settings(PATIENT_IDLE_MS), None);
    assert!(patient.await.unwrap().is_reused());
}
