//! Free requests don't displace paying ones when engines are at capacity.

use futures::future::join_all;
use parsleylatch::{
    bench::caller::{Caller, GenerationResponse, StreamEnding, check_response},
    types::RequestId,
};

use crate::harness::{FleetSpec, RunningFleet, body, generate, token_data};

/// Total slots of the fleet's engines.
const SLOTS: u64 = 20;
/// Concurrent free requests, ten times the slots.
const FREE_REQUESTS: usize = 200;
const PAYING_REQUESTS: usize = 12;

/// Outcome of one free request.
#[derive(PartialEq)]
enum FreeOutcome {
    Completed,
    Refused,
}

async fn run_free_request(caller: Caller, number: usize) -> FreeOutcome {
    let body = body(&format!("free {number}"), 20);
    match caller.generate(RequestId::generate(), &body).await.unwrap() {
        GenerationResponse::Events(events) => {
            let collected = events.collect(|_| {}).await;
            let StreamEnding::Done(done) = &collected.ending else {
                panic!("a free generation ended with {:?}", collected.ending);
            };
            check_response(&body, &token_data(&collected), done).unwrap();
            FreeOutcome::Completed
        }
        GenerationResponse::Refused(problem) => {
            assert!(problem.not_run, "{problem:?}");
            FreeOutcome::Refused
        }
    }
}

#[tokio::test]
async fn admit_paying_under_free_load() {
    let running = RunningFleet::start(FleetSpec {
        nodes: 2,
        engines: 2,
        services: 0,
        options: &["--capacity", "10", "--pace-ms", "20"],
    })
    .await;
    let key = &running.fleet.workspaces[1].key;
    let nodes = &running.fleet.nodes;
    let free_requests: Vec<_> = (0..FREE_REQUESTS)
        .map(|number| {
            let caller = Caller::new(nodes[number % nodes.len()].caller, key);
            tokio::spawn(run_free_request(caller, number))
        })
        .collect();
    running.await_counter(0, "generations_accepted", 1).await;
    let paying_generations = (0..PAYING_REQUESTS).map(|number| {
        let caller = running.paying_caller(number % 2);
        async move {
            let body = body(&format!("paying {number}"), 20);
            let collected = generate(&caller, &body).await;
            let StreamEnding::Done(done) = &collected.ending else {
                panic!("a paying generation ended with {:?}", collected.ending);
            };
            check_response(&body, &token_data(&collected), done).unwrap();
        }
    });
    join_all(paying_generations).await;
    let mut completed = 0;
    for outcome in join_all(free_requests).await {
        completed += u64::from(outcome.unwrap() == FreeOutcome::Completed);
    }
    let mut streams_opened = 0;
    for engine in &running.fleet.engines {
        let counters = running.get(engine.control, "/counters").await;
        streams_opened += counters["streams_opened"].as_u64().unwrap();
    }
    assert!(
        completed > 0,
        "no free request was admitted to a spare slot"
    );
    assert_eq!(
        streams_opened,
        completed + PAYING_REQUESTS as u64,
        "a refused request ran on an engine"
    );
    assert!(
        completed < FREE_REQUESTS as u64,
        "all {FREE_REQUESTS} free requests were admitted to {SLOTS} slots"
    );
}
