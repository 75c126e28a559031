//! Concurrent changes of a template conflict, and a change takes effect whole or not at
//! all.

use parsleylatch::standin::{FaultSpec, StoreFault};
use serde_json::Value;
use test_case::test_case;

use crate::{
    extra_node::ExtraNode,
    harness::{FleetSpec, RunningFleet},
    operator::{Operator, run_ctl, template},
};

const TWO_NODES: FleetSpec<'_> = FleetSpec {
    nodes: 2,
    engines: 1,
    services: 0,
    options: &[],
};

/// Successful writes of a key, from the store's log.
async fn key_writes(running: &RunningFleet, key: &str) -> Vec<Value> {
    let log = running.get(running.fleet.store.control, "/log").await;
    let entries = log.as_array().unwrap().iter();
    let of_key = entries.filter(|entry| entry["key"] == key && entry["written"] == true);
    of_key.cloned().collect()
}

async fn inject_store_fault(running: &RunningFleet, fault: StoreFault) {
    let spec = FaultSpec {
        fault,
        at_index: None,
        delay_ms: None,
    };
    let control = running.fleet.store.control;
    running.post(control, "/fault", &spec).await;
}

/// Two nodes accept the same draft concurrently: one succeeds, and the other one's
/// response names both revisions.
#[tokio::test]
async fn accept_template_concurrently() {
    let running = RunningFleet::start(TWO_NODES).await;
    let operators = [Operator::at(&running, 0), Operator::at(&running, 1)];
    let draft = operators[0].draft(None, &template(r#""v1""#, "")).await;
    assert_eq!(draft.status, 200, "{draft:?}");
    let tag = draft.etag.unwrap();
    let (first, second) = tokio::join!(operators[0].accept(&tag), operators[1].accept(&tag));
    let (winner, loser) = match first.status {
        200 => (first, second),
        _ => (second, first),
    };
    assert_eq!(
        (winner.status, loser.status),
        (200, 412),
        "{winner:?} {loser:?}"
    );
    let accepted = winner.body["revision"].as_u64().unwrap();
    assert_eq!(loser.body["current_revision"].as_u64(), Some(accepted));
    assert!(loser.body["given_revision"].as_u64().unwrap() < accepted);
    assert_eq!(
        key_writes(&running, "templates/local-paying").await.len(),
        2
    );
    for operator in &operators {
        operator.await_in_force(&format!("\"{accepted}\"")).await;
    }
}

/// A replaced draft can't be accepted, and a draft based on an old revision is refused.
#[tokio::test]
async fn accept_template_outdated() {
    let running = RunningFleet::start(TWO_NODES).await;
    let operators = [Operator::at(&running, 0), Operator::at(&running, 1)];
    let shown = operators[0].get("/admin/v1/templates/local-paying").await;
    let base = shown.etag.unwrap();
    let text = template(r#""v1""#, "");
    let first_draft = operators[0].draft(Some(&base), &text).await.etag.unwrap();
    let second_draft = operators[1].draft(Some(&base), &text).await.etag.unwrap();
    let refused = operators[0].accept(&first_draft).await;
    assert_eq!(refused.status, 412, "{refused:?}");
    assert_eq!(
        format!("\"{}\"", refused.body["current_revision"]),
        second_draft
    );
    assert_eq!(operators[1].accept(&second_draft).await.status, 200);
    let outdated = operators[0].draft(Some(&base), &text).await;
    assert_eq!(outdated.status, 412, "{outdated:?}");
    let missing = operators[0]
        .call(
            http::Method::POST,
            "/admin/v1/templates/local-paying/accept",
            None,
            "",
        )
        .await;
    assert_eq!(missing.status, 428, "{missing:?}");
}

/// A write whose response is lost is resolved by reading the key back.
#[tokio::test]
async fn accept_template_answer_lost() {
    let running = RunningFleet::start(TWO_NODES).await;
    let operator = Operator::at(&running, 0);
    inject_store_fault(&running, StoreFault::LostAnswers).await;
    let etag = operator.apply_template(&template(r#""v1""#, "")).await;
    inject_store_fault(&running, StoreFault::None).await;
    assert_eq!(key_writes(&running, "drafts/local-paying").await.len(), 1);
    assert_eq!(
        key_writes(&running, "templates/local-paying").await.len(),
        2
    );
    Operator::at(&running, 1).await_in_force(&etag).await;
}

/// During a store outage a draft is refused with status 503 and nothing is written.
#[tokio::test]
async fn draft_template_store_outage() {
    let running = RunningFleet::start(TWO_NODES).await;
    let operator = Operator::at(&running, 0);
    inject_store_fault(&running, StoreFault::Outage).await;
    let refused = operator.draft(None, &template(r#""v1""#, "")).await;
    assert_eq!(refused.status, 503, "{refused:?}");
    inject_store_fault(&running, StoreFault::None).await;
    assert_eq!(key_writes(&running, "drafts/local-paying").await.len(), 0);
}

#[test_case(r#""v1""#, ",\n  \"wieght\": 2", 8, "wieght", "weight" ; "unknown field")]
#[test_case(r#""v1""#, ",\n  \"weight\": 0", 8, "weight", "no share" ; "value")]
#[test_case(r#""v1""#, ",\n  \"move\": { \"to\": \"v1\",\n  \"deadline_s\": 60 }", 8, "move.to", "in use" ; "move to the version in use")]
#[test_case(r#""v1""#, ",\n  \"move\": { \"to\": \"v2\",\n  \"deadline_s\": 1 }", 9, "move.deadline_s", "not in" ; "deadline of a move")]
#[tokio::test]
async fn draft_template_bad(
    versions: &str,
    extra_fields: &str,
    line: u64,
    field: &str,
    reason: &str,
) {
    let running = RunningFleet::start(TWO_NODES).await;
    let operator = Operator::at(&running, 0);
    let refused = operator
        .draft(None, &template(versions, extra_fields))
        .await;
    assert_eq!(refused.status, 422, "{refused:?}");
    assert_eq!(refused.body["line"], line, "{refused:?}");
    assert_eq!(refused.body["field"], field, "{refused:?}");
    let actual_reason = refused.body["reason"].as_str().unwrap();
    assert!(actual_reason.contains(reason), "{actual_reason}");
    assert_eq!(key_writes(&running, "drafts/local-paying").await.len(), 0);
}

/// Each role permits only its own operations.
#[tokio::test]
async fn change_template_by_role() {
    let running = RunningFleet::start(TWO_NODES).await;
    let node = ExtraNode::start(&running);
    let [reader, editor, accepter] =
        ["read", "edit", "accept"].map(|role| Operator::new(node.admin, role));
    let text = template(r#""v1""#, "");
    assert_eq!(reader.draft(None, &text).await.status, 403);
    assert_eq!(accepter.draft(None, &text).await.status, 403);
    let draft = editor.draft(None, &text).await;
    assert_eq!(draft.status, 200, "{draft:?}");
    let tag = draft.etag.unwrap();
    assert_eq!(reader.accept(&tag).await.status, 403);
    assert_eq!(editor.accept(&tag).await.status, 403);
    assert_eq!(accepter.accept(&tag).await.status, 200);
    assert_eq!(editor.get("/admin/v1/templates").await.status, 403);
    assert_eq!(reader.get("/admin/v1/templates").await.status, 200);
    let nobody = Operator::new(node.admin, "nobody");
    assert_eq!(nobody.get("/admin/v1/templates").await.status, 401);
}

/// The command line drafts, accepts and shows templates; accepting an outdated revision
/// exits with an error.
#[tokio::test]
async fn change_template_by_ctl() {
    let running = RunningFleet::start(TWO_NODES).await;
    let file = running.dir.join("new.jsonc");
    std::fs::write(&file, template(r#""v1""#, ",\n  \"weight\": 7")).unwrap();
    let file = file.to_str().unwrap();
    let (draft, _) = run_ctl(&running, 0, &["templates", "put", file]);
    let tag = draft["draft_revision"].to_string();
    let accept = ["templates", "accept", "local-paying", "--etag", &tag];
    let (accepted, output) = run_ctl(&running, 0, &accept);
    let revision = accepted["revision"].as_u64();
    let revision = revision.unwrap_or_else(|| panic!("{output:?}"));
    Operator::at(&running, 1)
        .await_in_force(&format!("\"{revision}\""))
        .await;
    let (shown, _) = run_ctl(&running, 1, &["templates", "get", "local-paying"]);
    assert_eq!(shown["weight"], 7, "{shown}");
    let (listed, _) = run_ctl(&running, 1, &["templates", "list"]);
    assert_eq!(listed.as_array().map(Vec::len), Some(2), "{listed}");
    let (_, again) = run_ctl(&running, 1, &accept);
    assert!(!again.status.success());
    let reason = String::from_utf8_lossy(&again.stderr).into_owned();
    assert!(
        reason.contains("412") && reason.contains("given_revision"),
        "{reason}"
    );
}
