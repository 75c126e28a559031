//! Command line of the node.

use std::path::PathBuf;

use argh::FromArgs;
use eyre::{Result, WrapErr};
use parsleylatch_runtime::INVALID_SETTINGS_EXIT_STATUS;
use parsleylatch_settings::{Document, NodeSettings};

use crate::{node::Node, telemetry};

/// A node of parsleylatch: the process between callers and back ends.
#[derive(FromArgs)]
pub struct Args {
    /// file with the node's settings: JSON with comments
    #[argh(option)]
    settings: PathBuf,
    /// check the settings and the charts, and exit
    #[argh(switch)]
    check: bool,
}

/// Runs a node until it is stopped.
///
/// Ends the process with status 2 if the settings can't be used.
///
/// # Errors
/// A reason with the step, such as an address that can't be bound.
pub fn main(args: Args) -> Result<()> {
    let read = Document::open(&args.settings).and_then(|document| NodeSettings::read(&document));
    let settings = read.unwrap_or_else(|error| {
        eprintln!("{error}");
        std::process::exit(INVALID_SETTINGS_EXIT_STATUS);
    });
    parsleylatch_decide::verify::charts().wrap_err("checking the charts")?;
    if args.check {
        println!("{} is usable", args.settings.display());
        return Ok(());
    }
    telemetry::start_logging(&settings).wrap_err("starting the log")?;
    telemetry::start_traces(&settings).wrap_err("starting the traces")?;
    let node = Node::start(settings)?;
    let addresses = node.addresses();
    println!(
        "ready caller={} admin={} peer={}",
        addresses.caller, addresses.admin, addresses.peer
    );
    node.stop_on_signal()?;
    node.join()
}
