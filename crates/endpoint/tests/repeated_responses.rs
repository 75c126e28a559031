//! Services and engines that write an earlier response once more on a connection that
//! carries a later request. Responses have no id, so none is read on such a connection.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

use bytes::Bytes;
use parsleylatch_endpoint::{EngineClient, EngineErrorKind, ServiceClient};
use parsleylatch_types::{AttemptNumber, Millis, Priority, RequestId, TokenCount};
use parsleylatch_wire::engine::{StreamEvent, StreamRequest};
use test_case::test_case;

const TIMEOUT_MS: Millis = Millis::new(5_000);

/// Starts a server that answers the n-th request on all connections with `responses[n]`,
/// and writes the previous response once more before if the connection carried it.
fn start_repeating_server(responses: Vec<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut responses = responses.into_iter();
        for stream in listener.incoming().flatten() {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut writer = stream;
            let mut earlier = String::new();
            while read_request(&mut reader) {
                let Some(response) = responses.next() else {
                    return;
                };
                // Fails if the client has closed the connection.
                let _ = writer.write_all((earlier + &response).as_bytes());
                earlier = response;
            }
        }
    });
    address
}

/// Reads a request; returns whether there was one.
fn read_request(reader: &mut BufReader<TcpStream>) -> bool {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            return false;
        }
        let line = line.trim_end().to_ascii_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap();
        }
    }
    reader.read_exact(&mut vec![0; length]).is_ok()
}

fn response(status: u16, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\nContent-Length: {length}\r\n\r\n{body}")
}

#[test_case(503 ; "refusal")]
#[test_case(200 ; "answer")]
#[tokio::test]
async fn repeated_response_of_service(status: u16) {
    let peer = start_repeating_server(vec![response(status, "first"), response(200, "second")]);
    let client = ServiceClient::new();
    let operation = "status".parse().unwrap();
    let mut answers = Vec::new();
    for _ in 0..2 {
        let id = RequestId::generate();
        let body = Bytes::from_static(b"{}");
        let called = client.call(peer, &operation, id, "", body, TIMEOUT_MS);
        let answer = called.await.unwrap();
        answers.push((answer.status.as_u16(), answer.body));
    }
    assert_eq!(answers[0], (status, Bytes::from_static(b"first")));
    assert_eq!(answers[1], (200, Bytes::from_static(b"second")));
}

fn stream_request() -> StreamRequest {
    StreamRequest {
        request_id: RequestId::generate(),
        attempt: AttemptNumber::new(1),
        endpoint_version: "v1".parse().unwrap(),
        model: "m".parse().unwrap(),
        adapter: None,
        prompt: "prompt".to_owned(),
        prefix: Vec::new(),
        max_tokens: TokenCount::new(3),
        seed: None,
        priority: Priority::new(1),
    }
}

/// A stream that consists of its end.
fn stream(tokens: u32) -> String {
    let event = StreamEvent::Finished {
        tokens: TokenCount::new(tokens),
    };
    let data = serde_json::to_string(&event).unwrap();
    response(200, &format!("data: {data}\n\n"))
}

async fn finished_tokens(client: &EngineClient, peer: SocketAddr) -> TokenCount {
    let mut stream = client.open(peer, &stream_request(), "").await.unwrap();
    let event = stream.next().await.unwrap().unwrap();
    assert!(stream.next().await.is_none());
    match event {
        StreamEvent::Finished { tokens } => tokens,
        other => panic!("{other:?}"),
    }
}

#[tokio::test]
async fn repeated_stream_of_engine() {
    let peer = start_repeating_server(vec![stream(1), stream(2)]);
    let client = EngineClient::new();
    assert_eq!(finished_tokens(&client, peer).await, TokenCount::new(1));
    assert_eq!(finished_tokens(&client, peer).await, TokenCount::new(2));
}

#[tokio::test]
async fn repeated_refusal_of_engine() {
    let peer = start_repeating_server(vec![response(503, "full"), stream(2)]);
    let client = EngineClient::new();
    let refused = client.open(peer, &stream_request(), "").await;
    let error = refused.err().unwrap();
    assert!(
        matches!(error.kind, EngineErrorKind::Refused { .. }),
        "{error}"
    );
    assert_eq!(finished_tokens(&client, peer).await, TokenCount::new(2));
}
