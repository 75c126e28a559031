//! Calls to a server that sends without end, and to one that is sound.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::Request;
use parsleylatch_http::{Client, HttpError, Reply};
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
