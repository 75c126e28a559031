//! At-most-once calls under random faults, for several seeds.
//!
//! Each caller sends its request several times, to one node after another, while
//! faults of the store and the services start and end, one node is paused and
//! another is killed. The outcomes that callers observed are checked for
//! linearizability and against the services' run counts.

use std::{sync::Arc, time::Duration};

use futures::future::join_all;
use parsleylatch::{
    standin::{ServiceFault, StoreFault},
    types::RequestId,
};
use rand::RngExt;
use rand_pcg::Pcg64;
use serde_json::{Value, json};
use test_case::test_case;
use todc_utils::{Action, History, linearizability::WGLChecker, specifications::Specification};
use tokio::time::sleep;

use crate::{
    calls::{
        FLEET, ObservedOutcome, call_book, inject_service_fault, inject_store_fault, run_count,
    },
    harness::{FleetSpec, RunningFleet, signal},
};

/// Requests per test run.
const REQUESTS: usize = 40;
/// Attempts per request.
const ATTEMPTS: usize = 4;
/// Interval between two fault changes.
const FAULT_INTERVAL: Duration = Duration::from_millis(350);

/// Specification: a request runs at most once and every answer to it is the same.
struct OnceOnlyRequest;

impl Specification for OnceOnlyRequest {
    type State = Option<Value>;
    type Operation = ObservedOutcome;

    fn init() -> Self::State {
        None
    }

    fn apply(observed: &ObservedOutcome, state: &Self::State) -> (bool, Self::State) {
        match observed {
            ObservedOutcome::Answer(answer) => {
                let fits = state.as_ref().is_none_or(|previous| previous == answer);
                (fits, Some(answer.clone()))
            }
            ObservedOutcome::NotRun(_) => (state.is_none(), None),
            ObservedOutcome::MayHaveRun(_) | ObservedOutcome::ConnectionLost => {
                (true, state.clone())
            }
        }
    }
}

struct RequestRecord {
    id: RequestId,
    outcomes: Vec<ObservedOutcome>,
    /// Run counts read directly after each `NotRun` outcome.
    runs_when_not_run: Vec<u64>,
}

async fn run_request(running: Arc<RunningFleet>, number: usize, mut rng: Pcg64) -> RequestRecord {
    let mut request = RequestRecord {
        id: RequestId::generate(),
        outcomes: Vec::new(),
        runs_when_not_run: Vec::new(),
    };
    let request_body = json!({ "truck": number });
    for attempt in 0..ATTEMPTS {
        let node = (number + attempt) % running.fleet.nodes.len();
        let observed = call_book(&running, node, request.id, &request_body).await;
        if matches!(observed, ObservedOutcome::NotRun(_)) {
            request
                .runs_when_not_run
                .push(run_count(&running, request.id).await);
        }
        request.outcomes.push(observed);
        sleep(Duration::from_millis(rng.random_range(0..400))).await;
    }
    request
}

async fn inject_faults(running: Arc<RunningFleet>, mut rng: Pcg64) {
    for round in 0..10 {
        match rng.random_range(0..7) {
            0 => inject_store_fault(&running, StoreFault::LostAnswers, 0).await,
            1 => inject_store_fault(&running, StoreFault::Outage, 0).await,
            2 => inject_store_fault(&running, StoreFault::Slow, rng.random_range(100..1_200)).await,
            3 => inject_service_fault(&running, ServiceFault::FailAfter, 0).await,
            4 => inject_service_fault(&running, ServiceFault::FailBefore, 0).await,
            5 => inject_service_fault(&running, ServiceFault::Slow, 700).await,
            _ => {
                let pid = running.fleet.nodes[1].pid;
                signal(pid, "STOP");
                sleep(FAULT_INTERVAL).await;
                signal(pid, "CONT");
            }
        }
        if round == 6 {
            signal(running.fleet.nodes[0].pid, "KILL");
        }
        sleep(FAULT_INTERVAL).await;
        inject_store_fault(&running, StoreFault::None, 0).await;
        inject_service_fault(&running, ServiceFault::None, 0).await;
    }
}

/// History of one caller, with attempts of indefinite outcome moved to the end.
fn history(outcomes: &[ObservedOutcome]) -> History<ObservedOutcome> {
    let is_definite = |it: &&ObservedOutcome| {
        matches!(it, ObservedOutcome::Answer(_) | ObservedOutcome::NotRun(_))
    };
    let (definite, indefinite): (Vec<&ObservedOutcome>, Vec<&ObservedOutcome>) =
        outcomes.iter().partition(is_definite);
    let call_and_response = |observed: &ObservedOutcome| {
        [
            (0, Action::Call(observed.clone())),
            (0, Action::Response(observed.clone())),
        ]
    };
    History::from_actions(
        definite
            .into_iter()
            .chain(indefinite)
            .flat_map(call_and_response)
            .collect(),
    )
}

async fn check(running: &RunningFleet, request: &RequestRecord) {
    let id = request.id;
    let total = run_count(running, id).await;
    let outcomes = &request.outcomes;
    assert!(total <= 1, "{id} ran {total} times: {outcomes:?}");
    assert!(
        request.runs_when_not_run.iter().all(|runs| *runs == 0),
        "{id} was reported as not run after it had run: {outcomes:?}"
    );
    assert!(
        WGLChecker::<OnceOnlyRequest>::is_linearizable(history(outcomes)),
        "{id}: {outcomes:?}"
    );
    if outcomes
        .iter()
        .all(|it| matches!(it, ObservedOutcome::NotRun(_)))
    {
        assert_eq!(total, 0, "{id}: {outcomes:?}");
    }
    if outcomes
        .iter()
        .any(|it| matches!(it, ObservedOutcome::Answer(_)))
    {
        assert_eq!(total, 1, "{id}: {outcomes:?}");
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[tokio::test]
async fn call_once_random_faults(seed: u64) {
    println!("seed {seed}");
    let running = RunningFleet::start(FleetSpec { nodes: 3, ..FLEET }).await;
    let running = Arc::new(running);
    let rng = |stream: u64| Pcg64::new(u128::from(seed), u128::from(stream));
    let faults = tokio::spawn(inject_faults(Arc::clone(&running), rng(0)));
    let mut callers = Vec::new();
    for number in 1..=REQUESTS {
        let caller = run_request(Arc::clone(&running), number, rng(number as u64));
        callers.push(tokio::spawn(caller));
        sleep(Duration::from_millis(120)).await;
    }
    let requests = join_all(callers).await;
    faults.await.unwrap();
    let mut answered = 0;
    for request in requests {
        let request = request.unwrap();
        check(&running, &request).await;
        answered += usize::from(
            request
                .outcomes
                .iter()
                .any(|it| matches!(it, ObservedOutcome::Answer(_))),
        );
    }
    println!("seed {seed}: {answered} of {REQUESTS} answered");
    assert!(
        answered > REQUESTS / 4,
        "at most a quarter of the requests was answered"
    );
}
