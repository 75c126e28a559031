//! Generations survive the loss of their owner and of their journal peer.
//!
//! Results are checked from the caller's view: the response is complete, no token
//! is missing or repeated, and no gap between tokens exceeds the limit.

use std::time::{Duration, Instant};

use parsleylatch::{
    bench::{
        caller::{
            Events, GenerationResponse, ReceivedToken, StreamEnding, check_prefix, check_response,
        },
        resuming::{GenerationRecord, ResumingCaller},
    },
    standin::EngineFault,
    types::RequestId,
    wire::caller::GenerationBody,
};
use test_case::test_case;
use tokio::time::timeout;

use crate::harness::{EVENT_TIMEOUT, FleetSpec, RunningFleet, body, generate, signal};

/// Longest gap between tokens that the loss of a process may cause at a caller.
const MAX_TOKEN_GAP: Duration = Duration::from_secs(3);

const FLEET: FleetSpec<'_> = FleetSpec {
    nodes: 4,
    engines: 3,
    services: 0,
    options: &["--pace-ms", "5"],
};

/// Returns a caller that starts at the first node and can resume at every node.
fn resuming_caller<'a>(running: &RunningFleet) -> ResumingCaller<'a> {
    let nodes = running.fleet.nodes.iter().map(|node| node.caller).collect();
    ResumingCaller::new(running.paying_caller(0), nodes)
}

/// Returns the process id of the node with the id `node`.
fn node_pid(running: &RunningFleet, node: &str) -> u32 {
    let found = running.fleet.nodes.iter().find(|it| it.id.as_str() == node);
    found.expect("the id names a node").pid
}

/// Returns the owner and the journal peer named by a token's event.
fn owner_and_peer(token: &ReceivedToken) -> (&str, Option<&str>) {
    let (_, rest) = token.event_id.split_once('.').expect("an index");
    let owner = rest.split('/').next().expect("an owner");
    (owner, token.journal_peer())
}

fn check_complete(body: &GenerationBody, history: &GenerationRecord) {
    let done = history.done.as_ref().expect("the response is complete");
    check_response(body, &history.token_data(), done).unwrap();
    let gap = history.longest_gap();
    assert!(gap < MAX_TOKEN_GAP, "no token for {gap:?}");
}

// The slow pace of the last case leaves time to kill the node before it sends the last
// token.
#[test_case(1, 120, "5" ; "first token")]
#[test_case(60, 120, "5" ; "middle token")]
#[test_case(19, 20, "200" ; "last token")]
#[tokio::test]
async fn resume_owner_killed(at_token: usize, max_tokens: u32, pace_ms: &str) {
    let options = &["--pace-ms", pace_ms];
    let running = RunningFleet::start_linked(FleetSpec { options, ..FLEET }).await;
    let body = body("owner", max_tokens);
    let caller = resuming_caller(&running).on_token(|token, count| {
        if count == at_token {
            signal(node_pid(&running, owner_and_peer(token).0), "KILL");
        }
    });
    let history = caller.run(RequestId::generate(), &body).await.unwrap();
    check_complete(&body, &history);
    assert_eq!(history.disconnections.len(), 1);
    assert_eq!(history.rebuilds, 0);
}

#[test_case(1 ; "first token")]
#[test_case(60 ; "middle token")]
#[test_case(119 ; "last token")]
#[tokio::test]
async fn resume_journal_peer_killed(at_token: usize) {
    let running = RunningFleet::start_linked(FLEET).await;
    let body = body("holder", 120);
    let mut killed = String::new();
    let caller = resuming_caller(&running).on_token(|token, count| {
        if count == at_token {
            killed = owner_and_peer(token)
                .1
                .expect("a journal peer holds the token")
                .to_owned();
            signal(node_pid(&running, &killed), "KILL");
        }
    });
    let history = caller.run(RequestId::generate(), &body).await.unwrap();
    check_complete(&body, &history);
    assert!(history.disconnections.is_empty());
    assert_eq!(running.counter(0, "releases_unheld").await, 0);
    let last = history.tokens.last().unwrap();
    if at_token < 100 {
        assert_ne!(owner_and_peer(last).1, Some(killed.as_str()));
    }
}

