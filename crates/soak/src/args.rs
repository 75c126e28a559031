//! Command line of the soak.

use std::path::PathBuf;

use argh::FromArgs;
use eyre::{Result, WrapErr, ensure};
use parsleylatch_types::Millis;

use crate::{
    invariants::Invariant,
    run::{RunReport, RunSpec, run},
};

/// Name of the relay's program, which stands beside this one.
const RELAY_PROGRAM: &str = "parsleylatch-relay-own";
/// Relays of a run, unless the command line says.
const DEFAULT_RELAYS: usize = 3;
/// Most relays of a run: a few hundred processes at most.
const MAX_RELAYS: usize = 200;
/// Findings of a seed that are shown.
const MAX_PRINTED_VIOLATIONS: usize = 20;
/// Time for which faults strike, unless the command line says.
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
    /// time for which faults strike in each run, in seconds
    #[argh(option, default = "DEFAULT_LOAD_S")]
    load_s: u64,
    /// relays, each a process; on more than 24 not all of them read the store
    #[argh(option, default = "DEFAULT_RELAYS")]
    relays: usize,
    /// directory for settings and logs; those of a seed without findings are removed
    #[argh(option, default = "std::env::temp_dir().join(\"parsleylatch-soak\")")]
    directory: PathBuf,
    /// promise that the deployment breaks on purpose, such as twice or order
    #[argh(option)]
    break_promise: Option<Invariant>,
}

/// Plays seeds and prints what they find.
///
/// # Errors
/// That promises were broken, or the step that failed.
pub fn main(args: SoakArgs) -> Result<()> {
    ensure!(
        (1..=MAX_RELAYS).contains(&args.relays),
        "--relays {} is not between 1 and {MAX_RELAYS}",
        args.relays
    );
    let current_program = std::env::current_exe().wrap_err("finding the relay's program")?;
    let mut failed_seeds = 0;
    for seed in args.seed..args.seed.saturating_add(args.count) {
        let spec = RunSpec {
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
            let removed = std::fs::remove_dir_all(&spec.directory);
            removed.wrap_err_with(|| format!("removing {}", spec.directory.display()))?;
        } else {
            println!("  logs: {}", spec.directory.display());
            failed_seeds += 1;
        }
    }
    ensure!(
        failed_seeds == 0,
        "{failed_seeds} of {} seeds broke a promise",
        args.count
    );
    Ok(())
}

fn print(seed: u64, report: &RunReport) {
    let tally = report.tally;
    println!(
        "seed {seed}: {} faults, {} requests, {} served, {} refused, {} failed, {} closed, \
         {} findings",
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
