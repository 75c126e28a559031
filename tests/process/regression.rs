//! Regression tests, one for each bug.

use std::time::Duration;

use tokio::io::AsyncWriteExt as _;

use crate::harness::{FleetSpec, RunningFleet};

/// Guards against polling a stream after its end: when a caller read nothing while its
/// generation ended, the ended stream was polled in a loop, which starved the traffic
/// thread and its timers.
#[tokio::test]
async fn generate_ended_stream_polled_again() {
    let running = RunningFleet::start(FleetSpec {
        nodes: 1,
        engines: 1,
        services: 0,
        options: &["--pace-ms", "0"],
    })
    .await;
    let node = running.fleet.nodes[0].caller;
    let connection = tokio::net::TcpSocket::new_v4().unwrap();
    connection.set_recv_buffer_size(4_096).unwrap();
    let mut connection = connection.connect(node).await.unwrap();
    let body = r#"{"model":"drafts","prompt":"p","max_tokens":4096}"#;
    let head = format!(
        "POST /v1/generations HTTP/1.1\r\nhost: n\r\nauthorization: Bearer local-paying-key\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    connection
        .write_all(format!("{head}{body}").as_bytes())
        .await
        .unwrap();
    running.await_counter(0, "generations_accepted", 1).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    running.await_counter(0, "generations_cancelled", 1).await;
    drop(connection);
}
