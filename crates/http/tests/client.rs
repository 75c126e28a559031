//! Calls to a server that sends without end, and to one that is sound.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::Request;
use parsleylatch_http::{Client, HttpError, HttpErrorKind, Reply, check_response_status};
use test_case::test_case;
use tokio::runtime::Builder;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Bound on noticing that a server sends without end.
const FLOOD_LIMIT: Duration = Duration::from_secs(4);

/// Starts a server that answers each request with a head, and then with a text, once or
/// without end.
fn start_server(head: &str, text: &str, is_endless: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (head, text) = (head.to_owned(), text.to_owned());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            serve(stream, &head, &text, is_endless);
        }
    });
    address
}

fn serve(mut stream: TcpStream, head: &str, text: &str, is_endless: bool) {
    // Each request arrives in one piece.
    while stream.read(&mut [0; 4_096]).is_ok_and(|read| read > 0) {
        let mut written = stream.write_all(format!("HTTP/1.1 {head}\r\n\r\n{text}").as_bytes());
        while is_endless && written.is_ok() {
            written = stream.write_all(text.as_bytes());
        }
    }
}

fn call(client: &Client, peer: SocketAddr) -> impl Future<Output = Result<Reply, HttpError>> {
    let request = Request::builder().uri("/");
    client.call(peer, request, Bytes::new(), CALL_TIMEOUT)
}

#[test_case("200 OK\r\nTransfer-Encoding: chunked", &"0".repeat(1_000) ; "chunk size")]
#[test_case("102 Processing", &"HTTP/1.1 102 Processing\r\n\r\n".repeat(50) ; "informational")]
fn call_endless_response_fails_early(head: &str, text: &str) {
    let peer = start_server(head, text, true);
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let started_at = Instant::now();
    let error = runtime.block_on(call(&Client::new(), peer)).unwrap_err();
    let elapsed = started_at.elapsed();
    assert!(elapsed < FLOOD_LIMIT, "{elapsed:?}: {error}");
    assert!(error.to_string().contains("without a head"), "{error}");
}

/// The limit counts from the last progress, not for the life of a connection.
#[test_case("200 OK\r\nContent-Length: 10000", &"x".repeat(10_000) ; "length")]
#[test_case(
    "200 OK\r\nTransfer-Encoding: chunked",
    &format!("{}0\r\n\r\n", "1\r\nx\r\n".repeat(10_000)) ; "many chunks"
)]
fn call_many_responses_received(head: &str, text: &str) {
    let peer = start_server(head, text, false);
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let client = Client::new();
    for _ in 0..20 {
        let reply = runtime.block_on(call(&client, peer)).unwrap();
        assert_eq!(reply.body.len(), 10_000);
    }
}

/// Guards against a changed range of valid statuses.
#[test_case(0, false ; "0")]
#[test_case(99, false ; "99")]
#[test_case(100, true ; "100")]
#[test_case(599, true ; "599")]
#[test_case(600, false ; "600")]
#[test_case(999, false ; "999")]
#[test_case(u16::MAX, false ; "largest")]
fn check_response_status_range(status: u16, is_valid: bool) {
    assert_eq!(check_response_status(status).is_ok(), is_valid);
}

/// Guards against handing on a response with a status that HTTP does not define. The peer may
/// have processed the request, so the call isn't unsent.
#[test_case("600 X" ; "600")]
#[test_case("999 X" ; "999")]
fn call_invalid_status_fails(status: &str) {
    let peer = start_server(&format!("{status}\r\nContent-Length: 4"), "done", false);
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let error = runtime.block_on(call(&Client::new(), peer)).unwrap_err();
    assert!(
        matches!(error.kind, HttpErrorKind::InvalidStatus(_)),
        "{error}"
    );
    assert!(!error.is_unsent());
}

/// Starts a server that answers before it has read the body, ends its side of the connection
/// in order, and reads nothing more.
fn start_early_server(response: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 1_024]).unwrap();
            stream.write_all(response.as_bytes()).unwrap();
            stream.shutdown(Shutdown::Write).unwrap();
            thread::sleep(Duration::from_millis(400));
        }
    });
    address
}

fn upload(response: &'static str, bytes: usize) -> Result<Reply, HttpError> {
    let peer = start_early_server(response);
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    let body = Bytes::from(vec![b'u'; bytes]);
    let request = Request::post("/");
    runtime.block_on(Client::without_reuse().call(peer, request, body, CALL_TIMEOUT))
}

/// Guards against taking a response for complete that has no length and ended before its
/// request was sent.
#[test_case("HTTP/1.1 200 OK\r\n\r\ndone" ; "no length")]
#[test_case("HTTP/1.0 200 OK\r\n\r\ndone" ; "HTTP 1.0")]
#[test_case("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\ndone" ; "connection close")]
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\ndone" ; "part of a length")]
#[test_case("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n" ; "part of chunks")]
fn call_early_end_fails(response: &'static str) {
    for bytes in [512 << 10, 6 << 20] {
        let error = upload(response, bytes).unwrap_err();
        assert!(!error.is_unsent(), "{error}");
    }
}

/// A response that is complete by its framing, or whose request was sent, is one.
#[test_case("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone", 6 << 20 ; "length")]
#[test_case(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
    6 << 20 ; "chunks"
)]
#[test_case("HTTP/1.1 200 OK\r\n\r\ndone", 500 ; "no length after a short request")]
fn call_early_response_complete(response: &'static str, bytes: usize) {
    let reply = upload(response, bytes).unwrap();
    assert_eq!(&reply.body[..], b"done");
}
