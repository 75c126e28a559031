//! Engines that refuse a stream with a body without end.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

use parsleylatch_endpoint::{EngineClient, EngineErrorKind};
use parsleylatch_types::{AttemptNumber, Priority, RequestId, TokenCount};
use parsleylatch_wire::engine::StreamRequest;
use test_case::test_case;

/// Longest reason that a caller is told.
const REASON_LIMIT: usize = 16 << 10;
const CALL_LIMIT: Duration = Duration::from_secs(8);

/// Starts a server that refuses each request with `part` again and again.
fn start_endless_server(part: &'static [u8], pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 4_096]).unwrap();
            let head = "HTTP/1.1 503 X\r\nContent-Length: 1000000000000\r\n\r\n";
            stream.write_all(head.as_bytes()).unwrap();
            while stream.write_all(part).is_ok() {
                thread::sleep(pause);
            }
        }
    });
    address
}

/// The reason of a refusal is read up to a size and for a limited time.
#[test_case(&[b'x'; 8_192], Duration::ZERO ; "fast")]
#[test_case(b"x", Duration::from_millis(50) ; "slow")]
#[tokio::test]
async fn refusal_without_end_bounded(part: &'static [u8], pause: Duration) {
    let peer = start_endless_server(part, pause);
    let request = StreamRequest {
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
    };
    let client = EngineClient::new();
    let opened = tokio::time::timeout(CALL_LIMIT, client.open(peer, &request, "-")).await;
    let error = opened
        .expect("the refusal is read without end")
        .err()
        .unwrap();
    let EngineErrorKind::Refused { status, reason } = error.kind else {
        panic!("{error}")
    };
    assert_eq!(status.as_u16(), 503);
    assert!(reason.len() <= REASON_LIMIT, "{} bytes", reason.len());
}