#[tokio::test]
async fn resume_owner_and_journal_peer_killed() {
    let running = RunningFleet::start_linked(FLEET).await;
    let body = body("both", 120);
    let caller = resuming_caller(&running).on_token(|token, count| {
        if count == 60 {
            let (owner, peer) = owner_and_peer(token);
            signal(node_pid(&running, owner), "KILL");
            signal(
                node_pid(&running, peer.expect("a journal peer holds the token")),
                "KILL",
            );
        }
    });
    let history = caller.run(RequestId::generate(), &body).await.unwrap();
    check_complete(&body, &history);
    assert_eq!(history.rebuilds, 1);
}

#[tokio::test]
async fn resume_owner_and_engine_killed() {
    let running = RunningFleet::start_linked(FLEET).await;
    let body = body("engine", 120);
    // Prompt affinity sends the same prompt to the same engine again.
    let first = generate(&running.paying_caller(0), &body).await;
    assert!(matches!(first.ending, StreamEnding::Done(_)));
    let engine = running.busiest_engine().await;
    let engine_pid = running.fleet.engines[engine].pid;
    let caller = resuming_caller(&running).on_token(|token, count| {
        if count == 60 {
            signal(engine_pid, "KILL");
            signal(node_pid(&running, owner_and_peer(token).0), "KILL");
        }
    });
    let history = caller.run(RequestId::generate(), &body).await.unwrap();
    check_complete(&body, &history);
    assert_eq!(history.rebuilds, 0);
}

#[tokio::test]
async fn resume_owners_killed_twice() {
    let running = RunningFleet::start_linked(FLEET).await;
    let body = body("twice", 160);
    let caller = resuming_caller(&running).on_token(|token, count| {
        if count == 50 || count == 100 {
            signal(node_pid(&running, owner_and_peer(token).0), "KILL");
        }
    });
    let history = caller.run(RequestId::generate(), &body).await.unwrap();
    check_complete(&body, &history);
    assert_eq!(history.disconnections.len(), 2);
    assert_eq!(history.rebuilds, 0);
}

