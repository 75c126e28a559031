//! Connections beyond what a node can hold are answered or refused, and none waits unnoticed.

use std::{
    collections::BTreeMap,
    io::{self, ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use parsleylatch::types::RequestId;
use test_case::test_case;
use tokio::time::sleep;

use crate::{
    extra_node::ExtraNode,
    harness::{FleetSpec, RunningFleet},
};

const FLEET: FleetSpec<'_> = FleetSpec {
    nodes: 1,
    engines: 1,
    services: 1,
    options: &["--pace-ms", "100"],
};
/// File descriptors of a node that is full soon.
const FEW_DESCRIPTORS: u32 = 320;
/// File descriptors that end before the places of the admin address.
const FEWER_DESCRIPTORS: u32 = 96;
/// Clients that open a connection and rest.
const RESTING_CLIENTS: usize = 300;
/// Places for callers of a node with these descriptors, shared by its traffic threads.
const CALLER_PLACES: usize = 25;
/// Callers whose generations run.
const BUSY_CALLERS: usize = 200;
/// Time within which a new client is answered.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);
/// Time in which a new node reads its configuration.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(10);

/// Streams of events that a node serves at a time.
const EVENT_STREAMS: usize = 64;
const EVENTS_REQUEST: &str =
    "GET /admin/v1/events HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer read\r\n\r\n";
const COUNTERS_REQUEST: &str = "GET /admin/v1/counters HTTP/1.1\r\nHost: x\r\n\
     Authorization: Bearer read\r\nConnection: close\r\n\r\n";
const READINESS_CHECK: &str = "GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n";

/// Text of a call, which the only service answers.
fn call_request() -> String {
    format!(
        "POST /v1/services/dispatch/status HTTP/1.1\r\nHost: x\r\n\
         Authorization: Bearer local-paying-key\r\nRequest-Id: {}\r\n\
         Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{{}}",
        RequestId::generate()
    )
}

/// Text of a request for a generation of some seconds.
fn generation_request() -> String {
    let body = r#"{"model":"drafts","prompt":"p","max_tokens":60}"#;
    format!(
        "POST /v1/generations HTTP/1.1\r\nHost: x\r\n\
         Authorization: Bearer local-paying-key\r\nRequest-Id: {}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        RequestId::generate(),
        body.len()
    )
}

fn connect(address: SocketAddr, text: &str) -> TcpStream {
    let mut client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(ANSWER_LIMIT)).unwrap();
    client.write_all(text.as_bytes()).unwrap();
    client
}

/// Start of the response, with its head if it came at once.
fn read_head(client: &mut TcpStream) -> io::Result<String> {
    let mut buffer = [0; 4_096];
    let length = client.read(&mut buffer)?;
    Ok(String::from_utf8_lossy(&buffer[..length]).into_owned())
}

fn status_of(address: SocketAddr, text: &str) -> Option<String> {
    let head = read_head(&mut connect(address, text)).ok()?;
    head.get(9..12).map(str::to_owned)
}

/// Opens a connection that rests after the response, if the text is a whole request.
fn rest_after(address: SocketAddr, text: &str) -> TcpStream {
    let mut client = connect(address, text);
    if text.ends_with("\r\n\r\n") {
        let _ = read_head(&mut client);
    }
    client
}

/// Starts a node with few descriptors and waits until it serves calls.
async fn start_small(running: &RunningFleet) -> ExtraNode {
    start_with_descriptors(running, FEW_DESCRIPTORS).await
}

async fn start_with_descriptors(running: &RunningFleet, descriptors: u32) -> ExtraNode {
    let node = ExtraNode::start_with_descriptors(running, descriptors);
    let started_at = Instant::now();
    while status_of(node.caller, &call_request()).as_deref() != Some("200") {
        assert!(started_at.elapsed() < CONFIGURATION_LIMIT);
        sleep(Duration::from_millis(50)).await;
    }
    node
}

#[derive(Clone, Copy)]
enum Listener {
    Caller,
    Admin,
}

