//! Idempotent service calls without faults.

use parsleylatch::types::RequestId;
use serde_json::json;

use crate::harness::{FleetSpec, RunningFleet};

#[tokio::test]
async fn call_service_idempotent() {
    let running = RunningFleet::start(FleetSpec {
        nodes: 1,
        engines: 0,
        services: 1,
        options: &[],
    })
    .await;
    let id = RequestId::generate();
    let request_body = json!({ "truck": 7 });
    let reply = running
        .paying_caller(0)
        .call_service(id, "dispatch/status", &request_body)
        .await
        .unwrap();
    assert_eq!(reply.status, 200);
    let answer: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!(answer["echo"], request_body);
    let runs = running
        .get(running.fleet.services[0].control, "/runs")
        .await;
    assert_eq!(runs, json!({ id.to_string(): 1 }));
}
