//! Reading and validating settings and templates.

use parsleylatch_settings::{
    CallKind, Document, KeyDigest, NodeSettings, RelayOverload, RelaySettings, Template,
    parse_total_memory,
};
use parsleylatch_types::{ByteCount, DescriptorCount, MicrosPerKilobyte, Millis};
use test_case::test_case;

const NODE: &str = r#"{
  // Identity and addresses.
  "node_id": "node-1",
  "failure_domain": "dar-1",
  "region": "dar",
  "caller_address": "127.0.0.1:0",
  "admin_address": "127.0.0.1:0",
  "peer_address": "127.0.0.1:0",
  "store_address": "127.0.0.1:4001",
  "vm_list_address": "127.0.0.1:4002",
  "traffic_threads": 2,
  "log": { "level": "info" }
}"#;

fn template_text() -> String {
    let digest = KeyDigest::of_key("secret");
    format!(
        r#"{{
  "workspace": "mvua-dispatch",
  "key_sha256": ["{digest}"],
  "tier": "paying",
  "model": "drafts",
  "endpoint_versions": ["v1"],
  "max_tokens_limit": 512,
  "services": [{{ "service": "dispatch", "operations": [
    {{ "operation": "status", "idempotent": true }},
    {{ "operation": "book", "idempotent": false }} ] }}]
}}"#
    )
}

#[test]
fn read_node_settings() {
    let settings = NodeSettings::read(&Document::new("node.jsonc", NODE)).unwrap();
    assert_eq!(settings.node_id.as_str(), "node-1");
    assert_eq!(settings.traffic_threads, 2);
}

#[test_case(r#""region""#, r#""reigon""#, "node.jsonc:5: field `reigon`: unknown field `reigon`; the nearest known field is `region`" ; "unknown field")]
#[test_case(r#""traffic_threads": 2"#, r#""traffic_threads": 0"#, "node.jsonc:11: field `traffic_threads`: 0 is not between 1 and 64" ; "value out of range")]
#[test_case(r#""level": "info""#, r#""level": "loud""#, "node.jsonc:12: field `log.level`: `loud` is not one of" ; "nested value")]
#[test_case(r#""node-1""#, r#""node 1""#, "node.jsonc:3: field `node_id`: `node 1` is not a node id" ; "bad id")]
#[test_case(r#""127.0.0.1:4001""#, r#""nowhere""#, "node.jsonc:9: field `store_address`" ; "bad address")]
#[test_case(r#""traffic_threads": 2,"#, r#""traffic_threads": 2"#, "node.jsonc:12" ; "broken json")]
fn read_node_settings_refused(from: &str, to: &str, expected: &str) {
    assert!(
        NODE.contains(from),
        "the pattern `{from}` is not in the settings"
    );
    let document = Document::new("node.jsonc", &NODE.replace(from, to));
    let error = NodeSettings::read(&document).unwrap_err().to_string();
    assert!(error.starts_with(expected), "{error}");
}

#[test_case("dispatch", "status", Some(CallKind::Idempotent) ; "idempotent")]
#[test_case("dispatch", "book", Some(CallKind::OnceOnly) ; "once only")]
#[test_case("dispatch", "cancel", None ; "unknown operation")]
#[test_case("ledger", "book", None ; "unknown service")]
fn call_kind_of(service: &str, operation: &str, expected: Option<CallKind>) {
    let template = Template::read(&Document::new("t.jsonc", &template_text())).unwrap();
    let kind = template.call_kind(&service.parse().unwrap(), &operation.parse().unwrap());
    assert_eq!(kind, expected);
}

#[test_case(r#"["v1"]"#, "[]", "t.jsonc:6: field `endpoint_versions`" ; "no version")]
#[test_case("512", "0", "t.jsonc:7: field `max_tokens_limit`" ; "no tokens")]
#[test_case("paying", "gold", "t.jsonc:4: field `tier`" ; "unknown tier")]
fn read_template_refused(from: &str, to: &str, expected: &str) {
    let document = Document::new("t.jsonc", &template_text().replace(from, to));
    let error = Template::read(&document).unwrap_err().to_string();
    assert!(error.starts_with(expected), "{error}");
}

#[test]
fn key_digest_round_trips() {
    let digest = KeyDigest::of_key("secret");
    assert_eq!(digest.to_string().parse::<KeyDigest>().unwrap(), digest);
    assert!("abc".parse::<KeyDigest>().is_err());
}

fn relay_text(bounds: &str) -> String {
    format!(
        r#"{{
  // Addresses of one VM.
  "node_id": "n1", "failure_domain": "d1", "region": "r1", "regions": {{"d1": "r1"}},
  "caller_address": "127.0.0.1:1", "ready_address": "127.0.0.1:2",
  "peer_address": "127.0.0.1:3", "metrics_address": "127.0.0.1:4",
  "store_address": "127.0.0.1:5",
  "bounds": {bounds}
}}"#
    )
}

