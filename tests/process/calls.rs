//! Calls that may run at most once, against every fault of node, service and store.

use std::{fs, process::Command, time::Duration};

use parsleylatch::{
    bench::caller::Caller,
    standin::{FaultSpec, ServiceFault, StoreFault},
    types::{Millis, RequestId, UnixMillis},
};
use serde_json::{Value, json};
use test_case::test_case;
use tokio::time::sleep;

use crate::harness::{Running, Shape, signal};

pub(crate) const FLEET: Shape<'_> = Shape {
    nodes: 2,
    engines: 0,
    services: 2,
    options: &[],
};
const BOOK: &str = "dispatch/book";

/// What a caller learned from one try.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Learned {
    Answer(Value),
    NotRun(String),
    MayHaveRun(String),
    /// The connection broke.
    Nothing,
}

impl Learned {
    fn is_unknown(&self) -> bool {
        matches!(self, Self::MayHaveRun(kind) if kind.ends_with(":outcome-unknown"))
    }
}

/// Books once at a node and tells what the caller learned.
pub(crate) async fn book(running: &Running, node: usize, id: RequestId, ask: &Value) -> Learned {
    call(&running.paying(node), id, ask).await
}

async fn call(caller: &Caller, id: RequestId, ask: &Value) -> Learned {
    let Ok(reply) = caller.call_service(id, BOOK, ask).await else {
        return Learned::Nothing;
    };
    let body: Value = serde_json::from_slice(&reply.body).expect("the body is JSON");
    if reply.headers["content-type"] != "application/problem+json" {
        return Learned::Answer(body);
    }
    let kind = body["type"]
        .as_str()
        .expect("problems have a type")
        .to_owned();
    if body["not_run"] == true {
        Learned::NotRun(kind)
    } else {
        Learned::MayHaveRun(kind)
    }
}

/// Runs of a request at all services.
pub(crate) async fn runs(running: &Running, id: RequestId) -> u64 {
    let mut total = 0;
    for service in &running.fleet.services {
        let runs = running.get(service.control, "/runs").await;
        total += runs[id.to_string()].as_u64().unwrap_or_default();
    }
    total
}

pub(crate) async fn order_store(running: &Running, fault: StoreFault, delay_ms: u64) {
    let order = FaultSpec {
        fault,
        at_index: None,
        delay_ms: Some(Millis::new(delay_ms)),
    };
    running
        .post(running.fleet.store.control, "/fault", &order)
        .await;
}

pub(crate) async fn order_services(running: &Running, fault: ServiceFault, delay_ms: u64) {
    let order = FaultSpec {
        fault,
        at_index: None,
        delay_ms: Some(Millis::new(delay_ms)),
    };
    for service in &running.fleet.services {
        running.post(service.control, "/fault", &order).await;
    }
}

/// Outcomes that the store's log holds of a claim, in their order.
async fn logged_outcomes(running: &Running, id: RequestId) -> Vec<String> {
    let log = running.get(running.fleet.store.control, "/log").await;
    let key = format!("claims/{id}");
    let entries = log.as_array().expect("the log is a list").iter();
    let written = entries.filter(|entry| entry["key"] == key && entry["written"] == true);
    written
        .map(|entry| {
            let value = entry["value"].as_str().expect("claims are not deleted");
            let claim: Value = serde_json::from_str(value).expect("claims are JSON");
            claim["outcome"]
                .as_str()
                .expect("it has an outcome")
                .to_owned()
        })
        .collect()
}

