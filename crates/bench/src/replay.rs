//! Checks a previously recorded history.

use std::path::PathBuf;

use argh::FromArgs;
use eyre::{Result, bail};
use parsleylatch_types::EndpointVersion;

use crate::{
    check::{self, BackEndCounts},
    history, load,
    report::Report,
};

/// checks a recorded history
#[derive(Clone, Debug, FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckArgs {
    /// history file
    #[argh(positional)]
    pub(crate) history: PathBuf,
    /// version that engines ran; may be repeated
    #[argh(option)]
    pub(crate) version: Vec<EndpointVersion>,
}

/// Checks the history and reports its totals.
///
/// # Errors
/// The first violation, or the file that can't be read and why.
pub(crate) fn run(args: &CheckArgs, report: &mut Report) -> Result<()> {
    let entries = history::read(&args.history)?;
    let counts = BackEndCounts {
        versions: args.version.clone(),
        ..BackEndCounts::default()
    };
    let summary = check::check(&entries, &counts);
    load::report_check_summary(report, &summary);
    match summary.violations.first() {
        Some(first) => bail!(
            "{} violations, the first: {first}",
            summary.violations.len()
        ),
        None => Ok(()),
    }
}
