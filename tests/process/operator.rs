//! Client for a node's administration API and the operators' command line.

use std::{
    net::SocketAddr,
    process::{Command, Output},
};

use bytes::Bytes;
use http::Method;
use parsleylatch_http::{Client, Reply};
use serde_json::Value;

use crate::harness::{EVENT_TIMEOUT, RunningFleet, key_digest};

/// Response of the administration API.
#[derive(Debug)]
pub(crate) struct OperatorResponse {
    pub(crate) status: u16,
    pub(crate) etag: Option<String>,
    pub(crate) body: Value,
}

pub(crate) struct Operator {
    client: Client,
    address: SocketAddr,
    key: String,
}

impl Operator {
    pub(crate) fn new(address: SocketAddr, key: &str) -> Self {
        Self {
            client: Client::new(),
            address,
            key: key.to_owned(),
        }
    }

    /// Returns an operator with every role at a node of a fleet.
    pub(crate) fn at(running: &RunningFleet, node: usize) -> Self {
        Self::new(running.fleet.nodes[node].admin, &running.fleet.admin_key)
    }

    pub(crate) async fn call(
        &self,
        method: Method,
        path: &str,
        etag: Option<&str>,
        body: &str,
    ) -> OperatorResponse {
        let mut request = http::Request::builder()
            .method(method)
            .uri(path)
            .header("authorization", format!("Bearer {}", self.key));
        if let Some(etag) = etag {
            request = request.header("if-match", etag);
        }
        let body = Bytes::copy_from_slice(body.as_bytes());
        let reply = self.client.call(self.address, request, body, EVENT_TIMEOUT);
        read_response(&reply.await.expect("the node responds"))
    }

    pub(crate) async fn get(&self, path: &str) -> OperatorResponse {
        self.call(Method::GET, path, None, "").await
    }

    pub(crate) async fn draft(&self, etag: Option<&str>, template: &str) -> OperatorResponse {
        let path = "/admin/v1/templates/local-paying";
        self.call(Method::PUT, path, etag, template).await
    }

    pub(crate) async fn accept(&self, etag: &str) -> OperatorResponse {
        let path = "/admin/v1/templates/local-paying/accept";
        self.call(Method::POST, path, Some(etag), "").await
    }

    /// Drafts and accepts a template, waits until it is in force, and returns its ETag.
    pub(crate) async fn apply_template(&self, template: &str) -> String {
        let draft = self.draft(None, template).await;
        assert_eq!(draft.status, 200, "{draft:?}");
        let accepted = self.accept(&draft.etag.unwrap()).await;
        assert_eq!(accepted.status, 200, "{accepted:?}");
        let etag = accepted.etag.unwrap();
        self.await_in_force(&etag).await;
        etag
    }

    /// Waits until the revision with this ETag is in force at the node.
    pub(crate) async fn await_in_force(&self, etag: &str) {
        let deadline = std::time::Instant::now() + EVENT_TIMEOUT;
        loop {
            let shown = self.get("/admin/v1/templates/local-paying").await;
            if shown.etag.as_deref() == Some(etag) {
                return;
            }
            assert!(
                std::time::Instant::now() < deadline,
                "revision {etag} is not in force: {shown:?}"
            );
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    }
}

fn read_response(reply: &Reply) -> OperatorResponse {
    let etag = reply.headers.get("etag");
    OperatorResponse {
        status: reply.status.as_u16(),
        etag: etag.map(|tag| tag.to_str().unwrap().to_owned()),
        body: serde_json::from_slice(&reply.body).unwrap_or(Value::Null),
    }
}

/// Returns a template of the paying workspace; `extra_fields` follows its other fields.
pub(crate) fn template(versions: &str, extra_fields: &str) -> String {
    let digest = key_digest("local-paying-key");
    format!(
        r#"{{
  "workspace": "local-paying",
  // The caller's key.
  "key_sha256": ["{digest}"],
  "tier": "paying",
  "model": "drafts",
  "endpoint_versions": [{versions}]{extra_fields}
}}"#
    )
}

/// Returns the operators' command line, with every role at a node of a fleet.
pub(crate) fn ctl(running: &RunningFleet, node: usize) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_parsleylatchctl"));
    command
        .args(["--admin", &running.fleet.nodes[node].admin.to_string()])
        .args(["--key", &running.fleet.admin_key, "--json"]);
    command
}

/// Runs a subcommand and parses its output as JSON.
pub(crate) fn run_ctl(running: &RunningFleet, node: usize, verb: &[&str]) -> (Value, Output) {
    let output = ctl(running, node).args(verb).output().expect("ctl runs");
    let response = serde_json::from_slice(&output.stdout).unwrap_or(Value::Null);
    (response, output)
}
