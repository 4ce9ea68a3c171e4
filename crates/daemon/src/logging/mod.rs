//! Logs as JSON lines on standard error.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use log::LevelFilter;
use log::Record;
use serde::Serialize;

/// One line of the log.
#[derive(Serialize)]
struct LogLine<'a> {
    /// Milliseconds since the epoch.
    at_ms: u128,
    level: &'a str,
    module: &'a str,
    vm: &'a str,
    message: String,
}

/// Starts logging for the whole process.
///
/// # Errors
///
/// When a logger was started before.
pub fn start_logging(vm: &str, level: LevelFilter) -> Result<(), log::SetLoggerError> {
    let vm = vm.to_owned();
    fern::Dispatch::new()
        .level(level.min(LevelFilter::Info))
        .level_for("oleanderwind_daemon", level)
        .level_for("oleanderwind_http", level)
        .format(move |out, message, record| {
            out.finish(format_args!("{}", log_line(&vm, &message.to_string(), record)));
        })
        .chain(std::io::stderr())
        .apply()
}

fn log_line(vm: &str, message: &str, record: &Record<'_>) -> String {
    let at_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let line = LogLine {
        at_ms,
        level: record.level().as_str(),
        module: record.target(),
        vm,
        message: message.to_owned(),
    };
    serde_json::to_string(&line).unwrap_or_default()
}
