//! Command line of the relay.

use std::path::PathBuf;

use argh::FromArgs;
use eyre::{Result, WrapErr, eyre};
use parsleylatch_runtime::INVALID_SETTINGS_EXIT_STATUS;
use parsleylatch_settings::{Document, RelaySettings};

use crate::{Relay, RelayCodec, telemetry};

/// A relay of parsleylatch: forwards callers' requests to endpoints.
#[derive(FromArgs)]
pub struct RelayArgs {
    /// file with the relay's settings: JSON with comments
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings and the charts, and exit
    #[argh(switch)]
    check: bool,
}

/// Runs a relay until it is stopped. The settings are read from `default_file` if
/// the command line names no file.
///
/// Exits the process with status 2 if the settings are invalid.
///
/// # Errors
/// Fails if a step of the start-up fails, such as binding an address.
pub fn main(args: RelayArgs, default_file: Option<PathBuf>, codec: RelayCodec) -> Result<()> {
    let file = args.settings.or(default_file);
    let file = file.ok_or_else(|| eyre!("no settings: --settings FILE is missing"))?;
    let read = Document::open(&file).and_then(|document| RelaySettings::read(&document));
    let settings = read.unwrap_or_else(|error| {
        eprintln!("{error}");
        std::process::exit(INVALID_SETTINGS_EXIT_STATUS);
    });
    parsleylatch_decide::verify::charts().wrap_err("checking the charts")?;
    if args.check {
        println!("{} is usable", file.display());
        return Ok(());
    }
    telemetry::start_event_log(settings.node_id.as_str()).wrap_err("starting the log")?;
    Relay::start(settings, Some(file), codec)?.join()
}
