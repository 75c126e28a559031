//! Tests of templates in force and of the schedule of store calls. Lower revisions and
//! unreadable documents must never be in force.

use parsleylatch_decide::{
    configuration::{ApplyOutcome, Configuration, TemplateState},
    store_session::{DocumentCall, DocumentReader, SessionState, WatchMode},
};
use parsleylatch_settings::{Document, Template};
use parsleylatch_types::{Millis, MonoTime, Revision, Seed, WorkspaceId};
use proptest::prelude::*;

const GOOD: &str = r#"{ "workspace": "w", "key_sha256": ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"], "tier": "paying", "model": "m",
  "endpoint_versions": ["v1"] }"#;
const BAD: &str = "{ \"tier\": 7 }";

fn id() -> WorkspaceId {
    "w".parse().unwrap()
}

fn at(millis: u64) -> MonoTime {
    MonoTime::ZERO + Millis::new(millis)
}

fn apply(configuration: &mut Configuration, revision: u64, text: &str) -> ApplyOutcome {
    let parsed = Template::read(&Document::new("templates/w", text));
    configuration.apply_document(at(0), &id(), Revision::new(revision), parsed)
}

fn in_force(configuration: &Configuration) -> Option<u64> {
    configuration
        .workspace(&id())
        .map(|view| view.revision.get())
}

proptest! {
    /// Watch events, gossip and listings deliver revisions in any order.
    #[test]
    fn apply_document_never_reverts(arrivals in prop::collection::vec((1..20_u64, any::<bool>()), 1..60)) {
        let mut configuration = Configuration::new();
        let mut highest_good = None;
        let mut newest = 0;
        for (revision, good) in arrivals {
            // A revision always has the same document.
            let good = good && revision % 3 != 0 || revision % 3 == 1;
            apply(&mut configuration, revision, if good { GOOD } else { BAD });
            if good && revision > newest {
                highest_good = Some(revision);
            }
            newest = newest.max(revision);
            prop_assert_eq!(in_force(&configuration), highest_good);
            prop_assert_eq!(configuration.newest_revision(&id()), Some(Revision::new(newest)));
        }
    }
}

#[test]
fn apply_document_unreadable_then_good() {
    let mut configuration = Configuration::new();
    assert_eq!(apply(&mut configuration, 1, GOOD), ApplyOutcome::Newer);
    assert_eq!(apply(&mut configuration, 2, BAD), ApplyOutcome::Unreadable);
    assert_eq!(configuration.state(&id()), TemplateState::Held);
    assert_eq!(in_force(&configuration), Some(1));
    assert_eq!(apply(&mut configuration, 2, BAD), ApplyOutcome::NotNewer);
    assert_eq!(apply(&mut configuration, 3, GOOD), ApplyOutcome::Newer);
    assert_eq!(configuration.state(&id()), TemplateState::InForce);
}

#[test]
fn apply_document_unreadable_first() {
    let mut configuration = Configuration::new();
    assert_eq!(apply(&mut configuration, 4, BAD), ApplyOutcome::Unreadable);
    assert_eq!(configuration.state(&id()), TemplateState::Unusable);
    assert_eq!(apply(&mut configuration, 3, GOOD), ApplyOutcome::NotNewer);
    assert_eq!(in_force(&configuration), None);
}

fn reader() -> DocumentReader {
    DocumentReader::new(at(0), Seed::new(1))
}

fn end(reader: &mut DocumentReader, now: MonoTime, read: Option<u64>) {
    reader.call_started(now);
    reader.call_ended(now, read.map(Revision::new));
}

#[test]
fn next_call_start() {
    let mut reader = reader();
    assert_eq!(
        reader.next_call(WatchMode::Reconcile),
        (at(0), DocumentCall::List)
    );
}

#[test]
fn next_call_watch_after_list() {
    let mut reader = reader();
    end(&mut reader, at(0), Some(7));
    let (when, call) = reader.next_call(WatchMode::Watch);
    assert_eq!(call, DocumentCall::Watch(Revision::new(7)));
    assert!(when <= at(250));
}

#[test]
fn next_call_reconcile_is_rare() {
    let mut reader = reader();
    end(&mut reader, at(0), Some(7));
    let (when, call) = reader.next_call(WatchMode::Reconcile);
    assert_eq!(call, DocumentCall::Changes(Revision::new(7)));
    assert!((at(45_000)..=at(75_000)).contains(&when), "{when}");
}

#[test]
fn next_call_in_outage() {
    let mut reader = reader();
    let mut now = at(0);
    for _ in 0..20 {
        end(&mut reader, now, None);
        let (next, _) = reader.next_call(WatchMode::Watch);
        let delay = next.since(now);
        assert!(delay >= Millis::new(180).micros() && delay <= Millis::new(2_500).micros());
        now = next;
    }
    assert_eq!(reader.state(), SessionState::Out);
    reader.call_started(now);
    let changed = reader.call_ended(now, Some(Revision::new(1)));
    assert_eq!(changed, Some(SessionState::Connected));
}

#[test]
fn next_call_older_answer() {
    let mut reader = reader();
    end(&mut reader, at(0), Some(9));
    end(&mut reader, at(300), Some(4));
    let (_, call) = reader.next_call(WatchMode::Watch);
    assert_eq!(call, DocumentCall::Watch(Revision::new(9)));
}
