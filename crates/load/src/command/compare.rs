//! The command `compare`.

use std::fs;
use std::io::Write;
use std::path::Path;

use oleanderwind_policy::FindingList;

use crate::CompareBounds;
use crate::REPORT_VERSION;
use crate::RunReport;
use crate::command::ExitStatus;
use crate::command::exit_status::CommandFailure;
use crate::command::flags::CompareFlags;
use crate::compare_reports;
use crate::draw_comparison;

/// Reads both reports, prints the comparison table and checks the bounds.
pub(crate) fn run(flags: &CompareFlags, out: &mut dyn Write) -> Result<ExitStatus, CommandFailure> {
    let (first, second) = match (read_report(&flags.first), read_report(&flags.second)) {
        (Ok(first), Ok(second)) => (first, second),
        (first, second) => {
            let mut findings = FindingList::default();
            for found in [first.err(), second.err()].into_iter().flatten() {
                findings.extend(found);
            }
            return Err(findings.into());
        }
    };
    let table = compare_reports(&first, &second, &compare_bounds(flags));
    write!(out, "{}", table.render())?;
    if let Some(path) = &flags.plot {
        draw_comparison(&[("first", &first), ("second", &second)], path)?;
    }
    Ok(if table.holds() { ExitStatus::Success } else { ExitStatus::CheckFailed })
}

/// Returns the bounds given by the flags.
fn compare_bounds(flags: &CompareFlags) -> CompareBounds {
    CompareBounds {
        p99_growth_permille: flags.max_p99_growth_permille,
        coverage_drop_permille: flags.max_coverage_drop_permille,
        extra_load_growth_permille: flags.max_extra_load_growth_permille,
        wrong_answers: flags.max_wrong_answers,
        connection_errors: flags.max_connection_errors,
    }
}

/// Reads a report and checks that its format version is supported.
fn read_report(path: &Path) -> Result<RunReport, FindingList> {
    let mut findings = FindingList::default();
    let report = fs::read(path).map_err(|error| error.to_string()).and_then(|text| {
        serde_json::from_slice::<RunReport>(&text).map_err(|error| error.to_string())
    });
    match report {
        Ok(report) if report.version == REPORT_VERSION => return Ok(report),
        Ok(report) => findings.add(
            path.display().to_string(),
            format!(
                "report version {} is not supported; give version {REPORT_VERSION}",
                report.version
            ),
        ),
        Err(problem) => findings.add(path.display().to_string(), problem),
    }
    Err(findings)
}
