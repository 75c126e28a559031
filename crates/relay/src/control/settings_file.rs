//! Reloads the settings file when it changes or on `SIGHUP`.

use std::{path::PathBuf, sync::Arc, time::Duration};

use parsleylatch_settings::{Document, RelaySettings};
use tokio::{
    signal::unix::{SignalKind, signal},
    time,
};

use crate::input::ControlInput;
use crate::shared::Shared;

/// Interval at which the file is checked for changes made without a signal.
const FILE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Watches the file for as long as the control thread runs.
pub(crate) async fn watch(shared: Arc<Shared>, file: PathBuf) {
    let mut hangups = match signal(SignalKind::hangup()) {
        Ok(hangups) => hangups,
        Err(error) => {
            log::error!(error:% = error; "installing the SIGHUP handler failed");
            return;
        }
    };
    let mut previous = std::fs::read(&file).ok();
    loop {
        let is_signal = tokio::select! {
            _ = hangups.recv() => true,
            () = time::sleep(FILE_POLL_INTERVAL) => false,
        };
        let current = std::fs::read(&file).ok();
        if current == previous && !is_signal {
            continue;
        }
        previous = current;
        match Document::open(&file).and_then(|document| RelaySettings::read(&document)) {
            Ok(settings) => {
                let input = ControlInput::Settings(Box::new(settings));
                if shared.control.send(input).await.is_err() {
                    return;
                }
            }
            Err(error) => log::warn!(error:% = error; "settings kept; the file can't be used"),
        }
    }
}
