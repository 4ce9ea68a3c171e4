//! The command `run`.

use std::fs;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;

use eyre::Context;
use oleanderwind_policy::CustomerContract;
use oleanderwind_policy::FindingList;
use oleanderwind_policy::RawContract;

use crate::RunReport;
use crate::RunSettings;
use crate::command::ExitStatus;
use crate::command::exit_status::CommandFailure;
use crate::command::flags::RunFlags;
use crate::draw_percentiles;
use crate::render_summary;
use crate::run_load;

/// Maximum duration of a run, in seconds.
const MAX_SECONDS: f64 = 86_400.0;
/// Maximum request rate of a deployment, in requests per second.
const MAX_RATE: f64 = 100_000.0;

/// Checks the flags, runs the load, writes the report and prints the summary.
pub(crate) fn run(flags: &RunFlags, out: &mut dyn Write) -> Result<ExitStatus, CommandFailure> {
    let mut findings = check_flags(flags);
    let contracts = read_contracts(flags, &mut findings);
    let settings = findings.into_result(run_settings(flags))?;
    let report = actix_rt::System::new().block_on(run_load(&settings, &contracts))?;
    write_files(flags, &report)?;
    write!(out, "{}", render_summary(&report))?;
    Ok(report_exit_status(&report))
}

/// Returns `Success` if every contract term held and no answer was wrong, else `CheckFailed`.
pub(crate) fn report_exit_status(report: &RunReport) -> ExitStatus {
    let has_violation = report.customers.iter().any(|customer| {
        customer.checks.iter().any(|check| !check.held)
            || customer
                .classes
                .iter()
                .any(|class| class.counts.wrong_answers + class.repeats.wrong_answers > 0)
    });
    if has_violation { ExitStatus::CheckFailed } else { ExitStatus::Success }
}

/// Returns every finding about the flags. Does not read the files that they name.
fn check_flags(flags: &RunFlags) -> FindingList {
    let mut findings = FindingList::default();
    if flags.deployment.is_empty() {
        findings.add("--deployment", "is missing; give tsagaan or haneul");
    }
    if flags.seed_address.is_empty() {
        findings.add("--seed-address", "is missing; give ip:port of a running VM");
    }
    check_addresses("--seed-address", &flags.seed_address, &mut findings);
    check_addresses("--metrics-address", &flags.metrics_address, &mut findings);
    findings.extend(check_load_bounds(flags.rate, flags.seconds));
    if flags.repeat_permille > 1_000 {
        findings.add("--repeat-permille", format!("is {}; give 0 to 1000", flags.repeat_permille));
    }
    let counts = [
        ("--count", flags.count),
        ("--concurrency", flags.concurrency as u64),
        ("--callers", flags.callers as u64),
        ("--timeout-ms", flags.timeout_ms),
        ("--progress-ms", flags.progress_ms),
    ];
    for (place, value) in counts {
        if value == 0 {
            findings.add(place, "is 0; give 1 or more");
        }
    }
    findings
}

/// Returns the findings about a load's rate and duration.
pub(crate) fn check_load_bounds(rate: f64, seconds: f64) -> FindingList {
    let mut findings = FindingList::default();
    for (place, value, max) in [("--rate", rate, MAX_RATE), ("--seconds", seconds, MAX_SECONDS)] {
        if !(value > 0.0 && value <= max) {
            findings.add(place, format!("is {value}; give more than 0 and at most {max}"));
        }
    }
    findings
}

/// Adds a finding for each address that is not an `ip:port`.
fn check_addresses(place: &str, addresses: &[String], findings: &mut FindingList) {
    for address in addresses {
        if address.parse::<SocketAddr>().is_err() {
            findings.add(place, format!("`{address}` is not a socket address; give ip:port"));
        }
    }
}

/// Reads and checks the contract files. Adds their errors to `findings`.
fn read_contracts(flags: &RunFlags, findings: &mut FindingList) -> Vec<CustomerContract> {
    let mut contracts = Vec::new();
    for path in &flags.contract {
        match read_contract(path) {
            Ok(contract) => contracts.push(contract),
            Err(found) => findings.extend(found),
        }
    }
    contracts
}

/// Reads and checks one contract file.
fn read_contract(path: &Path) -> Result<CustomerContract, FindingList> {
    let place = format!("--contract {}", path.display());
    let mut findings = FindingList::default();
    let raw = fs::read(path).map_err(|error| error.to_string()).and_then(|text| {
        serde_json::from_slice::<RawContract>(&text).map_err(|error| error.to_string())
    });
    match raw {
        Ok(raw) => CustomerContract::try_from(&raw).map_err(|found| {
            for finding in found.into_findings() {
                findings.add(format!("{place}: {}", finding.place), finding.problem);
            }
            findings
        }),
        Err(problem) => {
            findings.add(place, problem);
            Err(findings)
        }
    }
}

/// Converts the flags into run settings.
fn run_settings(flags: &RunFlags) -> RunSettings {
    let mut deployments = flags.deployment.clone();
    deployments.sort();
    deployments.dedup();
    RunSettings {
        deployments,
        seed_addresses: flags.seed_address.clone(),
        rate: flags.rate,
        duration_ms: (flags.seconds * 1_000.0) as u64,
        count: flags.count,
        seed: flags.seed,
        repeat_permille: flags.repeat_permille,
        concurrency: flags.concurrency,
        callers: flags.callers,
        timeout_ms: flags.timeout_ms,
        progress_ms: flags.progress_ms,
        metrics_addresses: flags.metrics_address.clone(),
        pids: flags.pid.clone(),
        ..RunSettings::default()
    }
}

/// Writes the report and the plot if the flags name files for them.
fn write_files(flags: &RunFlags, report: &RunReport) -> eyre::Result<()> {
    if let Some(path) = &flags.report {
        let text = serde_json::to_vec_pretty(report)?;
        fs::write(path, text)
            .wrap_err_with(|| format!("failed to write report {}", path.display()))?;
    }
    if let Some(path) = &flags.plot {
        draw_percentiles(report, path)?;
    }
    Ok(())
}
