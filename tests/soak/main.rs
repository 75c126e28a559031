//! The fault soak, with short runs: seeds that must hold, and promises that the
//! deployment breaks on purpose, which must be found.

use std::{
    fs,
    net::{SocketAddr, TcpStream},
    path::{Path, PathBuf},
    process::{Command, Stdio},
    thread,
    time::{Duration, Instant},
};

use parsleylatch_bench::process::{Signal, send_signal};
use parsleylatch_soak::{Invariant, RunReport, RunSpec, run};
use parsleylatch_types::Millis;
use serde_json::Value;
use test_case::test_case;

/// Relays of a short run.
const RELAYS: usize = 3;
/// Time for which faults strike in a short run.
const LOAD_MS: Millis = Millis::new(6_000);

fn run_soak(name: &str, seed: u64, broken_invariant: Option<Invariant>) -> RunReport {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{name}"));
    let spec = RunSpec {
        seed,
        load_ms: LOAD_MS,
        relays: RELAYS,
        relay_program: env!("CARGO_BIN_EXE_parsleylatch-relay-own").into(),
        directory,
        broken_invariant,
    };
    run(&spec).unwrap()
}

/// Any trouble, and planned work only. A seed that ever found something is added
/// here, with a line on the cause.
#[test_case(1 ; "any trouble")]
#[test_case(4 ; "planned work")]
// A link was reset before the fault was noted: a caller that saw it at once counted as lost.
#[test_case(5005 ; "link reset")]
fn seed_without_violations(seed: u64) {
    let report = run_soak(&format!("seed-{seed}"), seed, None);
    assert_eq!(report.violations, [], "seed {seed}");
    assert!(report.tally.served > 0, "{:?}", report.tally);
}

#[test_case(Invariant::ResponseIntegrity)]
#[test_case(Invariant::RequestIntegrity)]
#[test_case(Invariant::AtMostOnce)]
#[test_case(Invariant::NotRunRefusal)]
#[test_case(Invariant::EventOrder)]
#[test_case(Invariant::AttemptLimit)]
#[test_case(Invariant::ResponseDeadline)]
#[test_case(Invariant::RequestLoss)]
#[test_case(Invariant::Drain)]
#[test_case(Invariant::ConfigurationDelay)]
#[test_case(Invariant::Recovery)]
#[test_case(Invariant::ProcessExit)]
fn broken_invariant_found(invariant: Invariant) {
    let report = run_soak(&invariant.to_string(), 1, Some(invariant));
    let mut violations = report.violations.iter();
    assert!(
        violations.any(|it| it.invariant == invariant),
        "{invariant}: {:?}",
        report.violations
    );
}

/// Address for callers in a relay's log, once it is there.
fn caller_address(log: &Path) -> Option<SocketAddr> {
    let text = fs::read_to_string(log).ok()?;
    let line: Value = serde_json::from_str(text.lines().next()?).ok()?;
    line["caller"].as_str()?.parse().ok()
}

fn wait_for<Found>(what: &str, mut find: impl FnMut() -> Option<Found>) -> Found {
    let started_at = Instant::now();
    loop {
        if let Some(found) = find() {
            return found;
        }
        assert!(started_at.elapsed() < Duration::from_secs(10), "{what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// A soak that is stopped ends the relays that it started.
#[test]
fn stopped_soak_ends_relays() {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("soak-stopped");
    // There is none from an earlier run on a fresh machine.
    let _ = fs::remove_dir_all(&directory);
    let mut soak = Command::new(env!("CARGO_BIN_EXE_parsleylatch-soak"))
        .args(["--seed", "4", "--load-s", "30", "--directory"])
        .arg(&directory)
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let log = directory.join("seed-4/relay-0.log");
    let address = wait_for("no relay", || caller_address(&log));
    send_signal(soak.id(), Signal::Term).unwrap();
    assert!(!soak.wait().unwrap().success());
    wait_for("the relay lives on", || {
        TcpStream::connect(address).is_err().then_some(())
    });
}
