//! Validation of the daemon's settings file with `--check`, and of other files by
//! `parsleylatchctl check`.

use std::process::Command;

use test_case::test_case;

fn check(text: &str, name: &str) -> (Option<i32>, String) {
    let path = std::env::temp_dir().join(format!("{name}-{}.jsonc", std::process::id()));
    std::fs::write(&path, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_parsleylatch-node"))
        .args(["--check", "--settings"])
        .arg(&path)
        .output()
        .unwrap();
    let _ = std::fs::remove_file(&path);
    (
        output.status.code(),
        String::from_utf8(output.stderr).unwrap(),
    )
}

const GOOD: &str = r#"{
  "node_id": "node-1", "failure_domain": "d", "region": "r",
  "caller_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
  "peer_address": "127.0.0.1:0", "store_address": "127.0.0.1:1",
  // The platform's list.
  "vm_list_address": "127.0.0.1:2",
  "traffic_threads": 1
}"#;

#[test]
fn check_settings_good() {
    assert_eq!(check(GOOD, "good"), (Some(0), String::new()));
}

#[test_case("trafic_threads", ":7: field `trafic_threads`: unknown field `trafic_threads`; the nearest known field is `traffic_threads`" ; "unknown field")]
#[test_case("traffic_threads\": 0, \"limits", ":8: field `limits`" ; "wrong type")]
fn check_settings_bad(field: &str, reason: &str) {
    let name = field
        .chars()
        .filter(char::is_ascii_alphabetic)
        .collect::<String>();
    let (status, message) = check(&GOOD.replace("traffic_threads", field), &name);
    assert_eq!(status, Some(2));
    assert!(message.contains(reason), "{message}");
}

const CONFIGURATION: &str = r#"{
  "version": 3, "services": [{"name": "desk", "connection_limit": 9}],
  "workspaces": [{"id": "w-0", "keys": ["key-0"]}],
  "routes": [
    {"name": "r-0", "host": "a.example", "path_prefix": "/x/", "repeat": "idempotent",
     "timeout_ms": 4000, "goal_ms": 1000, "rank": 1, "attempts": 3,
     "backends": [{"service": "desk", "weight": 1}]}
  ]
}"#;

fn check_configuration(name: &str, text: &str, options: &[&str]) -> (Option<i32>, String) {
    let dir = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let (file, in_force) = (dir.join("next.json"), dir.join("in-force.json"));
    std::fs::write(&file, text).unwrap();
    std::fs::write(&in_force, CONFIGURATION).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_parsleylatchctl"))
        .arg("check")
        .arg(&file)
        .arg("--against")
        .arg(&in_force)
        .args(options)
        .output()
        .unwrap();
    let _ = std::fs::remove_dir_all(&dir);
    let shown = [output.stdout, output.stderr].concat();
    (output.status.code(), String::from_utf8(shown).unwrap())
}

/// Guards against a status by which a script sends a configuration that isn't clean.
#[test_case("\"version\": 3", "\"version\": 4", 0, "usable relay configuration" ; "clean")]
#[test_case("3, \"services\"", "4, \"services\": [], \"servicez\"", 2, "unknown field `servicez`" ; "unknown field")]
#[test_case("\"timeout_ms\": 4000", "\"timeout_ms\": 900", 1, ":6: warning: routes[0].goal_ms: " ; "goal")]
#[test_case("\"version\": 3", "\"version\": 2", 2, ":2: error: version: " ; "lower version")]
#[test_case("[\"key-0\"]", "[\"key-1\"]", 1, "in-force.json:3: warning: workspaces[0].keys: " ; "withdrawn key")]
fn check_configuration_status(from: &str, to: &str, status: i32, shown: &str) {
    let name: String = from
        .chars()
        .chain(to.chars())
        .filter(char::is_ascii_alphanumeric)
        .collect();
    let (code, text) = check_configuration(&name, &CONFIGURATION.replacen(from, to, 1), &[]);
    assert_eq!(code, Some(status), "{text}");
    assert!(text.contains(shown), "{text}");
}

#[test]
fn check_configuration_json() {
    let text = CONFIGURATION.replacen("/x/", "/y/", 1);
    let (code, shown) = check_configuration("json", &text, &["--json"]);
    let report: serde_json::Value = serde_json::from_str(&shown).unwrap();
    assert_eq!((code, &report["exit_status"]), (Some(1), &1.into()));
    let findings = report["findings"].as_array().unwrap().iter();
    let kinds: Vec<&str> = findings.map(|it| it["kind"].as_str().unwrap()).collect();
    assert_eq!(kinds, ["version_unchanged", "route_removed", "route_added"]);
}
