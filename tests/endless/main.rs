//! Short runs of the measurement of endless messages on a real relay.

use std::{fs, path::PathBuf, process::Command};

use serde_json::Value;
use test_case::test_case;

#[test_case("success-sized")]
#[test_case("error-until-close")]
#[test_case("small-events")]
#[test_case("stalled-request-bodies")]
fn endless_measured(form: &str) {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("endless-{form}"));
    fs::create_dir_all(&directory).unwrap();
    let json = directory.join("figures.json");
    let output = Command::new(env!("CARGO_BIN_EXE_parsleylatch-bench"))
        .arg("--json")
        .arg(&json)
        .args(["endless", "--requests", "2", "--duration-s", "0.5"])
        .args(["--form", form, "--directory"])
        .arg(&directory)
        .output()
        .unwrap();
    let printed = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{printed}");
    let text = fs::read_to_string(&json).unwrap();
    let figures = text
        .lines()
        .map(|line| serde_json::from_str::<Value>(line).unwrap());
    let figures: Vec<Value> = figures.collect();
    for measure in [
        "endless_sent",
        "endless_peak",
        "endless_after",
        "endless_sound_answered",
        "endless_process_lives",
    ] {
        let mut values = figures.iter().filter(|it| it["measure"] == measure);
        assert!(
            values.clone().count() > 0 && values.all(|it| it["value"].as_f64() > Some(0.0)),
            "{measure}: {printed}"
        );
    }
}
