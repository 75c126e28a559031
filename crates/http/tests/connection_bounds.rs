//! Clients that rest on their connections don't keep others out.

use std::{
    future::{pending, ready},
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use parsleylatch_http::{NodelayListener, ServerBounds, bind_group, serve_bounded, serve_status};
use parsleylatch_runtime::{ConnectionEvent, Connections};
use test_case::test_case;
use viz::{Result, Router};

/// More clients than a listener has places.
const RESTING_CLIENTS: usize = 100;
/// Time within which a new client is answered.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// Places of a listener that is full soon, and the time that its handler takes.
const FEW_PLACES: usize = 4;
const SLOW_ANSWER: Duration = Duration::from_millis(1_500);
/// Clients that connect and send requests at the same time.
const BURST_CLIENTS: usize = 32;

/// Response that doesn't fit in the buffers of its connection.
const LARGE_ANSWER_BYTES: usize = 16 << 20;
/// Time after which a place whose client doesn't read is free.
const UNREAD_LIMIT: Duration = Duration::from_secs(15);

const REQUEST: &str = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

async fn answer(_: viz::Request) -> Result<&'static str> {
    Ok("ok")
}

async fn answer_slowly(_: viz::Request) -> Result<&'static str> {
    tokio::time::sleep(SLOW_ANSWER).await;
    Ok("ok")
}

async fn answer_large(_: viz::Request) -> Result<Vec<u8>> {
    Ok(vec![b'x'; LARGE_ANSWER_BYTES])
}

fn bind() -> (SocketAddr, NodelayListener) {
    let (address, listeners) = bind_group("127.0.0.1:0".parse().unwrap(), 1).unwrap();
    let listener = listeners.into_iter().next().unwrap();
    (address, NodelayListener::from_std(listener).unwrap())
}

fn start_status() -> SocketAddr {
    let (address, listener) = bind();
    let router = Router::new().get("/", answer);
    tokio::spawn(serve_status(listener, router, "status", |_| {}));
    address
}

fn connect(address: SocketAddr, text: &str) -> TcpStream {
    let mut client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(ANSWER_LIMIT)).unwrap();
    client.write_all(text.as_bytes()).unwrap();
    client
}

/// Reads the response; `None` if none came within [`ANSWER_LIMIT`].
fn read_response(client: &mut TcpStream) -> Option<String> {
    let mut received = Vec::new();
    let mut buffer = [0; 1_024];
    while !received.ends_with(b"ok") {
        match client.read(&mut buffer).ok()? {
            0 => break,
            length => received.extend_from_slice(&buffer[..length]),
        }
    }
    String::from_utf8(received).ok()
}