/// Waits until all threads of a process are stopped by a signal.
async fn await_paused(pid: u32) {
    let deadline = Instant::now() + EVENT_TIMEOUT;
    while !is_paused(pid) {
        assert!(Instant::now() < deadline, "{pid} still runs");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn is_paused(pid: u32) -> bool {
    let threads = std::fs::read_dir(format!("/proc/{pid}/task")).unwrap();
    let mut states = threads.map(|thread| {
        let stat = std::fs::read_to_string(thread.unwrap().path().join("stat")).unwrap();
        stat.contains(") T ")
    });
    states.all(|stopped| stopped)
}

/// Returns the next token that a paused node had already sent, if any. On a loaded machine
/// the time-out may fire late, so tokens received by then are read before giving up.
async fn next_in_transit(events: &mut Events) -> Option<ReceivedToken> {
    if let Ok(next) = timeout(Duration::from_millis(300), events.next_token()).await {
        return next.ok();
    }
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    let next = timeout(Duration::ZERO, events.next_token()).await;
    next.ok()?.ok()
}

#[tokio::test]
async fn resume_owner_paused_and_continued() {
    let running = RunningFleet::start_linked(FLEET).await;
    let body = body("frozen", 400);
    let caller = running.paying_caller(0);
    let id = RequestId::generate();
    let GenerationResponse::Events(mut events) = caller.generate(id, &body).await.unwrap() else {
        panic!("refused");
    };
    let mut tokens = Vec::new();
    for _ in 0..60 {
        tokens.push(events.next_token().await.unwrap());
    }
    let owner = running.fleet.nodes[0].pid;
    signal(owner, "STOP");
    await_paused(owner).await;
    // Tokens that were in transit when the node was paused still arrive.
    while let Some(token) = next_in_transit(&mut events).await {
        tokens.push(token);
    }
    let last_event_id = tokens.last().unwrap().event_id.clone();
    let other = caller.at(running.fleet.nodes[3].caller);
    let GenerationResponse::Events(resumed) = other.resume(id, &last_event_id).await.unwrap()
    else {
        panic!("refused");
    };
    let collected = tokio::spawn(resumed.collect(|_| {}));
    tokio::time::sleep(Duration::from_millis(700)).await;
    signal(owner, "CONT");
    let after = timeout(EVENT_TIMEOUT, events.collect(|_| {}))
        .await
        .expect("the connection to the old owner ends");
    // The node can't detect a pause between its last clock read and the socket write, so
    // one more token may arrive; the journal peer held it before the pause.
    let late_tokens = after.tokens;
    assert!(late_tokens.len() <= 1, "{} late tokens", late_tokens.len());
    assert!(
        matches!(after.ending, StreamEnding::Error(_)),
        "{:?}",
        after.ending
    );
    running.await_counter(0, "generations_superseded", 1).await;
    let collected = collected.await.unwrap();
    let StreamEnding::Done(done) = &collected.ending else {
        panic!("ended with {:?}", collected.ending);
    };
    for late_token in &late_tokens {
        assert_eq!(
            late_token.data, collected.tokens[0].data,
            "the late token differs from the resumed one"
        );
    }
    tokens.extend(collected.tokens);
    let data: Vec<_> = tokens.iter().map(|token| token.data.clone()).collect();
    check_response(&body, &data, done).unwrap();
}

#[tokio::test]
async fn resume_finished_generation() {
    let running = RunningFleet::start_linked(FLEET).await;
    let body = body("tail", 40);
    let id = RequestId::generate();
    let GenerationResponse::Events(events) =
        running.paying_caller(0).generate(id, &body).await.unwrap()
    else {
        panic!("refused");
    };
    let full = events.collect(|_| {}).await;
    let middle_token = &full.tokens[19];
    let other = running.paying_caller(2);
    let GenerationResponse::Events(events) =
        other.resume(id, &middle_token.event_id).await.unwrap()
    else {
        panic!("refused");
    };
    let tail = events.collect(|_| {}).await;
    let StreamEnding::Done(done) = &tail.ending else {
        panic!("ended with {:?}", tail.ending);
    };
    let head = full.tokens[..20].iter();
    let data: Vec<_> = head.chain(&tail.tokens).map(|it| it.data.clone()).collect();
    check_response(&body, &data, done).unwrap();
}

/// A fleet of one node has no journal peer, so a generation ends with its owner.
#[tokio::test]
async fn resume_single_node() {
    let fleet_spec = FleetSpec { nodes: 1, ..FLEET };
    let running = RunningFleet::start(fleet_spec).await;
    let body = body("alone", 120);
    let id = RequestId::generate();
    let GenerationResponse::Events(events) =
        running.paying_caller(0).generate(id, &body).await.unwrap()
    else {
        panic!("refused");
    };
    let pid = running.fleet.nodes[0].pid;
    let mut count = 0;
    let collected = events
        .collect(|token| {
            count += 1;
            assert_eq!(token.journal_peer(), None);
            if count == 60 {
                signal(pid, "KILL");
            }
        })
        .await;
    assert!(matches!(collected.ending, StreamEnding::ConnectionLost(_)));
    let last = collected.tokens.last().unwrap();
    let data: Vec<_> = collected.tokens.iter().map(|it| it.data.clone()).collect();
    check_prefix(&body, &data, &last.endpoint_version().unwrap()).unwrap();
    assert!(
        running
            .paying_caller(0)
            .resume(id, &last.event_id)
            .await
            .is_err()
    );
}

#[test_case(false ; "same body")]
#[test_case(true ; "other body")]
#[tokio::test]
async fn generate_id_reused(differs: bool) {
    let running = RunningFleet::start_linked(FLEET).await;
    let first_body = body("again", 200);
    let id = RequestId::generate();
    let caller = running.paying_caller(0);
    let GenerationResponse::Events(mut first) = caller.generate(id, &first_body).await.unwrap()
    else {
        panic!("refused");
    };
    for _ in 0..20 {
        first.next_token().await.unwrap();
    }
    let second_body = if differs {
        body("other", 200)
    } else {
        first_body
    };
    match caller.generate(id, &second_body).await.unwrap() {
        GenerationResponse::Refused(problem) => {
            assert!(differs, "{problem:?}");
            assert_eq!(problem.status, 409);
            assert!(problem.not_run);
        }
        GenerationResponse::Events(second) => {
            assert!(!differs);
            let second = second.collect(|_| {}).await;
            let StreamEnding::Done(done) = &second.ending else {
                panic!("ended with {:?}", second.ending);
            };
            let data: Vec<_> = second.tokens.iter().map(|it| it.data.clone()).collect();
            check_response(&second_body, &data, done).unwrap();
            let first = first.collect(|_| {}).await;
            assert!(matches!(first.ending, StreamEnding::Error(_)));
        }
    }
}

#[tokio::test]
async fn generate_same_id_two_nodes() {
    let running = RunningFleet::start_linked(FLEET).await;
    let body = body("two nodes", 120);
    let id = RequestId::generate();
    let mut tasks = Vec::new();
    for node in 0..2 {
        let GenerationResponse::Events(events) = running
            .paying_caller(node)
            .generate(id, &body)
            .await
            .unwrap()
        else {
            panic!("refused");
        };
        tasks.push(tokio::spawn(events.collect(|_| {})));
    }
    for task in tasks {
        let collected = task.await.unwrap();
        let StreamEnding::Done(done) = &collected.ending else {
            panic!("ended with {:?}", collected.ending);
        };
        let data: Vec<_> = collected.tokens.iter().map(|it| it.data.clone()).collect();
        check_response(&body, &data, done).unwrap();
    }
}

#[tokio::test]
async fn resume_wrong_workspace() {
    let running = RunningFleet::start_linked(FLEET).await;
    let body = body("foreign", 400);
    let id = RequestId::generate();
    let GenerationResponse::Events(mut events) =
        running.paying_caller(0).generate(id, &body).await.unwrap()
    else {
        panic!("refused");
    };
    let token = events.next_token().await.unwrap();
    let free = parsleylatch::bench::caller::Caller::new(
        running.fleet.nodes[1].caller,
        &running.fleet.workspaces[1].key,
    );
    let GenerationResponse::Refused(problem) = free.resume(id, &token.event_id).await.unwrap()
    else {
        panic!("another workspace could resume the generation");
    };
    assert_eq!(problem.status, 404);
    assert!(!problem.not_run);
    // The refused request does not interrupt the owner.
    let rest = events.collect(|_| {}).await;
    assert!(
        matches!(rest.ending, StreamEnding::Done(_)),
        "{:?}",
        rest.ending
    );
    assert_eq!(rest.tokens.len(), 399);
}

#[tokio::test]
async fn resume_engine_fault_after_take_over() {
    let running = RunningFleet::start_linked(FLEET).await;
    let body = body("fault", 120);
    for engine in &running.fleet.engines {
        let at_index = Some(parsleylatch::types::TokenIndex::new(80));
        running
            .inject_engine_fault(engine, EngineFault::Repeat, at_index)
            .await;
    }
    let caller = resuming_caller(&running).on_token(|token, count| {
        if count == 40 {
            signal(node_pid(&running, owner_and_peer(token).0), "KILL");
        }
    });
    let history = caller.run(RequestId::generate(), &body).await.unwrap();
    check_complete(&body, &history);
}
