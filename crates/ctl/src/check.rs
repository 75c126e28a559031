//! The `check` subcommand: validates settings and template files.

use std::path::Path;

use eyre::Result;
use parsleylatch_settings::{Document, NodeSettings, RelaySettings, SettingsError, Template};

/// Process exit status for an invalid file.
const INVALID_FILE_EXIT_STATUS: i32 = 2;

/// Validates a settings or template file. Exits the process if the file is invalid.
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

/// Detects the kind of the file and reads it. Only relay settings contain
/// `ready_address`, and only settings contain `node_id`; any other file is read as a
/// template.
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
