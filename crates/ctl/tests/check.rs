//! Checks of configuration files, in the form that the own codec of the relay reads.

use std::{
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

use parsleylatch_ctl::{CheckReport, ConfigurationForm, check_file};
use parsleylatch_relay::RelayCodec;
use test_case::test_case;

static NEXT_FILE: AtomicU32 = AtomicU32::new(0);

/// A file that is removed after its test.
struct TestFile(PathBuf);

impl TestFile {
    fn new(text: &str) -> Self {
        let number = NEXT_FILE.fetch_add(1, Ordering::Relaxed);
        let name = format!("parsleylatch-check-{}-{number}.json", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    fn name(&self) -> String {
        self.0.display().to_string()
    }
}

impl Drop for TestFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

const CONFIGURATION: &str = r#"{
  "version": 3,
  "services": [
    {"name": "desk", "connection_limit": 9}
  ],
  "limits": {
    "head_bytes": 16384, "body_bytes": 10000,
    "head_timeout_ms": 500, "idle_timeout_ms": 15000
  },
  "workspaces": [
    {"id": "w-0",
     "keys": ["key-0", "key-1"]}
  ],
  "routes": [
    {
      "name": "r-0", "host": "a.example", "path_prefix": "/look-up/", "repeat": "idempotent",
      "timeout_ms": 4000, "goal_ms": 1000, "rank": 1, "attempts": 3,
      "backends": [{"service": "desk", "weight": 1}]
    },
    {
      "name": "r-1", "host": "a.example", "path_prefix": "/book/", "repeat": "once_only",
      "timeout_ms": 4000,
      "goal_ms": 1000, "rank": 1, "attempts": 1,
      "backends": [{"service": "desk", "weight": 1}]
    }
  ]
}
"#;

fn check(text: &str, in_force: Option<&str>) -> (CheckReport, TestFile, Option<TestFile>) {
    let codec = RelayCodec::own();
    let form = ConfigurationForm {
        marker: codec.documents.configuration_marker,
        read: codec.documents.read_configuration,
        path: codec.documents.configuration_path,
    };
    let file = TestFile::new(text);
    let in_force = in_force.map(TestFile::new);
    let report = check_file(&file.0, in_force.as_ref().map(|it| &*it.0), &[form]);
    (report, file, in_force)
}

#[test]
fn check_file_clean() {
    let (report, file, _) = check(CONFIGURATION, None);
    assert_eq!(report.exit_status(), 0);
    let expected = format!("{}: usable relay configuration\n", file.name());
    assert_eq!(report.text(), expected);
}

/// Each finding names file, line and path, and decides the exit status.
#[test_case("\"goal_ms\": 1000, \"rank\": 1, \"attempts\": 1", "\"goal_ms\": 5000, \"rank\": 1, \"attempts\": 1",
    1, ":23: warning: routes[1].goal_ms: " ; "warning")]
#[test_case("/book/\"", "/book\"", 2, ":21: error: routes[1].path_prefix: " ; "error")]
#[test_case("\"keys\": [\"key-0\", \"key-1\"]", "\"keys\": []",
    1, ":12: warning: workspaces[0].keys: " ; "warning about keys")]
#[test_case("\"version\": 3", "\"version\": true", 2, ":2: error: invalid type" ; "wrong type")]
#[test_case("\"version\": 3", "\"colour\": 3", 2, ":2: error: unknown field `colour`" ; "unknown field")]
#[test_case("\"version\": 3", "// 3", 2, ":2: error: " ; "comment")]
fn check_file_finding(from: &str, to: &str, status: i32, place: &str) {
    let (report, file, _) = check(&CONFIGURATION.replacen(from, to, 1), None);
    let text = report.text();
    assert_eq!(report.exit_status(), status, "{text}");
    assert!(text.contains(&format!("{}{place}", file.name())), "{text}");
    assert_eq!(text.contains("usable"), status < 2, "{text}");
}

/// What the new version lacks is named at its place in the version in force.
#[test]
fn check_file_against_withdrawn() {
    let next = CONFIGURATION.replacen("\"version\": 3", "\"version\": 4", 1);
    let next = next.replacen(", \"key-1\"", "", 1);
    let next = next.replacen("/book/", "/buy/", 1);
    let (report, file, in_force) = check(&next, Some(CONFIGURATION));
    let (text, earlier) = (report.text(), in_force.unwrap().name());
    assert_eq!(report.exit_status(), 1, "{text}");
    for place in [
        format!("{earlier}:21: warning: routes[1].name: "),
        format!("{earlier}:12: warning: workspaces[0].keys: "),
        format!("{}:21: note: routes[1].name: ", file.name()),
    ] {
        assert!(text.contains(&place), "{place} not in {text}");
    }
}

/// Notes alone leave the file clean.
#[test]
fn check_file_against_added() {
    let in_force = CONFIGURATION.replacen("\"version\": 3", "\"version\": 2", 1);
    let next = CONFIGURATION.replacen("/book/", "/look-up/now/", 1);
    let earlier = in_force.replacen(
        "a.example\", \"path_prefix\": \"/book/",
        "b.example\", \"path_prefix\": \"/x/",
        1,
    );
    let (report, ..) = check(&next, Some(&earlier.replacen("/x/", "/look-up/now/", 1)));
    assert_eq!(report.exit_status(), 1, "{}", report.text());
    let (report, ..) = check(
        &CONFIGURATION.replacen("\"attempts\": 3", "\"attempts\": 4", 1),
        Some(&in_force),
    );
    assert_eq!(report.exit_status(), 0, "{}", report.text());
}

#[test_case("{" ; "not json")]
#[test_case("{\"routes\": []}" ; "not a configuration")]
fn check_file_against_unreadable(in_force: &str) {
    let (report, _, in_force) = check(CONFIGURATION, Some(in_force));
    assert_eq!(report.exit_status(), 2);
    assert!(report.text().contains(&in_force.unwrap().name()));
}

#[test]
fn check_file_missing() {
    let path = Path::new("/nonexistent/configuration.json");
    let report = check_file(path, None, &[]);
    assert_eq!(report.exit_status(), 2);
    assert!(report.text().contains("can't be read"), "{}", report.text());
}

/// Only configurations are compared.
#[test]
fn check_file_against_of_settings() {
    let (report, ..) = check("{\"node_id\": \"n\"}", Some(CONFIGURATION));
    assert_eq!(report.exit_status(), 2);
    assert!(
        report.text().contains("only configurations"),
        "{}",
        report.text()
    );
}

#[test]
fn check_file_json() {
    let (report, file, _) = check(
        &CONFIGURATION.replacen("\"goal_ms\": 1000", "\"goal_ms\": 5000", 1),
        None,
    );
    let json = report.json();
    assert_eq!(json["kind"], "relay configuration");
    assert_eq!(json["exit_status"], 1);
    let finding = &json["findings"][0];
    assert_eq!(finding["severity"], "warning");
    assert_eq!(finding["kind"], "contradictory_limits");
    assert_eq!(finding["file"], file.name());
    assert_eq!(finding["line"], 17);
    assert_eq!(finding["path"], "routes[0].goal_ms");
}
