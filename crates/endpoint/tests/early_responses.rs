//! Services and engines that answer before they have read the request, then end their side of
//! the connection in order; and responses with a status that HTTP does not define.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use bytes::Bytes;
use parsleylatch_endpoint::{EngineClient, ServiceClient};
use parsleylatch_types::{AttemptNumber, Millis, Priority, RequestId, TokenCount};
use parsleylatch_wire::engine::{StreamEvent, StreamRequest};
use test_case::test_case;

const TIMEOUT_MS: Millis = Millis::new(5_000);
/// Larger than what the sockets of both sides take in while nobody reads.
const REQUEST_BYTES: usize = 1 << 20;

/// Starts a server that answers once a part of the head has arrived, and reads nothing more.
fn start_early_server(response: String) -> SocketAddr {
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

fn stream_request(prompt: String) -> StreamRequest {
    StreamRequest {
        request_id: RequestId::generate(),
        attempt: AttemptNumber::new(1),
        endpoint_version: "v1".parse().unwrap(),
        model: "m".parse().unwrap(),
        adapter: None,
        prompt,
        prefix: Vec::new(),
        max_tokens: TokenCount::new(3),
        seed: None,
        priority: Priority::new(1),
    }
}

/// A stream that consists of its end.
fn finished_event() -> String {
    let event = StreamEvent::Finished {
        tokens: TokenCount::new(0),
    };
    format!("data: {}\n\n", serde_json::to_string(&event).unwrap())
}

/// Guards against handing a part of an answer, or an invalid status, to the caller of the
/// node. A once-only call isn't sent again: the error doesn't say that it was unsent.
#[test_case("HTTP/1.1 200 OK\r\n\r\n{}" ; "no length")]
#[test_case("HTTP/1.0 200 OK\r\n\r\n{}" ; "HTTP 1.0")]
#[test_case("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}" ; "connection close")]
#[test_case("HTTP/1.1 600 X\r\nContent-Length: 2\r\n\r\n{}" ; "status 600")]
#[test_case("HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\n{}" ; "status 999")]
#[tokio::test]
async fn call_service_response_invalid(response: &str) {
    let peer = start_early_server(response.to_owned());
    let operation = "book".parse().unwrap();
    let body = Bytes::from(vec![b'u'; REQUEST_BYTES]);
    let client = ServiceClient::new();
    let called = client.call(
        peer,
        &operation,
        RequestId::generate(),
        "",
        body,
        TIMEOUT_MS,
    );
    let error = called.await.unwrap_err();
    assert!(!error.is_unsent(), "{error}");
}

/// Guards against taking the end of a stream for its completion although the engine has not
/// read the prompt.
#[tokio::test]
async fn open_engine_stream_ended_early() {
    let peer = start_early_server("HTTP/1.1 200 OK\r\n\r\n".to_owned());
    let request = stream_request("u".repeat(REQUEST_BYTES));
    let client = EngineClient::new();
    let mut stream = client.open(peer, &request, "").await.unwrap();
    let event = stream
        .next()
        .await
        .expect("the end is reported as an error");
    assert!(event.is_err(), "{event:?}");
}

/// Guards against reading a stream under a status that HTTP does not define.
#[test_case(600 ; "600")]
#[test_case(999 ; "999")]
#[tokio::test]
async fn open_engine_stream_invalid_status(status: u16) {
    let event = finished_event();
    let peer = start_early_server(format!("HTTP/1.1 {status} X\r\n\r\n{event}"));
    let (client, request) = (EngineClient::new(), stream_request(String::new()));
    let opened = client.open(peer, &request, "").await;
    let error = opened.err().unwrap();
    assert!(error.to_string().contains("invalid status"), "{error}");
}
