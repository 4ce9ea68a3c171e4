//! The stated targets of each trial, by phase, and whether they held.
//!
//! Targets come from the contracts: answers by the deadline, no reply after it, coverage at or
//! above the floor, extra load within its share.

use std::fmt::Write;

use oleanderwind_policy::AnswerPreference;
use oleanderwind_policy::CustomerContract;
use oleanderwind_policy::OperationKind;

use crate::ClassReport;
use crate::CustomerReport;
use crate::SecondReport;
use crate::experiment::ExperimentReport;
use crate::experiment::ExperimentScenario;
use crate::experiment::FaultSpan;
use crate::experiment::TrialResult;

/// Most searches of a second that may miss a target while the second still holds, in thousandths.
const SECOND_MISS_PERMILLE: u64 = 10;
/// Most requests without an answer by the deadline, in thousandths.
const UNANSWERED_PERMILLE: f64 = 10.0;
/// Milliseconds of a second.
const SECOND_MS: u64 = 1_000;

/// A stated target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TargetKind {
    /// The 99th percentile of answers is within the deadline.
    Tail,
    /// No reply comes after the deadline, and each request gets one.
    Late,
    /// At least 99 in 100 requests are answered by the deadline.
    Answered,
    /// Every answer covers at least the floor.
    Floor,
    /// No reply is wrong.
    Right,
}

/// One line for each scenario, variant, class and phase, with the worst round of each figure and
/// every broken target. The customer's first measure stands first.
pub fn render_objectives(report: &ExperimentReport, contracts: &[CustomerContract]) -> String {
    let mut text = String::new();
    for scenario in &report.plan.scenarios {
        for variant in &report.plan.variants {
            let trials: Vec<&TrialResult> = report
                .trials
                .iter()
                .filter(|trial| trial.scenario == scenario.name && trial.variant == variant.name)
                .collect();
            for contract in contracts {
                let customers: Vec<&CustomerReport> = trials
                    .iter()
                    .flat_map(|trial| &trial.report.customers)
                    .filter(|customer| *customer.customer == *contract.customer)
                    .collect();
                if !customers.is_empty() {
                    let title = format!("{}, {}", scenario.name, variant.name);
                    write_customer(&mut text, &title, scenario, &customers, contract);
                }
            }
        }
    }
    text
}

/// Adds the table of one customer; `customers` holds its rounds.
fn write_customer(
    text: &mut String,
    title: &str,
    scenario: &ExperimentScenario,
    customers: &[&CustomerReport],
    contract: &CustomerContract,
) {
    let _ = writeln!(text, "{title}, {}, {} rounds", contract.customer, customers.len());
    for class in contract.classes.keys() {
        let mut write = |phase: &str, pick: &dyn Fn(&CustomerReport) -> Vec<ClassReport>| {
            let classes = customers.iter().flat_map(|customer| pick(customer));
            let rounds: Vec<ClassReport> = classes
                .filter(|report| report.class == **class && report.counts.sent > 0)
                .collect();
            if !rounds.is_empty() {
                write_class(text, phase, &rounds, contract);
            }
        };
        write("whole", &|customer| customer.classes.clone());
        for (index, phase) in phase_names(scenario).iter().enumerate() {
            write(phase, &|customer| customer.phases.get(index).cloned().unwrap_or_default());
        }
    }
    write_extra_load(text, customers, contract);
    if let Some(span) = scenario.fault {
        write_recovery(text, customers, span);
    }
}

/// Names of the phases that a scenario has.
fn phase_names(scenario: &ExperimentScenario) -> Vec<&'static str> {
    match scenario.fault {
        None => Vec::new(),
        Some(_) => vec!["before", "during", "after"],
    }
}

/// Adds the line of one class in one phase.
fn write_class(
    text: &mut String,
    phase: &str,
    rounds: &[ClassReport],
    contract: &CustomerContract,
) {
    let class = &rounds[0].class;
    let Some(terms) = contract.classes.get(class.as_str()) else { return };
    let worst = |value: &dyn Fn(&ClassReport) -> f64| rounds.iter().map(value).fold(0.0, f64::max);
    let tail = format!(
        "p99 {:.1} of {} ms",
        worst(&|round| round.latency.p99_us as f64 / 1_000.0),
        terms.deadline.as_millis()
    );
    let coverage = coverage_cell(rounds, terms.coverage_floor_permille);
    let (first, second) = match contract.preference {
        AnswerPreference::Coverage => (coverage, tail),
        AnswerPreference::Latency => (tail, coverage),
    };
    let _ = writeln!(
        text,
        "  {class:17} {phase:6} {first:30} {second:30} p50 {:5.1} unanswered {:6.1} late {:4} given up <= {:6.1} ms  {}",
        worst(&|round| round.latency.p50_us as f64 / 1_000.0),
        worst(&unanswered_permille),
        rounds.iter().map(|round| round.counts.deadline_misses).sum::<u64>(),
        worst(&|round| round.given_up.max_us as f64 / 1_000.0),
        verdict(rounds, contract)
    );
}

