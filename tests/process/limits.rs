//! Free requests never crowd out paying ones.

use futures::future::join_all;
use parsleylatch::{
    bench::caller::{Caller, GenerationResponse, StreamEnd, check_response},
    types::RequestId,
};

use crate::harness::{Running, Shape, body, generate, tokens_of};

/// Places at the engines of the fleet.
const PLACES: u64 = 20;
/// Free requests at the same time: ten times the places.
const FLOOD: usize = 200;
const PAYING: usize = 12;

/// How one free request ended.
#[derive(PartialEq)]
enum Free {
    Whole,
    Refused,
}

async fn ask_free(caller: Caller, number: usize) -> Free {
    let body = body(&format!("free {number}"), 20);
    match caller.generate(RequestId::generate(), &body).await.unwrap() {
        GenerationResponse::Events(events) => {
            let collected = events.collect(|_| {}).await;
            let StreamEnd::Done(done) = &collected.ending else {
                panic!("a free generation ended with {:?}", collected.ending);
            };
            check_response(&body, &tokens_of(&collected), done).unwrap();
            Free::Whole
        }
        GenerationResponse::Refused(problem) => {
            assert!(problem.not_run, "{problem:?}");
            Free::Refused
        }
    }
}

#[tokio::test]
async fn admit_paying_under_free_flood() {
    let running = Running::start(Shape {
        nodes: 2,
        engines: 2,
        services: 0,
        options: &["--capacity", "10", "--pace-ms", "20"],
    })
    .await;
    let key = &running.fleet.workspaces[1].key;
    let nodes = &running.fleet.nodes;
    let flood: Vec<_> = (0..FLOOD)
        .map(|number| {
            let caller = Caller::new(nodes[number % nodes.len()].caller, key);
            tokio::spawn(ask_free(caller, number))
        })
        .collect();
    running.await_counter(0, "generations_accepted", 1).await;
    let paying = (0..PAYING).map(|number| {
        let caller = running.paying(number % 2);
        async move {
            let body = body(&format!("paying {number}"), 20);
            let collected = generate(&caller, &body).await;
            let StreamEnd::Done(done) = &collected.ending else {
                panic!("a paying generation ended with {:?}", collected.ending);
            };
            check_response(&body, &tokens_of(&collected), done).unwrap();
        }
    });
    join_all(paying).await;
    let mut whole = 0;
    for free in join_all(flood).await {
        whole += u64::from(free.unwrap() == Free::Whole);
    }
    let mut opened = 0;
    for engine in &running.fleet.engines {
        let counters = running.get(engine.control, "/counters").await;
        opened += counters["streams_opened"].as_u64().unwrap();
    }
    assert!(whole > 0, "spare places serve free requests");
    assert_eq!(
        opened,
        whole + PAYING as u64,
        "what was refused did not run"
    );
    assert!(
        whole < FLOOD as u64,
        "the flood exceeds the {PLACES} places"
    );
}