#[test]
fn relay_bounds_read() {
    let text = relay_text(r#"{"configuration_ms": 4000, "stop_s": 8, "retry_ratio": 0.8}"#);
    let read = RelaySettings::read(&Document::new("relay.jsonc", &text)).unwrap();
    assert_eq!(read.bounds.configuration_ms, Millis::new(4_000));
    assert_eq!(read.bounds.stop_ms, Millis::new(8_000));
    assert_eq!(read.bounds.retry_ratio_percent, 80);
}

/// A bound that the platform sets to `null` takes its default.
#[test]
fn relay_bounds_null() {
    let text = relay_text(r#"{"retry_slack": null}"#);
    let read = RelaySettings::read(&Document::new("relay.jsonc", &text)).unwrap();
    assert_eq!(read.bounds.retry_slack, 50);
}

/// Settings without the newer sections serve as before.
#[test]
fn relay_overload_absent() {
    let read = RelaySettings::read(&Document::new("relay.jsonc", &relay_text("{}"))).unwrap();
    assert_eq!(read.overload, RelayOverload::default());
    assert!(!read.overload.rank_reserve && !read.overload.calls_queue && !read.locality.enabled);
}

#[test]
fn relay_overload_read() {
    let sections = r#""overload": {"rank_reserve": true},
        "locality": {"enabled": true, "region_crossing_us_per_kb": 270}, "bounds""#;
    let text = relay_text("{}").replacen("\"bounds\"", sections, 1);
    let read = RelaySettings::read(&Document::new("relay.jsonc", &text)).unwrap();
    assert!(read.overload.rank_reserve && !read.overload.calls_queue);
    let crossing = read.locality.region_crossing_us_per_kb;
    assert_eq!(crossing, MicrosPerKilobyte::new(270));
}

/// A misspelt switch would otherwise be off without a word.
#[test]
fn relay_overload_rejected() {
    let section = r#""overload": {"rank_reserv": true}, "bounds""#;
    let text = relay_text("{}").replacen("\"bounds\"", section, 1);
    let error = RelaySettings::read(&Document::new("relay.jsonc", &text)).unwrap_err();
    assert!(error.field.starts_with("overload"), "{error}");
}

#[test_case("{\"stop_s\": 0}", "bounds.stop_s" ; "zero stop time")]
#[test_case("{\"retry_ratio\": -1}", "bounds.retry_ratio" ; "negative ratio")]
#[test_case("{\"stop\": 8}", "bounds" ; "unknown bound")]
fn relay_bounds_rejected(bounds: &str, field: &str) {
    let text = relay_text(bounds);
    let error = RelaySettings::read(&Document::new("relay.jsonc", &text)).unwrap_err();
    assert!(error.field.starts_with(field), "{error}");
    assert_eq!((error.file.as_str(), error.line), ("relay.jsonc", 7));
}

fn with_memory(field: &str) -> String {
    relay_text("{}").replacen("\"bounds\"", &format!("{field}\"bounds\""), 1)
}

/// Memory without a setting is 256 MiB; a part of a MiB counts.
#[test_case("", 256 << 20 ; "absent")]
#[test_case("\"memory_mb\": null, ", 256 << 20 ; "null")]
#[test_case("\"memory_mb\": 160, ", 160 << 20 ; "whole number")]
#[test_case("\"memory_mb\": 100.5, ", 105_381_888 ; "fraction")]
#[test_case("\"memory_mb\": 32, ", 32 << 20 ; "least")]
fn relay_memory_read(field: &str, bytes: u64) {
    let document = Document::new("relay.jsonc", &with_memory(field));
    let read = RelaySettings::read(&document).unwrap();
    assert_eq!(read.memory.get(), bytes);
}

/// Without a setting, the kernel's limit on descriptors counts.
#[test_case("", None ; "absent")]
#[test_case("\"file_descriptors\": null, ", None ; "null")]
#[test_case("\"file_descriptors\": 4100, ", Some(4_100) ; "whole number")]
#[test_case("\"file_descriptors\": 64, ", Some(64) ; "least")]
fn relay_descriptors_read(field: &str, count: Option<u64>) {
    let document = Document::new("relay.jsonc", &with_memory(field));
    let read = RelaySettings::read(&document).unwrap();
    assert_eq!(read.file_descriptors.map(DescriptorCount::get), count);
}

#[test_case("\"file_descriptors\": 63, ", "63 is below 64" ; "too few")]
#[test_case("\"file_descriptors\": -1, ", "-1 is below 64" ; "negative")]
#[test_case("\"file_descriptors\": \"4100\", ", "invalid type" ; "not a number")]
fn relay_descriptors_rejected(field: &str, reason: &str) {
    let document = Document::new("relay.jsonc", &with_memory(field));
    let error = RelaySettings::read(&document).unwrap_err();
    assert!(error.to_string().contains(reason), "{error}");
}

#[test_case("\"memory_mb\": 31.9, ", "31.9 is below 32" ; "too small")]
#[test_case("\"memory_mb\": 0, ", "0 is below 32" ; "zero")]
#[test_case("\"memory_mb\": -160, ", "-160 is below 32" ; "negative")]
#[test_case("\"memory_mb\": \"160\", ", "invalid type" ; "not a number")]
fn relay_memory_rejected(field: &str, reason: &str) {
    let document = Document::new("relay.jsonc", &with_memory(field));
    let error = RelaySettings::read(&document).unwrap_err();
    assert_eq!((error.field.as_str(), error.line), ("memory_mb", 7));
    assert!(error.to_string().contains(reason), "{error}");
}

#[test_case("MemTotal:         163840 kB\nMemFree: 1 kB\n", Some(160 << 20) ; "small vm")]
#[test_case("MemFree: 1 kB\nMemTotal: 1 kB", Some(1_024) ; "second line")]
#[test_case("MemTotal: 163840", None ; "no unit")]
#[test_case("MemTotal: many kB", None ; "no number")]
#[test_case("", None ; "empty")]
fn vm_memory_parsed(text: &str, bytes: Option<u64>) {
    assert_eq!(parse_total_memory(text).map(ByteCount::get), bytes);
}
