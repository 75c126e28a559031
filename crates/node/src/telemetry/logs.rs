//! Log lines as text or JSON. Only changes of state are logged, not single requests.

use eyre::{Result, WrapErr};
use fern::FormatCallback;
use log::Record;
use parsleylatch_settings::{LogFormat, NodeSettings};
use serde_json::json;

/// Initializes logging to standard error.
pub(crate) fn start_logging(settings: &NodeSettings) -> Result<()> {
    let node_id = settings.node_id.to_string();
    let format = settings.log.format;
    let level = settings.log.level.parse().wrap_err("log level")?;
    fern::Dispatch::new()
        .level(level)
        .level_for("hyper", log::LevelFilter::Warn)
        .format(move |out, _, record| match format {
            LogFormat::Text => write_text(out, &node_id, record),
            LogFormat::Json => write_json(out, &node_id, record),
        })
        .chain(std::io::stderr())
        .apply()
        .wrap_err("another logger is already installed")
}

fn write_text(out: FormatCallback<'_>, node_id: &str, record: &Record<'_>) {
    let time = jiff::Timestamp::now();
    let (level, target) = (record.level(), record.target());
    out.finish(format_args!(
        "{time} {level} {node_id} {target}: {}",
        record.args()
    ));
}

fn write_json(out: FormatCallback<'_>, node_id: &str, record: &Record<'_>) {
    let line = json!({
        "time": jiff::Timestamp::now().to_string(),
        "level": record.level().as_str(),
        "node": node_id,
        "target": record.target(),
        "message": record.args().to_string(),
    });
    out.finish(format_args!("{line}"));
}
