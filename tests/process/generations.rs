//! Every generation ends with one complete response despite engine faults.

use parsleylatch::{
    bench::caller::{Collected, StreamEnding, check_response},
    standin::EngineFault,
    types::TokenIndex,
    wire::caller::{DoneData, GenerationBody},
};
use test_case::test_case;

use crate::harness::{FleetSpec, RunningFleet, body, generate, token_data};

/// The tests count attempts. The long token time-out keeps a slow machine from causing
/// additional ones.
const SMALL_FLEET: FleetSpec<'_> = FleetSpec {
    nodes: 1,
    engines: 3,
    services: 0,
    options: &["--pace-ms", "5", "--token-timeout-min-ms", "2000"],
};

fn check_done(collected: &Collected, body: &GenerationBody) -> DoneData {
    let StreamEnding::Done(done) = &collected.ending else {
        panic!("ended with {:?}", collected.ending);
    };
    check_response(body, &token_data(collected), done).unwrap();
    done.clone()
}

#[tokio::test]
async fn generate_no_fault() {
    let running = RunningFleet::start(SMALL_FLEET).await;
    let body = body("one", 40);
    let collected = generate(&running.paying_caller(0), &body).await;
    assert_eq!(check_done(&collected, &body).attempts.get(), 1);
}

#[test_case(EngineFault::Cut, 0 ; "cut at the first token")]
#[test_case(EngineFault::Cut, 20 ; "cut midway")]
#[test_case(EngineFault::Cut, 39 ; "cut at the last token")]
#[test_case(EngineFault::Pause, 0 ; "pause at the first token")]
#[test_case(EngineFault::Pause, 20 ; "pause midway")]
#[test_case(EngineFault::Pause, 39 ; "pause at the last token")]
#[test_case(EngineFault::Garbage, 20 ; "garbage midway")]
#[test_case(EngineFault::Skip, 20 ; "token left out")]
#[test_case(EngineFault::Truncate, 20 ; "end left out")]
#[tokio::test]
async fn generate_engine_fault(fault: EngineFault, at_index: u32) {
    let running = RunningFleet::start(SMALL_FLEET).await;
    let body = body("two", 40);
    // Prompt affinity sends the same prompt to the same engine again.
    let first = generate(&running.paying_caller(0), &body).await;
    check_done(&first, &body);
    let engine = running.busiest_engine().await;
    let engine = &running.fleet.engines[engine];
    running
        .inject_engine_fault(engine, fault, Some(TokenIndex::new(at_index)))
        .await;
    let collected = generate(&running.paying_caller(0), &body).await;
    assert_eq!(check_done(&collected, &body).attempts.get(), 2);
    assert_eq!(running.counter(0, "attempts_lost").await, 1);
}

#[tokio::test]
async fn generate_repeated_tokens() {
    let running = RunningFleet::start(SMALL_FLEET).await;
    for engine in &running.fleet.engines {
        running
            .inject_engine_fault(engine, EngineFault::Repeat, None)
            .await;
    }
    let body = body("three", 40);
    let collected = generate(&running.paying_caller(0), &body).await;
    assert_eq!(check_done(&collected, &body).attempts.get(), 1);
    assert_eq!(running.counter(0, "tokens_dropped").await, 40);
}

#[tokio::test]
async fn generate_caller_disconnects() {
    let running = RunningFleet::start(SMALL_FLEET).await;
    let body = body("four", 4_000);
    let caller = running.paying_caller(0);
    let id = parsleylatch::types::RequestId::generate();
    let opened = caller.generate(id, &body).await.unwrap();
    drop(opened);
    running.await_counter(0, "generations_cancelled", 1).await;
    let engine = running.busiest_engine().await;
    let counters = running
        .get(running.fleet.engines[engine].control, "/counters")
        .await;
    assert!(
        counters["generated_tokens"].as_u64().unwrap() < 4_000,
        "{counters}"
    );
}
