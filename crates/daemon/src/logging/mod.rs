//! Logs as JSON lines on standard output.
//!
//! A line is one decision: its fields are the inputs that decided, with their age or version, and
//! the outcome. Writing never blocks the thread that logs: a thread of its own writes what fits a
//! bounded queue, and what is left out is counted in a line of its own.

mod line;
mod quota;
mod writer;

use std::sync::Mutex;
use std::time::Instant;

use log::LevelFilter;

use crate::logging::line::json_line;
use crate::logging::quota::LineQuota;
use crate::logging::writer::LineWriter;

pub use crate::logging::writer::BufferedLines;

/// Lines a second that a VM may write on average: about twice what its requests need on the
/// heaviest day seen, 20 requests/s a VM.
const LINES_PER_SECOND: u32 = 100;
/// Lines a second about single calls to targets, which come in hundreds when many fail.
const CALL_LINES_PER_SECOND: u32 = 50;
/// Module whose lines are about single calls to targets.
const CALL_MODULE: &str = "oleanderwind_daemon::fanout::forward";
/// Lines that may come at once, so that a burst of changes is still told whole.
const BURST_LINES: u32 = 400;

/// Starts logging for the whole process; lines are held until they are released.
///
/// # Errors
///
/// When a logger was started before.
pub fn start_logging(vm: &str, level: LevelFilter) -> eyre::Result<BufferedLines> {
    let vm = vm.to_owned();
    let (writer, held) = LineWriter::new();
    let now = Instant::now();
    let quota = Mutex::new(LineQuota::new(LINES_PER_SECOND, BURST_LINES, now));
    let call_quota = Mutex::new(LineQuota::new(CALL_LINES_PER_SECOND, BURST_LINES, now));
    let output = fern::Output::call(move |record| {
        let quota = if record.target() == CALL_MODULE { &call_quota } else { &quota };
        let left_out = match quota.lock() {
            Ok(mut quota) => quota.admit(Instant::now()),
            Err(_) => return,
        };
        let Some(left_out) = left_out else { return };
        writer.write(json_line(&vm, record, left_out));
    });
    fern::Dispatch::new()
        .level(level.min(LevelFilter::Warn))
        .level_for("oleanderwind_daemon", LevelFilter::Trace)
        .level_for("oleanderwind_http", LevelFilter::Trace)
        .level_for("oleanderwind_platform", LevelFilter::Trace)
        .chain(output)
        .apply()?;
    // The level may change while the process runs.
    log::set_max_level(level);
    Ok(held)
}
