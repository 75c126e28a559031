//! A service that answers a long call before it has read it, then ends the connection in order.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use parsleylatch::{
    bench::caller::Caller,
    types::RequestId,
    wire::platform::{VmEntry, VmListReply},
};
use parsleylatch_http::Client;
use serde_json::{Value, json};
use test_case::test_case;

use crate::harness::{EVENT_TIMEOUT, FleetSpec, RunningFleet, signal};

/// Larger than what the sockets of both sides take in while nobody reads, and within the node's
/// limit on bodies.
const CALL_BYTES: usize = 900 << 10;

/// Starts a service that answers each call without reading it; counts the calls.
fn start_early_service(response: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&calls);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            counted.fetch_add(1, Ordering::Relaxed);
            thread::spawn(move || {
                let _ = stream.read(&mut [0; 1_024]);
                let _ = stream.write_all(response.as_bytes());
                let _ = stream.shutdown(Shutdown::Write);
                thread::sleep(Duration::from_millis(400));
            });
        }
    });
    (address, calls)
}

/// Replaces the only service of a fleet.
async fn replace_service(running: &RunningFleet, address: SocketAddr) {
    let list: VmListReply = Client::new()
        .get_json(running.fleet.vm_list.address, "/v1/vms", EVENT_TIMEOUT)
        .await
        .unwrap();
    let mut vms = list.vms.into_iter();
    let listed = vms.find(|vm| vm.id.as_str() == "service-1").unwrap();
    let replaced = VmEntry { address, ..listed };
    running
        .post(running.fleet.vm_list.control, "/vms", &replaced)
        .await;
    signal(running.fleet.services[0].pid, "KILL");
}

/// Status and body of one call of an operation.
async fn call(caller: &Caller, operation: &str) -> (u16, Value) {
    let body = json!({ "text": "u".repeat(CALL_BYTES) });
    let called = caller.call_service(RequestId::generate(), operation, &body);
    let reply = called.await.unwrap();
    let body = serde_json::from_slice(&reply.body).expect("the body is JSON");
    (reply.status.as_u16(), body)
}

/// Guards against handing the begun answer to the caller, and against sending a once-only call
/// again, which may have run.
#[test_case("dispatch/book", "HTTP/1.1 200 OK\r\n\r\n{}" ; "once only")]
#[test_case("dispatch/book", "HTTP/1.0 200 OK\r\n\r\n{}" ; "once only HTTP 1.0")]
#[test_case("dispatch/status", "HTTP/1.1 200 OK\r\n\r\n{}" ; "idempotent")]
#[tokio::test]
async fn call_early_response_incomplete(operation: &str, response: &'static str) {
    let running = RunningFleet::start(FleetSpec {
        nodes: 1,
        engines: 0,
        services: 1,
        options: &[],
    })
    .await;
    let (address, calls) = start_early_service(response);
    replace_service(&running, address).await;
    let caller = running.paying_caller(0);
    let started_at = Instant::now();
    let (status, body) = loop {
        let replied = call(&caller, operation).await;
        if calls.load(Ordering::Relaxed) > 0 {
            break replied;
        }
        assert!(started_at.elapsed() < EVENT_TIMEOUT, "{replied:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    };
    assert!(matches!(status, 502 | 504), "{status} {body}");
    assert_ne!(body["not_run"], true, "{body}");
    assert_eq!(calls.load(Ordering::Relaxed), 1);
}
