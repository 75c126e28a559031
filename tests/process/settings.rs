//! Validation of the daemon's settings file with `--check`.

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
