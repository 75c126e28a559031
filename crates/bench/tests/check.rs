//! The checker reports each violation in a history, and reports none in a correct one.

use std::collections::BTreeMap;

use parsleylatch_bench::{
    check::{BackEndCounts, CheckSummary, Violation, check},
    history::{self, HistoryEntry, HistoryEvent},
};
use parsleylatch_standin::completion;
use parsleylatch_types::{
    AttemptNumber, EndpointVersion, Micros, RequestId, TokenCount, TokenIndex,
};
use parsleylatch_wire::caller::{DoneData, GenerationBody, Problem};
use test_case::test_case;

const MAX_TOKENS: u32 = 6;

fn version(name: &str) -> EndpointVersion {
    name.parse().unwrap()
}

fn body() -> GenerationBody {
    GenerationBody {
        model: "drafts".parse().unwrap(),
        prompt: "a prompt".to_owned(),
        max_tokens: TokenCount::new(MAX_TOKENS),
        seed: None,
        adapter: None,
    }
}

fn requested() -> HistoryEvent {
    HistoryEvent::Asked {
        workspace: "local-paying".parse().unwrap(),
        body: body(),
    }
}

fn token(index: u32, name: &str) -> HistoryEvent {
    let index = TokenIndex::new(index);
    HistoryEvent::Token {
        index,
        token: completion::token_at(&body().prompt, &version(name), index),
    }
}

fn done(attempts: u32) -> HistoryEvent {
    HistoryEvent::Done(DoneData {
        tokens: TokenCount::new(MAX_TOKENS),
        endpoint_version: version("v1"),
        attempts: AttemptNumber::new(attempts),
    })
}

fn refused(not_run: bool) -> HistoryEvent {
    HistoryEvent::Refused(Problem {
        kind: "about:blank".to_owned(),
        title: "overloaded".to_owned(),
        status: 503,
        detail: String::new(),
        not_run,
    })
}

fn resumed() -> HistoryEvent {
    HistoryEvent::Resumed {
        last_event_id: "2.node-1".to_owned(),
    }
}

fn broken() -> HistoryEvent {
    HistoryEvent::Broken {
        reason: "reset".to_owned(),
    }
}

fn tokens(indices: impl IntoIterator<Item = u32>) -> Vec<HistoryEvent> {
    let tokens = indices.into_iter().map(|index| token(index, "v1"));
    tokens.collect()
}

fn entries(events: Vec<HistoryEvent>) -> Vec<HistoryEntry> {
    let request_id = RequestId::generate();
    let entries = events.into_iter().enumerate().map(|(at, event)| {
        let node = ([127, 0, 0, 1], 1).into();
        HistoryEntry {
            at_us: Micros::new(at as u64),
            request_id,
            node,
            event,
        }
    });
    entries.collect()
}

fn check_events(events: Vec<HistoryEvent>) -> CheckSummary {
    let counts = BackEndCounts {
        versions: vec![version("v1"), version("v2")],
        ..BackEndCounts::default()
    };
    check(&entries(events), &counts)
}

fn completed(before: Vec<HistoryEvent>, after: Vec<HistoryEvent>) -> Vec<HistoryEvent> {
    [vec![requested()], before, after, vec![done(1)]].concat()
}

#[test]
fn check_complete_response() {
    let summary = check_events(completed(tokens(0..MAX_TOKENS), Vec::new()));
    assert_eq!(summary.violations, []);
    assert_eq!((summary.requests, summary.done), (1, 1));
}

#[test]
fn check_resumed_response() {
    let first = [tokens(0..3), vec![broken(), resumed()]].concat();
    let summary = check_events(completed(first, tokens(3..MAX_TOKENS)));
    assert_eq!(summary.violations, []);
    assert_eq!(summary.resumed, 1);
}

#[test]
fn check_refusal_not_run() {
    let summary = check_events(vec![requested(), refused(true)]);
    assert_eq!(summary.violations, []);
    assert_eq!(summary.refused, 1);
}

#[test_case(completed(tokens([0, 1, 3, 4, 5]), Vec::new()), "token 3 arrived where 2" ; "missing")]
#[test_case(completed(tokens(0..3), tokens(2..MAX_TOKENS)), "again" ; "repeated")]
#[test_case(completed(tokens(0..5), Vec::new()), "done after 5" ; "incomplete")]
#[test_case(completed(tokens(0..5), vec![token(5, "v2")]), "matches no response" ; "two versions")]
#[test_case([completed(tokens(0..MAX_TOKENS), Vec::new()), tokens(5..6)].concat(), "after the end" ; "after end")]
#[test_case(vec![requested(), broken()], "no complete response" ; "connection lost")]
#[test_case(vec![requested(), refused(false)], "no complete response" ; "refusal not marked not run")]
#[test_case([vec![requested()], tokens(0..2), vec![refused(true)]].concat(), "refused as not run" ; "refused after tokens")]
#[test_case([vec![requested()], tokens(0..2), vec![token(2, "v2"), broken()]].concat(), "matches no response" ; "two versions without end")]
fn check_violation_reported(events: Vec<HistoryEvent>, expected: &str) {
    let summary = check_events(events);
    let messages: Vec<String> = summary.violations.iter().map(ToString::to_string).collect();
    assert!(
        messages
            .iter()
            .any(|violation| violation.contains(expected)),
        "{messages:?}"
    );
}

#[test]
fn check_refused_call_ran() {
    let entries = entries(vec![requested(), refused(true)]);
    let request = entries[0].request_id;
    let counts = BackEndCounts {
        runs: BTreeMap::from([(request, 1)]),
        ..BackEndCounts::default()
    };
    let violations = check(&entries, &counts).violations;
    assert_eq!(
        violations,
        [Violation::RanDespiteRefusal { request, runs: 1 }]
    );
}

#[test_case(1, 0 ; "accounted")]
#[test_case(2, 1 ; "one unaccounted")]
fn check_streams_opened(opened: u64, violations: usize) {
    let counts = BackEndCounts {
        streams_opened: Some(opened),
        ..BackEndCounts::default()
    };
    let events = completed(tokens(0..MAX_TOKENS), Vec::new());
    let summary = check(&entries(events), &counts);
    assert_eq!(summary.violations.len(), violations);
}

#[test]
fn history_round_trip() {
    let events = [vec![requested(), refused(true), resumed()], tokens(0..2)].concat();
    let written = entries([events, vec![done(2), HistoryEvent::GivenUp]].concat());
    let name = format!("parsleylatch-history-{}.jsonl", std::process::id());
    let path = std::env::temp_dir().join(name);
    history::write(&path, &written).unwrap();
    let read = history::read(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert_eq!(read, written);
}
