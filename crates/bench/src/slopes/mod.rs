//! Cost of one node's share against the size of the system.
//!
//! Control cost is measured in this process: the real decisions and messages,
//! on generated state of several sizes. Traffic and store calls are measured on
//! real processes at small counts. Each measure has at least three sizes, so
//! that a bend shows.

mod control;
mod fleets;
mod frames;
mod gossip;
mod journal;
mod simulated_node;
mod state;

use std::path::PathBuf;

use argh::FromArgs;
use eyre::Result;

use crate::{machine_steps, plot, report::Report};

/// measures costs at several sizes, for capacity planning
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "slopes")]
pub(crate) struct SlopesArgs {
    /// leave the fleets of processes out
    #[argh(switch)]
    pub(crate) no_processes: bool,
    /// leave the costs within this process out
    #[argh(switch)]
    pub(crate) no_control: bool,
    /// script that starts a fleet
    #[argh(option, default = "PathBuf::from(\"scripts/local-fleet\")")]
    pub(crate) script: PathBuf,
    /// seconds for which a fleet is watched while idle, and again under load
    #[argh(option, default = "6")]
    pub(crate) watch_s: u64,
    /// directory for plots
    #[argh(option)]
    pub(crate) plots: Option<PathBuf>,
}

/// Measures everything and fits the slopes.
///
/// # Errors
/// The reason for which a fleet or a plot failed.
pub(crate) async fn run(args: SlopesArgs, report: &mut Report) -> Result<()> {
    if !args.no_control {
        machine_steps::measure_steps(report);
        control::measure(report)?;
        gossip::measure(report)?;
        journal::measure(report);
    }
    if !args.no_processes {
        fleets::measure(&args, report).await?;
    }
    report.add_slopes();
    if let Some(directory) = &args.plots {
        plot::draw_slopes(report, directory)?;
    }
    Ok(())
}
