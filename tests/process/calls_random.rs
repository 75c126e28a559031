//! Once-only calls under random faults, over many seeds.
//!
//! Each caller tries its request at one node after another until it has an
//! answer or gives up, while faults of store and services come and go and nodes
//! are frozen and killed. What the callers learned is checked as a history, and
//! against the services' run counts.

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
    calls::{FLEET, Learned, book, order_services, order_store, runs},
    harness::{Running, Shape, signal},
};

/// Requests of one run.
const REQUESTS: usize = 40;
/// Tries of one request.
const TRIES: usize = 4;
/// Time between two changes of the faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(350);

/// A request that runs at most once and has one answer.
struct OnceOnlyRequest;

impl Specification for OnceOnlyRequest {
    type State = Option<Value>;
    type Operation = Learned;

    fn init() -> Self::State {
        None
    }

    fn apply(learned: &Learned, state: &Self::State) -> (bool, Self::State) {
        match learned {
            Learned::Answer(answer) => {
                let fits = state.as_ref().is_none_or(|known| known == answer);
                (fits, Some(answer.clone()))
            }
            Learned::NotRun(_) => (state.is_none(), None),
            Learned::MayHaveRun(_) | Learned::Nothing => (true, state.clone()),
        }
    }
}

struct Request {
    id: RequestId,
    tries: Vec<Learned>,
    /// Runs that the services had counted when a try was told "not run".
    runs_when_not_run: Vec<u64>,
}

async fn try_request(running: Arc<Running>, number: usize, mut random: Pcg64) -> Request {
    let mut request = Request {
        id: RequestId::generate(),
        tries: Vec::new(),
        runs_when_not_run: Vec::new(),
    };
    let ask = json!({ "truck": number });
    for attempt in 0..TRIES {
        let node = (number + attempt) % running.fleet.nodes.len();
        let learned = book(&running, node, request.id, &ask).await;
        if matches!(learned, Learned::NotRun(_)) {
            request
                .runs_when_not_run
                .push(runs(&running, request.id).await);
        }
        request.tries.push(learned);
        sleep(Duration::from_millis(random.random_range(0..400))).await;
    }
    request
}

async fn disturb(running: Arc<Running>, mut random: Pcg64) {
    for round in 0..10 {
        match random.random_range(0..7) {
            0 => order_store(&running, StoreFault::LostAnswers, 0).await,
            1 => order_store(&running, StoreFault::Outage, 0).await,
            2 => order_store(&running, StoreFault::Slow, random.random_range(100..1_200)).await,
            3 => order_services(&running, ServiceFault::FailAfter, 0).await,
            4 => order_services(&running, ServiceFault::FailBefore, 0).await,
            5 => order_services(&running, ServiceFault::Slow, 700).await,
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
        order_store(&running, StoreFault::None, 0).await;
        order_services(&running, ServiceFault::None, 0).await;
    }
}

/// History of one caller; what it did not learn stands at the end.
fn history(tries: &[Learned]) -> History<Learned> {
    let known = |it: &&Learned| matches!(it, Learned::Answer(_) | Learned::NotRun(_));
    let (known, unknown): (Vec<&Learned>, Vec<&Learned>) = tries.iter().partition(known);
    let one = |learned: &Learned| {
        [
            (0, Action::Call(learned.clone())),
            (0, Action::Response(learned.clone())),
        ]
    };
    History::from_actions(known.into_iter().chain(unknown).flat_map(one).collect())
}

async fn check(running: &Running, request: &Request) {
    let id = request.id;
    let total = runs(running, id).await;
    let tries = &request.tries;
    assert!(total <= 1, "{id} ran {total} times: {tries:?}");
    assert!(
        request.runs_when_not_run.iter().all(|runs| *runs == 0),
        "{id} had run and was told as not run: {tries:?}"
    );
    assert!(
        WGLChecker::<OnceOnlyRequest>::is_linearizable(history(tries)),
        "{id}: {tries:?}"
    );
    if tries.iter().all(|it| matches!(it, Learned::NotRun(_))) {
        assert_eq!(total, 0, "{id}: {tries:?}");
    }
    if tries.iter().any(|it| matches!(it, Learned::Answer(_))) {
        assert_eq!(total, 1, "{id}: {tries:?}");
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
#[tokio::test]
async fn call_once_random_faults(seed: u64) {
    println!("seed {seed}");
    let running = Running::start(Shape { nodes: 3, ..FLEET }).await;
    let running = Arc::new(running);
    let random = |stream: u64| Pcg64::new(u128::from(seed), u128::from(stream));
    let faults = tokio::spawn(disturb(Arc::clone(&running), random(0)));
    let mut callers = Vec::new();
    for number in 1..=REQUESTS {
        let caller = try_request(Arc::clone(&running), number, random(number as u64));
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
                .tries
                .iter()
                .any(|it| matches!(it, Learned::Answer(_))),
        );
    }
    println!("seed {seed}: {answered} of {REQUESTS} answered");
    assert!(answered > REQUESTS / 4, "faults leave most requests alone");
}
