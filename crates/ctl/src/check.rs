//! Checks of files before they are used.

use std::path::Path;

use eyre::Result;
use parsleylatch_settings::{Document, NodeSettings, RelaySettings, SettingsError, Template};

/// Exit status for a file that can't be used.
const INVALID_FILE_EXIT_STATUS: i32 = 2;

/// Checks a file with settings of a node or a relay, or a template; ends the process if it can't
/// be used.
pub(crate) fn check_file(path: &Path) -> Result<()> {
    match read(path) {
        Ok(kind) => println!("{}: usable {kind}", path.display()),
        Err(error) => {
            eprintln!("{error}");
            std::process::exit(INVALID_FILE_EXIT_STATUS);
        }
    }
    Ok(())
}

/// Settings name the node, and those of a relay the balancer's address; everything
/// else is read as a template.
fn read(path: &Path) -> Result<&'static str, SettingsError> {
    let document = Document::open(path)?;
    if document.text().contains("\"ready_address\"") {
        RelaySettings::read(&document).map(|_| "relay settings")
    } else if document.text().contains("\"node_id\"") {
        NodeSettings::read(&document).map(|_| "node settings")
    } else {
        Template::read(&document).map(|_| "template")
    }
}
