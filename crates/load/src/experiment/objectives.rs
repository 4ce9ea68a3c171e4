//! Checks each trial, by phase, against the service level objectives of the contracts.
//!
//! The objectives are: answers by the deadline, no reply after it, coverage at or above the floor,
//! and extra load within the contract's limit.

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

/// Maximum share of a second's searches that may miss an objective for the second to count as
/// recovered, in thousandths.
const MAX_SECOND_MISS_PERMILLE: u64 = 10;
/// Maximum share of requests without an answer by the deadline, in thousandths.
const MAX_UNANSWERED_PERMILLE: f64 = 10.0;
/// Length of the interval of a [`SecondReport`], in milliseconds.
const SECOND_MS: u64 = 1_000;

/// A service level objective. The table prints the variant's name when it is missed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Objective {
    /// The 99th percentile of answer latency is within the deadline.
    Tail,
    /// Every request gets a reply by the deadline.
    Late,
    /// At least 99 % of requests are answered by the deadline.
    Answered,
    /// The coverage of every answer is at or above the floor.
    Floor,
    /// No reply is wrong.
    Right,
}

/// Returns a table with a row per scenario, variant, class and phase that shows each figure's worst
/// round and the objectives missed in any round. The column of the figure that the contract prefers
/// comes first.
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

/// Appends the rows of one customer. `customers` holds its report from each round.
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

/// Returns the names of a scenario's phases.
fn phase_names(scenario: &ExperimentScenario) -> Vec<&'static str> {
    match scenario.fault {
        None => Vec::new(),
        Some(_) => vec!["before", "during", "after"],
    }
}

/// Appends the row of one class in one phase.
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
    let coverage = format_coverage(rounds, terms.coverage_floor_permille);
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
        format_missed_objectives(rounds, contract)
    );
}

/// Formats the lowest mean and the lowest minimum coverage of any round, or `-` if no answer
/// reported its coverage.
fn format_coverage(rounds: &[ClassReport], floor_permille: u32) -> String {
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

/// Formats the objectives missed in any round, or `holds` if there are none.
fn format_missed_objectives(rounds: &[ClassReport], contract: &CustomerContract) -> String {
    let mut missed: Vec<Objective> =
        rounds.iter().flat_map(|round| missed_objectives(round, contract)).collect();
    missed.sort();
    missed.dedup();
    if missed.is_empty() { "holds".to_string() } else { format!("BROKEN {missed:?}") }
}

/// Returns the objectives missed in one round.
fn missed_objectives(round: &ClassReport, contract: &CustomerContract) -> Vec<Objective> {
    let Some(terms) = contract.classes.get(round.class.as_str()) else { return Vec::new() };
    let floor = f64::from(terms.coverage_floor_permille);
    let tail_us = u128::from(round.latency.p99_us);
    let is_search = terms.operation == OperationKind::Search;
    let objectives = [
        (Objective::Tail, tail_us > terms.deadline.as_micros()),
        (Objective::Late, round.counts.deadline_misses > 0),
        (Objective::Answered, unanswered_permille(round) > MAX_UNANSWERED_PERMILLE),
        (
            Objective::Floor,
            is_search && round.coverage.is_some_and(|coverage| coverage.min_permille < floor),
        ),
        (Objective::Right, round.counts.wrong_answers > 0),
    ];
    objectives.into_iter().filter(|(_, is_missed)| *is_missed).map(|(kind, _)| kind).collect()
}

/// Returns the share of requests without an answer by the deadline, in thousandths.
fn unanswered_permille(round: &ClassReport) -> f64 {
    (round.counts.sent - round.counts.in_time) as f64 * 1_000.0 / round.counts.sent.max(1) as f64
}

/// Appends the row of the highest extra load of any round.
fn write_extra_load(text: &mut String, customers: &[&CustomerReport], contract: &CustomerContract) {
    let loads = customers.iter().filter_map(|customer| customer.extra_load);
    let Some(worst) = loads.map(|load| load.permille()).reduce(f64::max) else {
        text.push_str("  extra load: not measured\n");
        return;
    };
    let limit = contract.extra_load_permille;
    let verdict = if worst <= f64::from(limit) { "holds" } else { "BROKEN" };
    let _ = writeln!(text, "  extra load {worst:.1} of {limit} permille  {verdict}");
}

/// Appends each round's recovery time after the fault.
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

/// Returns the time from the end of the fault to the start of the first recovered second, in
/// milliseconds. A second counts as recovered if [`SecondReport::held`] is at least 99 % of its
/// searches. Returns `None` if there is no such second.
pub(crate) fn recovery_ms(seconds: &[SecondReport], fault_end_ms: u64) -> Option<u64> {
    let first = usize::try_from(fault_end_ms.div_ceil(SECOND_MS)).unwrap_or(usize::MAX);
    let mut following = seconds.iter().enumerate().skip(first);
    let (index, _) = following.find(|(_, second)| {
        let missed_count = second.sent - second.held;
        second.sent > 0 && missed_count * 1_000 <= second.sent * MAX_SECOND_MISS_PERMILLE
    })?;
    Some(index as u64 * SECOND_MS - fault_end_ms)
}
