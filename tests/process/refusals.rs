//! Bad requests are refused clearly, and "not run" is true.

use std::net::SocketAddr;

use bytes::Bytes;
use parsleylatch_http::Client;
use test_case::test_case;

use crate::harness::{EVENT_TIMEOUT, Running, Shape};

const SMALL: Shape<'_> = Shape {
    nodes: 1,
    engines: 1,
    services: 1,
    options: &[],
};
const KEY: &str = "Bearer local-paying-key";
const GENERATIONS: &str = "/v1/generations";

struct Ask<'a> {
    path: &'a str,
    key: &'a str,
    request_id: Option<&'a str>,
    body: String,
}

async fn send(node: SocketAddr, ask: Ask<'_>) -> (u16, serde_json::Value) {
    let mut request = http::Request::post(ask.path).header("authorization", ask.key);
    if let Some(id) = ask.request_id {
        request = request.header("request-id", id);
    }
    let reply = Client::new()
        .call(node, request, Bytes::from(ask.body), EVENT_TIMEOUT)
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
    let running = Running::start(SMALL).await;
    let node = running.fleet.nodes[0].caller;
    let oversize = format!(r#"{{"model":"drafts","prompt":"{}"}}"#, "x".repeat(1 << 20));
    let uuid_v4 = "7f7b2a5e-6a5c-4b5c-9d3e-3f1c2b4a5d6e";
    let cases: [(&str, Option<&str>, String, u16, &str); 9] = [
        (KEY, None, oversize, 413, "larger than 1048576B"),
        (KEY, None, "{\"model\":".to_owned(), 400, "line 1 column"),
        (
            KEY,
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
            KEY,
            None,
            generation("other", 5),
            403,
            "may not use model other",
        ),
        (
            KEY,
            None,
            generation("drafts", 0),
            400,
            "max_tokens 0tok is not in 1tok to 4096tok",
        ),
        (
            KEY,
            None,
            generation("drafts", 4_097),
            400,
            "max_tokens 4097tok",
        ),
        (
            KEY,
            Some(uuid_v4),
            generation("drafts", 5),
            400,
            "UUID of version 7",
        ),
    ];
    for (key, request_id, body, status, reason) in cases {
        let ask = Ask {
            path: GENERATIONS,
            key,
            request_id,
            body,
        };
        let (seen, problem) = send(node, ask).await;
        assert_eq!(seen, status, "{problem}");
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
        "refusals that say not run are true"
    );
}

#[test_case("dispatch/launch", 403, "may not call dispatch/launch" ; "unknown operation")]
#[test_case("ledger/status", 403, "may not call ledger/status" ; "unknown service")]
#[tokio::test]
async fn call_service_refused(path: &str, status: u16, reason: &str) {
    let running = Running::start(SMALL).await;
    let path = format!("/v1/services/{path}");
    let ask = Ask {
        path: &path,
        key: KEY,
        request_id: None,
        body: "{}".to_owned(),
    };
    let (seen, problem) = send(running.fleet.nodes[0].caller, ask).await;
    assert_eq!(seen, status, "{problem}");
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
