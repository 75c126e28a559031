//! Command-line arguments.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::PathBuf,
};

use argh::FromArgs;
use eyre::{Result, WrapErr};

use crate::{calls, endless, failover, latency, load, replay, report::Report, slopes};

/// Drives load, checks histories and prints measurements.
#[derive(Clone, Debug, FromArgs)]
pub struct Args {
    /// file for the figures as JSON lines (default: standard output)
    #[argh(option)]
    pub json: Option<PathBuf>,
    #[argh(subcommand)]
    command: Command,
}

#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Load(load::LoadArgs),
    Check(replay::CheckArgs),
    Latency(latency::LatencyArgs),
    Resume(failover::ResumeArgs),
    Slopes(slopes::SlopesArgs),
    Calls(calls::CallsArgs),
    Endless(endless::EndlessArgs),
}

/// Runs the command. Figures are printed even if an invariant was violated.
///
/// # Errors
/// Returns the error of the failed run, or the first violated invariant.
pub async fn run(args: Args) -> Result<()> {
    let mut report = Report::new();
    let outcome = match args.command {
        Command::Load(args) => load::run(args, &mut report).await,
        Command::Check(args) => replay::run(&args, &mut report),
        Command::Latency(args) => latency::run(args, &mut report).await,
        Command::Resume(args) => failover::run(args, &mut report).await,
        Command::Slopes(args) => slopes::run(args, &mut report).await,
        Command::Calls(args) => calls::run(args, &mut report).await,
        Command::Endless(args) => endless::run(&args, &mut report).await,
    };
    match &args.json {
        Some(path) => {
            let file = File::create(path);
            let file = file.wrap_err_with(|| format!("creating {}", path.display()))?;
            let mut out = BufWriter::new(file);
            report.write_json_lines(&mut out)?;
            out.flush()?;
        }
        None => report.write_json_lines(&mut io::stdout().lock())?,
    }
    report.write_table(&mut io::stderr().lock())?;
    outcome
}
