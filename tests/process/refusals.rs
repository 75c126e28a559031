//! Invalid requests are refused with a specific reason, and a refusal that says "not run"
//! has not reached any engine or service.

use std::net::SocketAddr;

use bytes::Bytes;
use parsleylatch_http::Client;
use test_case::test_case;

use crate::harness::{EVENT_TIMEOUT, FleetSpec, RunningFleet};

const SMALL_FLEET: FleetSpec<'_> = FleetSpec {
    nodes: 1,
    engines: 1,
    services: 1,
    options: &[],
};
const AUTHORIZATION: &str = "Bearer local-paying-key";
const GENERATIONS_PATH: &str = "/v1/generations";

struct CallerRequest<'a> {
    path: &'a str,
    authorization: &'a str,
    request_id: Option<&'a str>,
    body: String,
}

async fn send(node: SocketAddr, caller_request: CallerRequest<'_>) -> (u16, serde_json::Value) {
    let mut request = http::Request::post(caller_request.path)
        .header("authorization", caller_request.authorization);
    if let Some(id) = caller_request.request_id {
        request = request.header("request-id", id);
    }
    let reply = Client::new()
        .call(
            node,
            request,
            Bytes::from(caller_request.body),
            EVENT_TIMEOUT,
        )
        .await
        .unwrap();
    assert_eq!(reply.headers["content-type"], "application/problem+json");
    (
        reply.status.as_u16(),
        serde_json::from_slice(&reply.body).unwrap(),
    )
}

fn generation(model: &str, max_tokens: i64) -> String {
    format!(r#"{{"model":"{model}","prompt":"p","max_tokens":{max_tokens}}}"#)
}

#[tokio::test]
async fn generate_bad_request() {
    let running = RunningFleet::start(SMALL_FLEET).await;
    let node = running.fleet.nodes[0].caller;
    let oversize = format!(r#"{{"model":"drafts","prompt":"{}"}}"#, "x".repeat(1 << 20));
    let uuid_v4 = "7f7b2a5e-6a5c-4b5c-9d3e-3f1c2b4a5d6e";
    let cases: [(&str, Option<&str>, String, u16, &str); 9] = [
        (AUTHORIZATION, None, oversize, 413, "larger than 1048576B"),
        (
            AUTHORIZATION,
            None,
            "{\"model\":".to_owned(),
            400,
            "line 1 column",
        ),
        (
            AUTHORIZATION,
            None,
            r#"{"model":"drafts"}"#.to_owned(),
            400,
            "missing field `prompt`",
        ),
        (
            "Bearer nobody",
            None,
            generation("drafts", 5),
            401,
            "no workspace has the key",
        ),
        (
            "",
            None,
            generation("drafts", 5),
            401,
            "no workspace has the key",
        ),
        (
            AUTHORIZATION,
            None,
            generation("other", 5),
            403,
            "may not use model other",
        ),
        (
            AUTHORIZATION,
            None,
            generation("drafts", 0),
            400,
            "max_tokens 0tok is not in 1tok to 4096tok",
        ),
        (
            AUTHORIZATION,
            None,
            generation("drafts", 4_097),
            400,
            "max_tokens 4097tok",
        ),
        (
            AUTHORIZATION,
            Some(uuid_v4),
            generation("drafts", 5),
            400,
            "UUID of version 7",
        ),
    ];
    for (authorization, request_id, body, status, reason) in cases {
        let caller_request = CallerRequest {
            path: GENERATIONS_PATH,
            authorization,
            request_id,
            body,
        };
        let (actual_status, problem) = send(node, caller_request).await;
        assert_eq!(actual_status, status, "{problem}");
        assert_eq!(problem["not_run"], true, "{problem}");
        assert!(
            problem["detail"].as_str().unwrap().contains(reason),
            "{problem}"
        );
    }
    let counters = running
        .get(running.fleet.engines[0].control, "/counters")
        .await;
    assert_eq!(
        counters["streams_opened"], 0,
        "a request refused as not run reached the engine"
    );
}

#[test_case("dispatch/launch", 403, "may not call dispatch/launch" ; "unknown operation")]
#[test_case("ledger/status", 403, "may not call ledger/status" ; "unknown service")]
#[tokio::test]
async fn call_service_refused(path: &str, status: u16, reason: &str) {
    let running = RunningFleet::start(SMALL_FLEET).await;
    let path = format!("/v1/services/{path}");
    let caller_request = CallerRequest {
        path: &path,
        authorization: AUTHORIZATION,
        request_id: None,
        body: "{}".to_owned(),
    };
    let (actual_status, problem) = send(running.fleet.nodes[0].caller, caller_request).await;
    assert_eq!(actual_status, status, "{problem}");
    assert_eq!(problem["not_run"], true, "{problem}");
    assert!(
        problem["detail"].as_str().unwrap().contains(reason),
        "{problem}"
    );
    let runs = running
        .get(running.fleet.services[0].control, "/runs")
        .await;
    assert_eq!(runs.as_object().unwrap().len(), 0);
}