/// A readiness check was not answered while 64 clients rested on the listener's places.
#[test_case("" ; "without a byte")]
#[test_case("GET / HTTP/1.1\r\nHost: x\r\nX-Part: " ; "in a head")]
#[test_case(REQUEST ; "after a response")]
#[tokio::test]
async fn status_check_answered(text: &'static str) {
    let address = start_status();
    let answered = tokio::task::spawn_blocking(move || {
        let _resting: Vec<_> = (0..RESTING_CLIENTS)
            .map(|_| connect(address, text))
            .collect();
        read_response(&mut connect(address, REQUEST))
    });
    let response = answered.await.unwrap();
    let response = response.expect("a response within the limit");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

fn refuse() -> viz::Response {
    let refusal = http::Response::builder().status(503);
    refusal
        .header("retry-after", "1")
        .body(http_body_util::Full::from("not ok").into())
        .unwrap()
}

/// Starts a server with [`FEW_PLACES`]; returns its address and a count of refusals.
fn start_small() -> (SocketAddr, Arc<AtomicUsize>) {
    let (address, listener) = bind();
    let router = Router::new()
        .get("/", answer)
        .get("/slow", answer_slowly)
        .get("/large", answer_large);
    let (bounds, refused) = small_bounds();
    tokio::spawn(serve_bounded(listener, router, bounds, pending::<()>()));
    (address, refused)
}

/// Bounds of [`FEW_PLACES`], and a count of refusals.
fn small_bounds() -> (ServerBounds, Arc<AtomicUsize>) {
    let refused = Arc::new(AtomicUsize::new(0));
    let connections = Connections::new("small", FEW_PLACES, {
        let refused = Arc::clone(&refused);
        move |event| {
            if event == ConnectionEvent::Refused {
                refused.fetch_add(1, Ordering::Relaxed);
            }
        }
    });
    let bounds = ServerBounds {
        connections,
        refusal: refuse,
    };
    (bounds, refused)
}

/// A client that comes while all others wait for responses is refused at once, and the others
/// get their responses.
#[tokio::test]
async fn new_client_refused() {
    let (address, refused) = start_small();
    let clients = tokio::task::spawn_blocking(move || {
        let slow = REQUEST.replace("/ HTTP", "/slow HTTP");
        let mut busy: Vec<_> = (0..FEW_PLACES).map(|_| connect(address, &slow)).collect();
        std::thread::sleep(Duration::from_millis(200));
        let started_at = Instant::now();
        let refusal = read_response(&mut connect(address, REQUEST)).unwrap();
        let refused_in = started_at.elapsed();
        let responses: Vec<_> = busy.iter_mut().map(read_response).collect();
        (refusal, refused_in, responses)
    });
    let (refusal, refused_in, responses) = clients.await.unwrap();
    assert!(refusal.starts_with("HTTP/1.1 503"), "{refusal}");
    assert!(refusal.contains("retry-after: 1"), "{refusal}");
    assert!(refusal.contains("connection: close"), "{refusal}");
    assert!(refused_in < Duration::from_secs(1), "{refused_in:?}");
    for response in responses {
        let response = response.expect("a response within the limit");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    assert_eq!(refused.load(Ordering::Relaxed), 1);
}

/// Whole requests that arrive together, more than the places, are each answered or refused.
#[tokio::test]
async fn burst_answered_or_refused() {
    let (address, refused) = start_small();
    let statuses = tokio::task::spawn_blocking(move || {
        let mut clients: Vec<_> = (0..BURST_CLIENTS)
            .map(|_| connect(address, REQUEST))
            .collect();
        let responses = clients.iter_mut().map(read_response);
        responses
            .map(|it| it.and_then(|text| text.get(9..12).map(str::to_owned)))
            .collect::<Vec<_>>()
    });
    let statuses = statuses.await.unwrap();
    let count = |status: &str| {
        let matching = statuses.iter().filter(|it| it.as_deref() == Some(status));
        matching.count()
    };
    assert_eq!(count("200") + count("503"), BURST_CLIENTS, "{statuses:?}");
    assert!(count("200") >= FEW_PLACES, "{statuses:?}");
    assert_eq!(count("503"), refused.load(Ordering::Relaxed));
}

/// Clients that don't read their responses held their places for ever.
#[tokio::test]
async fn unread_responses_closed() {
    let (address, _) = start_small();
    let is_served = tokio::task::spawn_blocking(move || {
        let large = REQUEST.replace("/ HTTP", "/large HTTP");
        let _unread: Vec<_> = (0..FEW_PLACES).map(|_| connect(address, &large)).collect();
        let started_at = Instant::now();
        std::iter::repeat_with(|| {
            std::thread::sleep(Duration::from_millis(200));
            read_response(&mut connect(address, REQUEST))
        })
        .take_while(|_| started_at.elapsed() < UNREAD_LIMIT)
        .flatten()
        .any(|response| response.starts_with("HTTP/1.1 200"))
    });
    assert!(is_served.await.unwrap(), "no place after {UNREAD_LIMIT:?}");
}

/// Requests whose connections waited in the kernel's queue at a stop were reset and not counted.
#[tokio::test(flavor = "multi_thread")]
async fn stop_waiting_requests_refused() {
    let (address, listener) = bind();
    let mut clients: Vec<_> = (0..BURST_CLIENTS)
        .map(|_| connect(address, REQUEST))
        .collect();
    let (bounds, refused) = small_bounds();
    let router = Router::new().get("/", answer);
    serve_bounded(listener, router, bounds, ready(())).await;
    let responses: Vec<_> = clients.iter_mut().map(read_response).collect();
    for response in responses {
        let response = response.unwrap_or_default();
        assert!(response.starts_with("HTTP/1.1 503"), "{response:?}");
    }
    assert_eq!(refused.load(Ordering::Relaxed), BURST_CLIENTS);
}
