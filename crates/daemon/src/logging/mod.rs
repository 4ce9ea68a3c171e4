//! Logging as JSON lines on standard output.
//!
//! Each line describes one decision: its fields are the inputs, with their age or version, and the
//! outcome. Logging never blocks the calling thread: a writer thread writes the lines of a bounded
//! queue. Lines beyond the rate limit or the queue are dropped and counted; the count is logged
//! with the next line.

mod line;
mod rate_limiter;
mod writer;

use std::sync::Mutex;
use std::time::Instant;

use log::LevelFilter;

use crate::logging::line::json_line;
use crate::logging::rate_limiter::LineRateLimiter;
use crate::logging::writer::LineWriter;

pub use crate::logging::writer::BufferedLines;

/// Sustained limit on the lines of a VM per second: about twice the lines of its requests at the
/// highest observed load, 20 requests per second and VM.
const LINES_PER_SECOND: u32 = 100;
/// Sustained limit on lines about single calls to targets, per second. Hundreds of such lines are
/// logged at once when many calls fail.
const CALL_LINES_PER_SECOND: u32 = 50;
/// Module that logs lines about single calls to targets.
const CALL_MODULE: &str = "oleanderwind_daemon::fanout::forward";
/// Maximum burst in lines, so that a burst of changes is logged in full.
const BURST_LINES: u32 = 400;

/// Starts logging for the whole process. Lines are buffered until
/// [`BufferedLines::start_writing`] is called.
///
/// # Errors
///
/// Returns an error if a logger has already been started.
pub fn start_logging(vm: &str, level: LevelFilter) -> eyre::Result<BufferedLines> {
    let vm = vm.to_owned();
    let (writer, buffered) = LineWriter::new();
    let now = Instant::now();
    let limiter = Mutex::new(LineRateLimiter::new(LINES_PER_SECOND, BURST_LINES, now));
    let call_limiter = Mutex::new(LineRateLimiter::new(CALL_LINES_PER_SECOND, BURST_LINES, now));
    let output = fern::Output::call(move |record| {
        let limiter = if record.target() == CALL_MODULE { &call_limiter } else { &limiter };
        let dropped = match limiter.lock() {
            Ok(mut limiter) => limiter.admit(Instant::now()),
            Err(_) => return,
        };
        let Some(dropped) = dropped else { return };
        writer.write(json_line(&vm, record, dropped));
    });
    fern::Dispatch::new()
        .level(level.min(LevelFilter::Warn))
        .level_for("oleanderwind_daemon", LevelFilter::Trace)
        .level_for("oleanderwind_http", LevelFilter::Trace)
        .level_for("oleanderwind_platform", LevelFilter::Trace)
        .chain(output)
        .apply()?;
    // The maximum level can change while the process runs, so the dispatch passes all levels of the
    // crates above.
    log::set_max_level(level);
    Ok(buffered)
}
