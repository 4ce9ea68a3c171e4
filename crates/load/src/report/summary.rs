//! Summary table printed at the end of a run.

use std::fmt::Write;

use crate::report::ClassReport;
use crate::report::ContractCheck;
use crate::report::ContractMeasure;
use crate::report::CustomerReport;
use crate::report::RunReport;

/// Renders the outcomes, latency, coverage and extra load of a run, and the result of each
/// contract check.
pub fn render_summary(report: &RunReport) -> String {
    let mut text = format!(
        "seed {}, {} ms, {} overflowed, {} reconnects\n",
        report.settings.seed, report.elapsed_ms, report.overflowed, report.reconnects
    );
    for customer in &report.customers {
        write_customer(&mut text, customer);
    }
    for usage in &report.processes {
        let _ = writeln!(
            text,
            "process {}: {:.2} CPU seconds, {} kB resident",
            usage.pid, usage.cpu_seconds, usage.resident_kb
        );
    }
    text
}

/// Appends the table of one customer to `text`.
fn write_customer(text: &mut String, customer: &CustomerReport) {
    let _ = writeln!(text, "\n{}", customer.customer);
    let _ = writeln!(
        text,
        "  {:18} {:>7} {:>8} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6} {:>9} {:>9} {:>9} {:>9} {:>9}",
        "class",
        "sent",
        "answered",
        "partial",
        "not run",
        "unknown",
        "cut",
        "missed",
        "wrong",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "max ms",
        "coverage"
    );
    for class in &customer.classes {
        write_class(text, class);
    }
    match &customer.extra_load {
        Some(load) => {
            let _ = writeln!(
                text,
                "  extra load: {:.1} permille ({} extra calls, {} first calls)",
                load.permille(),
                load.extra_calls,
                load.primary_calls
            );
        }
        None => text.push_str("  extra load: not measured\n"),
    }
    if customer.checks.is_empty() {
        text.push_str("  contract: not checked\n");
    }
    for check in &customer.checks {
        let _ = writeln!(text, "  {}", check_line(check));
    }
}

/// Appends the table row of one class to `text`.
fn write_class(text: &mut String, class: &ClassReport) {
    let counts = &class.counts;
    let latency = &class.latency;
    let millis = |micros: u64| micros as f64 / 1_000.0;
    let coverage = class
        .coverage
        .map_or_else(|| "-".to_string(), |coverage| format!("{:.1}", coverage.mean_permille));
    let _ = writeln!(
        text,
        "  {:18} {:>7} {:>8} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6} {:>9.1} {:>9.1} {:>9.1} {:>9.1} {:>9}",
        class.class,
        counts.sent,
        counts.answered,
        counts.partial,
        counts.not_run,
        counts.unknown,
        counts.connection_errors,
        counts.deadline_misses,
        counts.wrong_answers,
        millis(latency.p50_us),
        millis(latency.p99_us),
        millis(latency.p999_us),
        millis(latency.max_us),
        coverage
    );
}

/// Formats the result of one contract check as a line.
fn check_line(check: &ContractCheck) -> String {
    let verdict = if check.held { "held" } else { "BROKEN" };
    let place = check.class.as_deref().unwrap_or("customer");
    let (name, unit) = match check.measure {
        ContractMeasure::TailMs => ("p99 against deadline", "ms"),
        ContractMeasure::UnansweredPermille => ("not answered in time", "permille"),
        ContractMeasure::CoveragePermille => ("least coverage against floor", "permille"),
        ContractMeasure::ExtraLoadPermille => ("extra load against limit", "permille"),
    };
    format!("{verdict}: {place}, {name}: {:.1} of {:.1} {unit}", check.measured, check.bound)
}
