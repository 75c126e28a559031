//! Calls of plain services.

use parsleylatch::types::RequestId;
use serde_json::json;

use crate::harness::{Running, Shape};

#[tokio::test]
async fn call_service_idempotent() {
    let running = Running::start(Shape {
        nodes: 1,
        engines: 0,
        services: 1,
        options: &[],
    })
    .await;
    let id = RequestId::generate();
    let ask = json!({ "truck": 7 });
    let reply = running
        .paying(0)
        .call_service(id, "dispatch/status", &ask)
        .await
        .unwrap();
    assert_eq!(reply.status, 200);
    let answer: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(answer["echo"], ask);
    let runs = running
        .get(running.fleet.services[0].control, "/runs")
        .await;
    assert_eq!(runs, json!({ id.to_string(): 1 }));
}
