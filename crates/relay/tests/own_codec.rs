//! The codec of the project's own message formats.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use parsleylatch_decide::relay::{
    ConfigurationPlace, CopySource, LimitField, LoadSample, RepeatPolicy, RouteField, ServiceField,
    WorkspaceField,
};
use parsleylatch_relay::{ForwardMetadata, RelayCodec, read_load};
use parsleylatch_types::{Millis, PacePercent, PromptPartId, SlotCount, StreamEventId, TokenCount};
use test_case::test_case;

fn headers(lines: &[(&'static str, &'static str)]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in lines {
        headers.append(
            HeaderName::from_static(name),
            HeaderValue::from_static(value),
        );
    }
    headers
}

#[test]
fn read_request_whole() {
    let lines = [
        ("request-id", "c-1"),
        ("remaining-ms", "4000"),
        ("workspace-key", "key-1"),
        ("prompt-tokens", "500"),
        ("output-tokens", "80"),
        ("last-event-id", "7"),
    ];
    let head = (RelayCodec::own().requests.read)(&headers(&lines)).unwrap();
    assert_eq!(head.id.as_str(), "c-1");
    assert_eq!(head.timeout_ms, Some(Millis::new(4_000)));
    assert_eq!(head.key.as_deref(), Some("key-1"));
    assert_eq!(
        (head.prompt_tokens, head.max_output_tokens),
        (TokenCount::new(500), TokenCount::new(80))
    );
    assert_eq!(head.last_event, Some(StreamEventId::new(7)));
}

#[test]
fn read_request_prompt() {
    let lines = [
        ("request-id", "c-1"),
        ("shared-prompt-parts", "first, ,b{d,second"),
        ("prompt-part", "own"),
    ];
    let head = (RelayCodec::own().requests.read)(&headers(&lines)).unwrap();
    let parts: Vec<&str> = head.prompt.parts().map(PromptPartId::as_str).collect();
    assert_eq!(parts, ["first", "second", "own"]);
    assert_eq!(head.prompt.last().map(PromptPartId::as_str), Some("own"));
}

#[test_case(&[], "no request id" ; "no id")]
#[test_case(&[("request-id", "a"), ("request-id", "b")], "request-id comes twice" ; "two ids")]
#[test_case(&[("request-id", "a"), ("remaining-ms", "soon")], "remaining-ms is not a whole number" ; "no number")]
#[test_case(&[("request-id", "a"), ("prompt-tokens", "5000000000")], "prompt-tokens is too large" ; "too large")]
fn read_request_bad(lines: &[(&'static str, &'static str)], reason: &str) {
    let read = (RelayCodec::own().requests.read)(&headers(lines));
    assert_eq!(read, Err(reason.to_owned()));
}

#[test]
fn write_request_backup_copy() {
    let (id, endpoint) = ("c-1".parse().unwrap(), "i-1".parse().unwrap());
    let order = ForwardMetadata {
        id: &id,
        remaining_ms: Millis::new(900),
        endpoint: &endpoint,
        workspace: None,
        rank: None,
        last_event: Some(StreamEventId::new(7)),
        backup: Some(([127, 0, 0, 1], 81).into()),
        copy: Some((([127, 0, 0, 1], 80).into(), &CopySource::Backup)),
    };
    let mut written = HeaderMap::new();
    (RelayCodec::own().requests.write)(&order, &mut written);
    let expected = [
        ("remaining-ms", "900"),
        ("endpoint-id", "i-1"),
        ("last-event-id", "7"),
        ("memory-backup", "127.0.0.1:81"),
        ("memory-copy", "127.0.0.1:80/c-1"),
    ];
    assert_eq!(written, headers(&expected));
}

/// Fields that earlier endpoints don't send stay unknown.
#[test_case("3,1", None, None ; "two numbers")]
#[test_case("3,1,4", Some(4), None ; "with slots")]
#[test_case("3, 1 ,4, 250", Some(4), Some(250) ; "with pace")]
#[test_case("3,1,4,1", Some(4), Some(1) ; "smallest pace")]
#[test_case("3,1,4,10000", Some(4), Some(10_000) ; "largest pace")]
fn read_response_load(text: &'static str, slots: Option<u32>, pace: Option<u32>) {
    let lines = [
        ("request-id", "c-1"),
        ("answer-digest", "d"),
        ("endpoint-load", text),
    ];
    let head = (RelayCodec::own().responses.read)(StatusCode::OK, &headers(&lines));
    let load = LoadSample {
        running: 3,
        waiting: 1,
        slots: slots.map(SlotCount::new),
        pace: pace.map(PacePercent::new),
    };
    assert_eq!(
        (head.load, head.has_digest, head.is_not_run),
        (Some(Ok(load)), true, false)
    );
}

