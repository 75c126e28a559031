//! Recorded histories of concurrent callers show no violation when an engine is killed.

use std::sync::Arc;

use futures::future::join_all;
use parsleylatch::{
    bench::{
        check::{BackEndCounts, Violation, check},
        exchange::GenerationClient,
        history::{HistoryEvent, Recorder},
    },
    types::RequestId,
};

use crate::harness::{FleetSpec, RunningFleet, body, signal};

const THREE_ENGINES: FleetSpec<'_> = FleetSpec {
    nodes: 2,
    engines: 3,
    services: 0,
    options: &["--pace-ms", "10"],
};
const GENERATIONS: usize = 24;

/// Runs generations at all nodes and kills the first engine while they run.
async fn record_with_killed_engine(running: &RunningFleet) -> Arc<Recorder> {
    let recorder = Arc::new(Recorder::new());
    let callers = (0..running.fleet.nodes.len()).map(|node| running.paying_caller(node));
    let workspace = running.fleet.workspaces[0].id.clone();
    let exchanges = GenerationClient::new(callers.collect(), workspace, Arc::clone(&recorder));
    let generations = (0..GENERATIONS).map(|position| {
        let exchanges = &exchanges;
        async move {
            let body = body(&format!("prompt {position}"), 60);
            exchanges.run(position, RequestId::generate(), &body).await
        }
    });
    let kill = async {
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        signal(running.fleet.engines[0].pid, "KILL");
    };
    tokio::join!(join_all(generations), kill);
    recorder
}

fn backend_counts(running: &RunningFleet) -> BackEndCounts {
    BackEndCounts {
        versions: vec![running.fleet.engines[0].endpoint_version.clone()],
        ..BackEndCounts::default()
    }
}

#[tokio::test]
async fn history_engine_killed() {
    let running = RunningFleet::start(THREE_ENGINES).await;
    let recorder = record_with_killed_engine(&running).await;
    let verdict = check(&recorder.entries(), &backend_counts(&running));
    assert_eq!(verdict.violations, []);
    assert_eq!(verdict.done, GENERATIONS as u64);
    assert!(
        verdict.attempts > verdict.done,
        "the killed engine had no attempt running"
    );
}

/// The checker reports a token that was removed from a recorded history.
#[tokio::test]
async fn history_token_removed() {
    let running = RunningFleet::start(THREE_ENGINES).await;
    let recorder = record_with_killed_engine(&running).await;
    let mut entries = recorder.entries();
    let is_token = |event: &HistoryEvent| matches!(event, HistoryEvent::Token { .. });
    let middle = entries.len() / 2;
    let offset = entries[middle..]
        .iter()
        .position(|entry| is_token(&entry.event))
        .unwrap();
    let removed = entries.remove(middle + offset);
    let violations = check(&entries, &backend_counts(&running)).violations;
    let of_request = violations.iter().any(|violation| match violation {
        Violation::MissingToken { request, .. } | Violation::Incomplete { request, .. } => {
            *request == removed.request_id
        }
        _ => false,
    });
    assert!(of_request, "{violations:?}");
}
