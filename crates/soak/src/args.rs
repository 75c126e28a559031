//! Command line of the soak.

use std::{
    fs,
    path::{Path, PathBuf},
};

use argh::FromArgs;
use eyre::{Result, WrapErr, ensure};
use parsleylatch_types::Millis;

use crate::{
    invariants::{Invariant, Violation},
    plan::Profile,
    run::{RunReport, RunSpec, run},
};

/// Name of the relay binary, expected in the directory of this binary.
const RELAY_PROGRAM: &str = "parsleylatch-relay-own";
const DEFAULT_RELAYS: usize = 3;
/// Maximum number of relays in a run; keeps a run to a few hundred processes.
const MAX_RELAYS: usize = 200;
/// Maximum number of violations printed for each seed.
const MAX_PRINTED_VIOLATIONS: usize = 20;
/// File with the timelines of all violations of a seed, in its directory.
const TIMELINES_FILE: &str = "timelines.txt";
/// File with all events of the control thread, in the same directory.
const EVENTS_FILE: &str = "events.txt";
/// Default duration of the load with faults.
const DEFAULT_LOAD_S: u64 = 15;

/// Randomized fault soak of relays: real processes, faults from outside.
#[derive(FromArgs)]
pub struct SoakArgs {
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of seeds, one after the other
    #[argh(option, default = "1")]
    count: u64,
    /// selection of faults: mixed, silence or limits
    #[argh(option, default = "Profile::Mixed")]
    profile: Profile,
    /// duration of the load with faults in each run, in seconds
    #[argh(option, default = "DEFAULT_LOAD_S")]
    load_s: u64,
    /// number of relay processes; with more than 24, not all of them read the store
    #[argh(option, default = "DEFAULT_RELAYS")]
    relays: usize,
    /// directory for settings and logs; removed for seeds without violations
    #[argh(option, default = "std::env::temp_dir().join(\"parsleylatch-soak\")")]
    directory: PathBuf,
    /// invariant that the deployment violates on purpose, such as twice or order
    #[argh(option)]
    break_promise: Option<Invariant>,
}

/// Runs the seeds one after the other and prints the violations that each one finds.
///
/// # Errors
/// A seed violated an invariant, or a run failed to complete.
pub fn main(args: SoakArgs) -> Result<()> {
    ensure!(
        (1..=MAX_RELAYS).contains(&args.relays),
        "--relays {} is not between 1 and {MAX_RELAYS}",
        args.relays
    );
    let current_program = std::env::current_exe().wrap_err("locating the relay binary")?;
    let mut failed_seeds = 0;
    for seed in args.seed..args.seed.saturating_add(args.count) {
        let spec = RunSpec {
            profile: args.profile,
            seed,
            load_ms: Millis::new(args.load_s * 1_000),
            relays: args.relays,
            relay_program: current_program.with_file_name(RELAY_PROGRAM),
            directory: args.directory.join(format!("seed-{seed}")),
            broken_invariant: args.break_promise,
        };
        let report = run(&spec).wrap_err_with(|| format!("seed {seed}"))?;
        print(seed, &report);
        if report.violations.is_empty() {
            let removed = fs::remove_dir_all(&spec.directory);
            removed.wrap_err_with(|| format!("removing {}", spec.directory.display()))?;
        } else {
            write_timelines(&spec.directory, &report)?;
            println!("  logs: {}", spec.directory.display());
            failed_seeds += 1;
        }
    }
    ensure!(
        failed_seeds == 0,
        "{failed_seeds} of {} seeds violated an invariant",
        args.count
    );
    Ok(())
}

/// Writes the timelines of all violations and the events of the run next to the logs.
fn write_timelines(directory: &Path, report: &RunReport) -> Result<()> {
    let mut text = String::new();
    for violation in &report.violations {
        let Violation {
            invariant,
            at,
            reason,
            ..
        } = violation;
        text += &format!("{invariant} at {at}: {reason}\n");
        for line in &violation.timeline {
            text += &format!("  {line}\n");
        }
    }
    for (name, text) in [
        (TIMELINES_FILE, text),
        (EVENTS_FILE, report.events.join("\n")),
    ] {
        let file = directory.join(name);
        fs::write(&file, text).wrap_err_with(|| format!("writing {}", file.display()))?;
    }
    Ok(())
}

fn print(seed: u64, report: &RunReport) {
    let tally = report.tally;
    println!(
        "seed {seed}: {} faults, {} requests, {} served, {} refused, {} failed, {} closed, \
         {} violations",
        report.faults,
        tally.sent,
        tally.served,
        tally.refused,
        tally.failed,
        tally.closed,
        report.violations.len()
    );
    for violation in report.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!(
            "  {} at {}: {}",
            violation.invariant, violation.at, violation.reason
        );
    }
    let omitted = report
        .violations
        .len()
        .saturating_sub(MAX_PRINTED_VIOLATIONS);
    if omitted > 0 {
        println!("  and {omitted} more");
    }
}