async fn await_outcome(running: &Running, id: RequestId, outcome: &str) {
    let wait = async {
        while logged_outcomes(running, id)
            .await
            .last()
            .map(String::as_str)
            != Some(outcome)
        {
            sleep(Duration::from_millis(20)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(20), wait).await;
    assert!(waited.is_ok(), "the claim does not become {outcome}");
}

#[tokio::test]
async fn call_once_repeated() {
    let running = Running::start(FLEET).await;
    let id = RequestId::generate();
    let ask = json!({ "truck": 7 });
    let first = book(&running, 0, id, &ask).await;
    assert!(
        matches!(&first, Learned::Answer(answer) if answer["run"] == 1),
        "{first:?}"
    );
    for node in [0, 1] {
        assert_eq!(book(&running, node, id, &ask).await, first);
    }
    assert_eq!(runs(&running, id).await, 1);
    assert_eq!(logged_outcomes(&running, id).await, ["pending", "answered"]);
    let path = format!("/admin/v1/calls/{id}");
    let shown = running.get(running.fleet.nodes[1].admin, &path).await;
    assert_eq!(shown["claim"]["outcome"], "answered");
    assert_eq!(shown["claim"]["node_id"], "node-1");
    let printed = Command::new(env!("CARGO_BIN_EXE_parsleylatchctl"))
        .args(["--admin", &running.fleet.nodes[0].admin.to_string()])
        .args(["--key", &running.fleet.admin_key, "--json", "calls", "show"])
        .arg(id.to_string())
        .output()
        .unwrap();
    let printed: Value = serde_json::from_slice(&printed.stdout).unwrap();
    assert_eq!(printed, shown);
}

#[tokio::test]
async fn call_once_two_nodes() {
    let running = Running::start(FLEET).await;
    let ask = json!({ "truck": 7 });
    for _ in 0..25 {
        let id = RequestId::generate();
        let (left, right) = tokio::join!(book(&running, 0, id, &ask), book(&running, 1, id, &ask));
        assert!(matches!(left, Learned::Answer(_)), "{left:?}");
        assert_eq!(left, right);
        assert_eq!(runs(&running, id).await, 1);
    }
}

#[tokio::test]
async fn call_once_other_call() {
    let running = Running::start(FLEET).await;
    let id = RequestId::generate();
    let ask = json!({ "truck": 7 });
    let first = book(&running, 0, id, &ask).await;
    let refused = Learned::MayHaveRun("urn:parsleylatch:problem:request-id-reused".to_owned());
    assert_eq!(book(&running, 1, id, &json!({ "truck": 8 })).await, refused);
    let other_workspace = Caller::new(
        running.fleet.nodes[1].caller,
        &running.fleet.workspaces[1].key,
    );
    assert_eq!(call(&other_workspace, id, &ask).await, refused);
    assert_eq!(book(&running, 1, id, &ask).await, first);
    assert_eq!(runs(&running, id).await, 1);
}

/// The free tier can't use up the store's writes; its repeats are answered.
#[tokio::test]
async fn call_once_free_flood() {
    let running = Running::start(FLEET).await;
    let key = &running.fleet.workspaces[1].key;
    let free = Caller::new(running.fleet.nodes[0].caller, key);
    let ask = json!({ "truck": 7 });
    let overloaded = Learned::NotRun("urn:parsleylatch:problem:overloaded".to_owned());
    let mut answered = Vec::new();
    let mut refused = Vec::new();
    for _ in 0..60 {
        let id = RequestId::generate();
        match call(&free, id, &ask).await {
            Learned::Answer(answer) => answered.push((id, answer)),
            other => {
                assert_eq!(other, overloaded);
                refused.push(id);
            }
        }
    }
    assert!(!answered.is_empty() && refused.len() > answered.len());
    for (id, answer) in answered {
        assert_eq!(call(&free, id, &ask).await, Learned::Answer(answer));
        assert_eq!(runs(&running, id).await, 1);
    }
    for id in refused {
        assert_eq!(runs(&running, id).await, 0);
    }
    let paying = book(&running, 0, RequestId::generate(), &ask).await;
    assert!(matches!(paying, Learned::Answer(_)), "{paying:?}");
}

#[tokio::test]
async fn call_once_expired() {
    let running = Running::start(FLEET).await;
    let ask = json!({ "truck": 7 });
    let old = RequestId::from_parts(UnixMillis::new(1_700_000_000_000), 7);
    let expired = Learned::MayHaveRun("urn:parsleylatch:problem:expired".to_owned());
    assert_eq!(book(&running, 0, old, &ask).await, expired);
    let future = RequestId::from_parts(UnixMillis::new(4_000_000_000_000), 7);
    let refused = Learned::NotRun("urn:parsleylatch:problem:bad-request".to_owned());
    assert_eq!(book(&running, 0, future, &ask).await, refused);
    assert_eq!(runs(&running, old).await + runs(&running, future).await, 0);
}

#[test_case(ServiceFault::FailBefore, 0 ; "before the run")]
#[test_case(ServiceFault::FailAfter, 1 ; "after the run")]
#[tokio::test]
async fn call_once_service_broken(fault: ServiceFault, expected_runs: u64) {
    let running = Running::start(FLEET).await;
    let id = RequestId::generate();
    let ask = json!({ "truck": 7 });
    order_services(&running, fault, 0).await;
    let first = book(&running, 0, id, &ask).await;
    assert!(first.is_unknown(), "{first:?}");
    await_outcome(&running, id, "unknown").await;
    order_services(&running, ServiceFault::None, 0).await;
    for node in [1, 0] {
        let again = book(&running, node, id, &ask).await;
        assert!(again.is_unknown(), "{again:?}");
    }
    assert_eq!(runs(&running, id).await, expected_runs);
}

/// A service that certainly did not get the call leaves the claim for another.
#[tokio::test]
async fn call_once_service_gone() {
    let running = Running::start(FLEET).await;
    signal(running.fleet.services[0].pid, "KILL");
    let ask = json!({ "truck": 7 });
    for _ in 0..6 {
        let id = RequestId::generate();
        let answer = book(&running, 0, id, &ask).await;
        assert!(matches!(answer, Learned::Answer(_)), "{answer:?}");
    }
    signal(running.fleet.services[1].pid, "KILL");
    let id = RequestId::generate();
    let refused = Learned::NotRun("urn:parsleylatch:problem:no-endpoint".to_owned());
    assert_eq!(book(&running, 0, id, &ask).await, refused);
    await_outcome(&running, id, "released").await;
}

#[tokio::test]
async fn call_once_store_answers_lost() {
    let running = Running::start(FLEET).await;
    order_store(&running, StoreFault::LostAnswers, 0).await;
    let ask = json!({ "truck": 7 });
    let id = RequestId::generate();
    let first = book(&running, 0, id, &ask).await;
    assert!(matches!(first, Learned::Answer(_)), "{first:?}");
    assert_eq!(book(&running, 1, id, &ask).await, first);
    assert_eq!(runs(&running, id).await, 1);
}

#[tokio::test]
async fn call_once_store_out() {
    let running = Running::start(FLEET).await;
    order_store(&running, StoreFault::Outage, 0).await;
    let ask = json!({ "truck": 7 });
    let unavailable = Learned::NotRun("urn:parsleylatch:problem:store-unavailable".to_owned());
    let (first, second) = (RequestId::generate(), RequestId::generate());
    assert_eq!(book(&running, 0, first, &ask).await, unavailable);
    // The node knows by now, and refuses at once.
    let asked_at = std::time::Instant::now();
    assert_eq!(book(&running, 0, second, &ask).await, unavailable);
    assert!(asked_at.elapsed() < Duration::from_millis(200));
    let status = running
        .paying(0)
        .call_service(RequestId::generate(), "dispatch/status", &ask)
        .await;
    assert_eq!(status.unwrap().status, 200, "everything else goes on");
    sleep(Duration::from_millis(1_200)).await;
    let repeat = book(&running, 1, first, &ask).await;
    assert!(
        matches!(repeat, Learned::MayHaveRun(_)),
        "nothing is known of an old id: {repeat:?}"
    );
    assert_eq!(
        runs(&running, first).await + runs(&running, second).await,
        0
    );
    order_store(&running, StoreFault::None, 0).await;
    sleep(Duration::from_millis(3_500)).await;
    for id in [first, second] {
        let answer = book(&running, 1, id, &ask).await;
        assert!(matches!(answer, Learned::Answer(_)), "{answer:?}");
        assert_eq!(runs(&running, id).await, 1);
    }
}

#[tokio::test]
async fn call_once_store_slow() {
    let running = Running::start(FLEET).await;
    let ask = json!({ "truck": 7 });
    order_store(&running, StoreFault::Slow, 300).await;
    let id = RequestId::generate();
    let answer = book(&running, 0, id, &ask).await;
    assert!(matches!(answer, Learned::Answer(_)), "{answer:?}");
    assert_eq!(runs(&running, id).await, 1);
    // Slower than a claim may be: refused, and free again afterwards.
    order_store(&running, StoreFault::Slow, 1_500).await;
    let id = RequestId::generate();
    let refused = book(&running, 0, id, &ask).await;
    assert!(matches!(refused, Learned::NotRun(_)), "{refused:?}");
    assert_eq!(runs(&running, id).await, 0);
    await_outcome(&running, id, "released").await;
    order_store(&running, StoreFault::None, 0).await;
    let answer = book(&running, 1, id, &ask).await;
    assert!(matches!(answer, Learned::Answer(_)), "{answer:?}");
    assert_eq!(runs(&running, id).await, 1);
}

#[tokio::test]
async fn call_once_claimant_killed() {
    let running = Running::start(FLEET).await;
    order_services(&running, ServiceFault::Slow, 1_500).await;
    let id = RequestId::generate();
    let ask = json!({ "truck": 7 });
    let kill = async {
        sleep(Duration::from_millis(400)).await;
        signal(running.fleet.nodes[0].pid, "KILL");
    };
    let (first, ()) = tokio::join!(book(&running, 0, id, &ask), kill);
    assert_eq!(first, Learned::Nothing);
    let repeat = book(&running, 1, id, &ask).await;
    assert!(repeat.is_unknown(), "{repeat:?}");
    assert_eq!(runs(&running, id).await, 1);
}

/// A caller that goes away ends neither the call nor the record of its answer.
#[tokio::test]
async fn call_once_caller_gone() {
    let running = Running::start(FLEET).await;
    order_services(&running, ServiceFault::Slow, 600).await;
    let id = RequestId::generate();
    let ask = json!({ "truck": 7 });
    let given_up = tokio::time::timeout(Duration::from_millis(250), book(&running, 0, id, &ask));
    assert!(given_up.await.is_err());
    let repeat = book(&running, 1, id, &ask).await;
    assert!(matches!(repeat, Learned::Answer(_)), "{repeat:?}");
    assert_eq!(runs(&running, id).await, 1);
}

/// A planned stop cuts no call, and the answer is recorded before the node ends.
#[tokio::test]
async fn call_once_node_stopped() {
    let running = Running::start(FLEET).await;
    order_services(&running, ServiceFault::Slow, 2_500).await;
    let id = RequestId::generate();
    let ask = json!({ "truck": 7 });
    let stop = async {
        sleep(Duration::from_millis(300)).await;
        signal(running.fleet.nodes[0].pid, "TERM");
    };
    let (first, ()) = tokio::join!(book(&running, 0, id, &ask), stop);
    assert!(matches!(first, Learned::Answer(_)), "{first:?}");
    assert_eq!(book(&running, 1, id, &ask).await, first);
    assert_eq!(runs(&running, id).await, 1);
}

/// A claimant that is frozen past its send window and woken does not send; the
/// repeat at the other node gets the released claim.
#[tokio::test]
async fn call_once_claimant_frozen() {
    let running = Running::start(FLEET).await;
    order_store(&running, StoreFault::Slow, 300).await;
    let id = RequestId::generate();
    let ask = json!({ "truck": 7 });
    let claimant = running.fleet.nodes[0].pid;
    let freeze = async {
        sleep(Duration::from_millis(150)).await;
        signal(claimant, "STOP");
        sleep(Duration::from_millis(400)).await;
        order_store(&running, StoreFault::None, 0).await;
        sleep(Duration::from_millis(2_500)).await;
        signal(claimant, "CONT");
    };
    let repeat = async {
        sleep(Duration::from_millis(700)).await;
        book(&running, 1, id, &ask).await
    };
    let (first, (), repeated) = tokio::join!(book(&running, 0, id, &ask), freeze, repeat);
    // Whether it says "not run" depends on which it sees first, deadline or claim.
    let refused = "urn:parsleylatch:problem:store-unavailable";
    assert!(
        matches!(&first, Learned::NotRun(kind) | Learned::MayHaveRun(kind) if kind == refused),
        "{first:?}"
    );
    assert!(matches!(repeated, Learned::Answer(_)), "{repeated:?}");
    assert_eq!(runs(&running, id).await, 1);
    let outcomes = logged_outcomes(&running, id).await;
    assert_eq!(outcomes, ["pending", "released", "pending", "answered"]);
}

#[tokio::test]
async fn call_once_template_changed() {
    let running = Running::start(FLEET).await;
    order_services(&running, ServiceFault::Slow, 1_500).await;
    let id = RequestId::generate();
    let ask = json!({ "truck": 7 });
    let change = async {
        sleep(Duration::from_millis(300)).await;
        put_template(&running, |text| text.replace(r#""book""#, r#""rent""#));
    };
    let (first, ()) = tokio::join!(book(&running, 0, id, &ask), change);
    assert!(matches!(first, Learned::Answer(_)), "{first:?}");
    let refused = Learned::NotRun("urn:parsleylatch:problem:not-allowed".to_owned());
    assert_eq!(
        book(&running, 1, RequestId::generate(), &ask).await,
        refused
    );
    put_template(&running, str::to_owned);
    sleep(Duration::from_millis(300)).await;
    assert_eq!(book(&running, 1, id, &ask).await, first);
    assert_eq!(runs(&running, id).await, 1);
}

/// A claim whose id every node refuses is deleted; a younger one stays.
#[tokio::test]
async fn call_once_claim_swept() {
    let running = Running::start(FLEET).await;
    let kept = RequestId::generate();
    book(&running, 0, kept, &json!({})).await;
    // The nodes begin with the claims of two days ago.
    let begin_ms = 2 * 86_400_000 + 600_000 - 60_000;
    let created_at = UnixMillis::new(kept.created_at().get() - begin_ms);
    let old = RequestId::from_parts(created_at, 7);
    put(&running, &format!("claims/{old}"), "{}");
    let deleted = async {
        while running.counter(0, "claims_deleted").await
            + running.counter(1, "claims_deleted").await
            == 0
        {
            sleep(Duration::from_millis(50)).await;
        }
    };
    let waited = tokio::time::timeout(Duration::from_secs(20), deleted).await;
    assert!(waited.is_ok(), "the old claim stays");
    let shown = running
        .get(
            running.fleet.nodes[0].admin,
            &format!("/admin/v1/calls/{kept}"),
        )
        .await;
    assert_eq!(shown["claim"]["outcome"], "answered");
}

/// Idempotent calls go to the other endpoint, as long as the budget lasts.
#[test_case(ServiceFault::FailBefore, 0 ; "before the run")]
#[test_case(ServiceFault::FailAfter, 1 ; "after the run")]
#[tokio::test]
async fn call_idempotent_retried(fault: ServiceFault, runs_at_broken: u64) {
    let running = Running::start(FLEET).await;
    let broken = &running.fleet.services[0];
    let order = FaultSpec {
        fault,
        at_index: None,
        delay_ms: None,
    };
    running.post(broken.control, "/fault", &order).await;
    for _ in 0..16 {
        let id = RequestId::generate();
        let reply = running
            .paying(0)
            .call_service(id, "dispatch/status", &json!({}))
            .await
            .unwrap();
        assert_eq!(reply.status, 200);
        let at_broken = running.get(broken.control, "/runs").await;
        let at_broken = at_broken[id.to_string()].as_u64().unwrap_or_default();
        assert!(at_broken <= runs_at_broken);
        assert!(runs(&running, id).await <= 1 + runs_at_broken);
    }
    assert!(running.counter(0, "service_calls_retried").await > 0);
}

/// Writes the paying template anew, as an operator's change.
fn put_template(running: &Running, edit: impl Fn(&str) -> String) {
    let text = fs::read_to_string(running.dir.join("template-paying.jsonc")).unwrap();
    put(running, "templates/local-paying", &edit(&text));
}

/// Writes a key of the store, whatever it holds.
fn put(running: &Running, key: &str, value: &str) {
    let file = running.dir.join("value.jsonc");
    fs::write(&file, value).unwrap();
    let status = Command::new(env!("CARGO_BIN_EXE_parsleylatch-standin"))
        .args(["put", "--store", &running.fleet.store.address.to_string()])
        .args(["--key", key, "--file"])
        .arg(&file)
        .status();
    assert!(status.unwrap().success());
}
