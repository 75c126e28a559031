//! Cost per node as a function of system size.
//!
//! Control cost is measured in this process: the production decision code and
//! messages run on generated state of several sizes. Traffic and store calls are
//! measured on real processes at small counts. Each measure has at least three
//! sizes, so that non-linear growth is visible.

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
    /// skip the measurements on fleets of processes
    #[argh(switch)]
    pub(crate) no_processes: bool,
    /// skip the measurements within this process
    #[argh(switch)]
    pub(crate) no_control: bool,
    /// script that starts a fleet
    #[argh(option, default = "PathBuf::from(\"scripts/local-fleet\")")]
    pub(crate) script: PathBuf,
    /// seconds for which an idle fleet is observed
    #[argh(option, default = "6")]
    pub(crate) watch_s: u64,
    /// directory in which to write plots
    #[argh(option)]
    pub(crate) plots: Option<PathBuf>,
}

/// Runs the selected measurements, fits the slopes and draws the plots.
///
/// # Errors
/// Returns an error if a fleet fails or a plot can't be written.
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