/// Clients that rested on a node's connections took all its descriptors, so that callers and
/// readiness checks were not answered.
#[test_case(Listener::Caller, "" ; "callers without a byte")]
#[test_case(Listener::Caller, "POST /v1/generations HTTP/1.1\r\nHost: x" ; "callers in a head")]
#[test_case(Listener::Caller, "GET /v1/calls/1 HTTP/1.1\r\nHost: x\r\n\r\n" ; "callers after a response")]
#[test_case(Listener::Admin, "" ; "operators without a byte")]
#[test_case(Listener::Admin, READINESS_CHECK ; "operators after a response")]
#[tokio::test(flavor = "multi_thread")]
async fn resting_clients_give_way(listener: Listener, text: &str) {
    let running = RunningFleet::start(FLEET).await;
    let node = start_small(&running).await;
    let address = match listener {
        Listener::Caller => node.caller,
        Listener::Admin => node.admin,
    };
    let _resting: Vec<_> = (0..RESTING_CLIENTS)
        .map(|_| rest_after(address, text))
        .collect();
    let call = status_of(node.caller, &call_request());
    let check = status_of(node.admin, READINESS_CHECK);
    let expected = (Some("200"), Some("200"));
    assert_eq!((call.as_deref(), check.as_deref()), expected);
}

/// A node whose descriptors end before its places failed to accept anybody.
#[tokio::test(flavor = "multi_thread")]
async fn clients_beyond_descriptors_give_way() {
    let running = RunningFleet::start(FLEET).await;
    let node = start_with_descriptors(&running, FEWER_DESCRIPTORS).await;
    let _resting: Vec<_> = (0..RESTING_CLIENTS)
        .map(|_| connect(node.admin, ""))
        .collect();
    let check = status_of(node.admin, READINESS_CHECK);
    assert_eq!(check.as_deref(), Some("200"));
    let mut counters = String::new();
    let mut reader = connect(node.admin, COUNTERS_REQUEST);
    reader.read_to_string(&mut counters).unwrap();
    assert!(counters.contains("accepts_failed"), "{counters}");
    assert!(!counters.contains("\"accepts_failed\":0"), "{counters}");
}

/// Callers that came to a node whose connections were all in use waited without a word, and
/// the requests that it had accepted found no descriptors.
#[tokio::test(flavor = "multi_thread")]
async fn callers_beyond_limit_refused() {
    let running = RunningFleet::start(FLEET).await;
    let node = start_small(&running).await;
    let mut busy: Vec<_> = (0..BUSY_CALLERS)
        .map(|_| connect(node.caller, &generation_request()))
        .collect();
    let mut outcomes = BTreeMap::<String, usize>::new();
    for caller in &mut busy {
        let outcome = match read_head(caller) {
            Ok(head) if head.is_empty() => "closed".to_owned(),
            Ok(head) => head[9..12].to_owned(),
            Err(error) if error.kind() == ErrorKind::ConnectionReset => "closed".to_owned(),
            Err(_) => "unanswered".to_owned(),
        };
        *outcomes.entry(outcome).or_default() += 1;
    }
    println!("{outcomes:?}");
    assert!(!outcomes.contains_key("unanswered"), "{outcomes:?}");
    assert!(outcomes["200"] >= CALLER_PLACES, "{outcomes:?}");
    assert!(outcomes.contains_key("429"), "{outcomes:?}");
    assert_eq!(
        status_of(node.admin, READINESS_CHECK).as_deref(),
        Some("200")
    );
}

/// Streams of events take no places that readiness checks need.
#[tokio::test(flavor = "multi_thread")]
async fn check_answered_beside_event_streams() {
    let running = RunningFleet::start(FLEET).await;
    let node = start_small(&running).await;
    let mut streams: Vec<_> = (0..EVENT_STREAMS)
        .map(|_| connect(node.admin, EVENTS_REQUEST))
        .collect();
    for stream in &mut streams {
        assert!(read_head(stream).unwrap().starts_with("HTTP/1.1 200"));
    }
    assert_eq!(
        status_of(node.admin, READINESS_CHECK).as_deref(),
        Some("200")
    );
}

/// Time after which a place whose caller doesn't complete its body is free.
const UNFINISHED_BODY_LIMIT: Duration = Duration::from_secs(15);

/// Callers that didn't send the bodies of their requests held their places for ever.
#[tokio::test(flavor = "multi_thread")]
async fn unfinished_bodies_refused() {
    let running = RunningFleet::start(FLEET).await;
    let node = start_small(&running).await;
    let unfinished = generation_request().replace("\r\n\r\n{", "0\r\n\r\n{");
    let _unfinished: Vec<_> = (0..BUSY_CALLERS)
        .map(|_| connect(node.caller, &unfinished))
        .collect();
    let started_at = Instant::now();
    while status_of(node.caller, &call_request()).as_deref() != Some("200") {
        assert!(started_at.elapsed() < UNFINISHED_BODY_LIMIT);
        sleep(Duration::from_millis(200)).await;
    }
}