/// The least mean and the least coverage of any round, `-` when no answer told any.
fn coverage_cell(rounds: &[ClassReport], floor_permille: u32) -> String {
    let worst = rounds.iter().filter_map(|round| round.coverage).reduce(|mut worst, coverage| {
        worst.mean_permille = worst.mean_permille.min(coverage.mean_permille);
        worst.min_permille = worst.min_permille.min(coverage.min_permille);
        worst
    });
    match worst {
        Some(worst) => format!(
            "cover {:.1} least {:.0} of {floor_permille}",
            worst.mean_permille, worst.min_permille
        ),
        None => "cover -".to_string(),
    }
}

/// Names every target that some round broke.
fn verdict(rounds: &[ClassReport], contract: &CustomerContract) -> String {
    let mut broken: Vec<TargetKind> =
        rounds.iter().flat_map(|round| broken_targets(round, contract)).collect();
    broken.sort();
    broken.dedup();
    if broken.is_empty() { "holds".to_string() } else { format!("BROKEN {broken:?}") }
}

/// The targets that one round broke.
fn broken_targets(round: &ClassReport, contract: &CustomerContract) -> Vec<TargetKind> {
    let Some(terms) = contract.classes.get(round.class.as_str()) else { return Vec::new() };
    let floor = f64::from(terms.coverage_floor_permille);
    let tail_us = u128::from(round.latency.p99_us);
    let is_search = terms.operation == OperationKind::Search;
    let checks = [
        (TargetKind::Tail, tail_us > terms.deadline.as_micros()),
        (TargetKind::Late, round.counts.deadline_misses > 0),
        (TargetKind::Answered, unanswered_permille(round) > UNANSWERED_PERMILLE),
        (
            TargetKind::Floor,
            is_search && round.coverage.is_some_and(|coverage| coverage.min_permille < floor),
        ),
        (TargetKind::Right, round.counts.wrong_answers > 0),
    ];
    checks.into_iter().filter(|(_, is_broken)| *is_broken).map(|(kind, _)| kind).collect()
}

/// Requests without an answer by the deadline, in thousandths.
fn unanswered_permille(round: &ClassReport) -> f64 {
    (round.counts.sent - round.counts.in_time) as f64 * 1_000.0 / round.counts.sent.max(1) as f64
}

/// Adds the line about extra load.
fn write_extra_load(text: &mut String, customers: &[&CustomerReport], contract: &CustomerContract) {
    let loads = customers.iter().filter_map(|customer| customer.extra_load);
    let Some(worst) = loads.map(|load| load.permille()).reduce(f64::max) else {
        text.push_str("  extra load: not measured\n");
        return;
    };
    let bound = contract.extra_load_permille;
    let verdict = if worst <= f64::from(bound) { "holds" } else { "BROKEN" };
    let _ = writeln!(text, "  extra load {worst:.1} of {bound} permille  {verdict}");
}

/// Adds the line about the time from the fault's end until seconds hold again.
fn write_recovery(text: &mut String, customers: &[&CustomerReport], span: FaultSpan) {
    let times = customers.iter().map(|customer| recovery_ms(&customer.seconds, span.to_ms));
    let times: Vec<String> = times
        .map(|time| time.map_or_else(|| "never".to_string(), |time| format!("{time} ms")))
        .collect();
    let _ = writeln!(
        text,
        "  first second after the fault in which 99 in 100 searches hold begins after: {}",
        times.join(", ")
    );
}

/// Time from the fault's end to the begin of the first second that holds, in milliseconds.
pub(crate) fn recovery_ms(seconds: &[SecondReport], fault_end_ms: u64) -> Option<u64> {
    let first = usize::try_from(fault_end_ms.div_ceil(SECOND_MS)).unwrap_or(usize::MAX);
    let mut rest = seconds.iter().enumerate().skip(first);
    let (index, _) = rest.find(|(_, second)| {
        let missed = second.sent - second.held;
        second.sent > 0 && missed * 1_000 <= second.sent * SECOND_MISS_PERMILLE
    })?;
    Some(index as u64 * SECOND_MS - fault_end_ms)
}
