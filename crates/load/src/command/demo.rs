//! The command `demo`.

use std::io::Write;

use crate::command::ExitStatus;
use crate::command::exit_status::CommandFailure;
use crate::command::flags::DemoFlags;
use crate::command::run::check_load_bounds;
use crate::command::run::report_exit_status;
use crate::demo::DemoSettings;
use crate::demo::run_demo;
use crate::render_summary;

/// Runs the tier in this process, sends the load and prints the summary.
pub(crate) fn run(flags: &DemoFlags, out: &mut dyn Write) -> Result<ExitStatus, CommandFailure> {
    let findings = check_load_bounds(flags.rate, flags.seconds);
    let settings = findings.into_result(DemoSettings {
        duration_ms: (flags.seconds * 1_000.0) as u64,
        rate: flags.rate,
        seed: flags.seed,
    })?;
    let report = actix_rt::System::new().block_on(run_demo(&settings))?;
    write!(out, "{}", render_summary(&report))?;
    Ok(report_exit_status(&report))
}
