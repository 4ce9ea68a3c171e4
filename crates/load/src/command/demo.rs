//! The command `demo`.

use std::io::Write;

use crate::command::ExitStatus;
use crate::command::exit_status::CommandFailure;
use crate::command::flags::DemoFlags;
use crate::command::run::check_amounts;
use crate::command::run::judge_report;
use crate::demo::DemoSettings;
use crate::demo::run_demo;
use crate::render_summary;

/// Serves the tier in this process, runs the load against it and prints the summary.
pub(crate) fn run(flags: &DemoFlags, out: &mut dyn Write) -> Result<ExitStatus, CommandFailure> {
    let findings = check_amounts(flags.rate, flags.seconds);
    let settings = findings.into_result(DemoSettings {
        duration_ms: (flags.seconds * 1_000.0) as u64,
        rate: flags.rate,
        seed: flags.seed,
    })?;
    let report = actix_rt::System::new().block_on(run_demo(&settings))?;
    write!(out, "{}", render_summary(&report))?;
    Ok(judge_report(&report))
}
