//! Log output: one line per record, as text or as JSON.

use std::io::Write;

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;
use serde_json::json;

use crate::settings::{LogFormat, LogSettings};

/// Filters for libraries that log each call; the level of the settings can override them.
const QUIET_LIBRARIES: &str = "tarpc=off, poem=warn, hyper=warn, reqwest=warn";

/// Starts the logger; the handle must be kept until the process ends.
///
/// # Errors
///
/// The level is invalid, or a logger is already running.
pub fn start(settings: &LogSettings) -> Result<LoggerHandle, FlexiLoggerError> {
    let filter = format!("{QUIET_LIBRARIES}, {}", settings.level);
    let logger = Logger::try_with_str(filter)?.log_to_stderr();
    match settings.format {
        LogFormat::Text => logger.format(write_text),
        LogFormat::Json => logger.format(write_json),
    }
    .start()
}

/// Writes a record as text: time, level, target, message.
fn write_text(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.3f");
    write!(
        out,
        "{time} {:5} {}: {}",
        record.level(),
        record.target(),
        record.args()
    )
}

/// Writes a record as one JSON object.
fn write_json(
    out: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> Result<(), std::io::Error> {
    let line = json!({
        "time": now.format("%Y-%m-%dT%H:%M:%S%.3f%z").to_string(),
        "level": record.level().as_str(),
        "part": record.target(),
        "message": record.args().to_string(),
    });
    write!(out, "{line}")
}
