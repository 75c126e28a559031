//! Command line of the node.

use std::path::PathBuf;

use argh::FromArgs;
use eyre::{Result, WrapErr};
use parsleylatch_runtime::INVALID_SETTINGS_EXIT_STATUS;
use parsleylatch_settings::{Document, NodeSettings};

use crate::{node::Node, telemetry};

/// Parsleylatch node: proxies requests between callers and back ends.
#[derive(FromArgs)]
pub struct Args {
    /// path of the settings file (JSON with comments)
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and the state charts, then exit
    #[argh(switch)]
    check: bool,
}

/// Runs a node until it is stopped.
///
/// Exits the process with status 2 if the settings are invalid.
///
/// # Errors
/// Names the step of the start that failed, such as binding an address.
pub fn main(args: Args) -> Result<()> {
    let read = Document::open(&args.settings).and_then(|document| NodeSettings::read(&document));
    let settings = read.unwrap_or_else(|error| {
        eprintln!("{error}");
        std::process::exit(INVALID_SETTINGS_EXIT_STATUS);
    });
    parsleylatch_decide::verify::charts().wrap_err("checking the state charts")?;
    if args.check {
        println!("{} is usable", args.settings.display());
        return Ok(());
    }
    telemetry::start_logging(&settings).wrap_err("initializing logging")?;
    telemetry::start_traces(&settings).wrap_err("initializing tracing")?;
    let node = Node::start(settings)?;
    let addresses = node.addresses();
    println!(
        "ready caller={} admin={} peer={}",
        addresses.caller, addresses.admin, addresses.peer
    );
    node.stop_on_signal()?;
    node.join()
}