/// A value that can't be used is reported with its reason, and never taken for a load.
#[test_case("", "running requests" ; "empty")]
#[test_case("3", "too few fields" ; "one number")]
#[test_case("3,x", "waiting requests" ; "no number")]
#[test_case("3,-1", "waiting requests" ; "negative")]
#[test_case("4294967296,1", "running requests" ; "too large")]
#[test_case("3,1,", "slots" ; "empty slots")]
#[test_case("3,1,four", "slots" ; "slots as text")]
#[test_case("3,1,4,", "pace" ; "empty pace")]
#[test_case("3,1,4,0", "a pace of 0% is absurd" ; "pace zero")]
#[test_case("3,1,4,10001", "a pace of 10001% is absurd" ; "pace too large")]
#[test_case("3,1,4,-100", "pace" ; "pace negative")]
#[test_case("3,1,4,1.5", "pace" ; "pace with fraction")]
#[test_case("3,1,4,slow", "pace" ; "pace as text")]
#[test_case("3,1,4,100,7", "too many fields" ; "five numbers")]
fn read_response_unusable_load(text: &'static str, reason: &str) {
    let head =
        (RelayCodec::own().responses.read)(StatusCode::OK, &headers(&[("endpoint-load", text)]));
    let error = head.load.unwrap().unwrap_err();
    assert!(error.contains(reason), "{error}");
}

#[test]
fn read_response_load_absent() {
    let head = (RelayCodec::own().responses.read)(StatusCode::OK, &HeaderMap::new());
    assert_eq!(head.load, None);
}

/// The error message, which is logged, stays short.
#[test]
fn read_load_long_value() {
    let value = HeaderValue::try_from("9".repeat(20_000)).unwrap();
    assert!(read_load(&value).unwrap_err().len() < 200);
    let unprintable = HeaderValue::from_bytes(b"1,\xff").unwrap();
    assert_eq!(
        read_load(&unprintable),
        Err("the load is not text".to_owned())
    );
}

const CONFIGURATION: &str = r#"{"version": 3, "services": [
      {"name": "engines", "connection_limit": 9, "has_backups": true}],
    "workspaces": [{"id": "w-1", "keys": ["key-1"], "rank": 4}],
    "routes": [{"name": "r-1", "host": "a.example", "path_prefix": "/s/",
      "repeat": "resumable_stream", "timeout_ms": 4000, "goal_ms": 1000, "gap_goal_ms": 700,
      "rank": 1, "attempts": 3, "backends": [{"service": "engines", "weight": 1}]}]}"#;

#[test]
fn read_configuration_whole() {
    let parts = (RelayCodec::own().documents.read_configuration)(CONFIGURATION).unwrap();
    assert_eq!(parts.version, 3);
    assert_eq!(
        parts.routes[0].repeat,
        RepeatPolicy::Stream { resumable: true }
    );
    assert!(parts.services[0].has_backups);
    assert_eq!(parts.workspaces.unwrap()[0].1.len(), 1);
}

#[test_case("\"rank\": 1,", "", "missing field `rank`" ; "missing field")]
#[test_case("resumable_stream", "twice", "unknown variant `twice`" ; "unknown kind")]
#[test_case("\"version\": 3", "\"version\": 3, \"colour\": 1", "unknown field `colour`" ; "unknown field")]
fn read_configuration_bad(from: &str, to: &str, reason: &str) {
    let text = CONFIGURATION.replacen(from, to, 1);
    let read = (RelayCodec::own().documents.read_configuration)(&text);
    let error = read.unwrap_err();
    assert!(error.contains(reason), "{error}");
}

/// Guards against a path that names nothing in the operator's file.
#[test_case(ConfigurationPlace::Version, "3" ; "version")]
#[test_case(ConfigurationPlace::Route(0, RouteField::Repeat), "\"resumable_stream\"" ; "repeat")]
#[test_case(ConfigurationPlace::Route(0, RouteField::GapGoalMs), "700" ; "gap goal")]
#[test_case(ConfigurationPlace::Backend { route: 0, backend: 0 }, r#"{"service":"engines","weight":1}"# ; "backend")]
#[test_case(ConfigurationPlace::Service(0, ServiceField::ConnectionLimit), "9" ; "connections")]
#[test_case(ConfigurationPlace::Service(0, ServiceField::HasBackups), "true" ; "backups")]
#[test_case(ConfigurationPlace::Limit(LimitField::HeadTimeoutMs), "500" ; "head timeout")]
#[test_case(ConfigurationPlace::Workspace(0, WorkspaceField::Keys), "[\"key-1\"]" ; "keys")]
#[test_case(ConfigurationPlace::Workspace(0, WorkspaceField::Rank), "4" ; "workspace rank")]
fn configuration_path_of_place(place: ConfigurationPlace, value: &str) {
    let path = (RelayCodec::own().documents.configuration_path)(place);
    let pointer = format!("/{}", path.replace(']', "").replace(['.', '['], "/"));
    let limits = r#"{"version": 3, "limits": {"head_timeout_ms": 500},"#;
    let text = CONFIGURATION.replacen("{\"version\": 3,", limits, 1);
    let document: serde_json::Value = serde_json::from_str(&text).unwrap();
    let found = document.pointer(&pointer);
    assert_eq!(
        found.map(ToString::to_string).as_deref(),
        Some(value),
        "{path}"
    );
}

#[test]
fn read_entry_whole() {
    let text = r#"{"service": "engines", "address": "127.0.0.1:80", "failure_domain": "fd-1",
        "endpoint_version": "v1", "slots": 4, "incarnation": 9, "is_leaving": true}"#;
    let entry = (RelayCodec::own().documents.read_entry)("endpoints/i-1", text).unwrap();
    assert_eq!(
        (entry.key.id.as_str(), entry.key.incarnation.get()),
        ("i-1", 9)
    );
    assert!(entry.is_leaving);
}
