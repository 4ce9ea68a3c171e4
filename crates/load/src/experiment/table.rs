//! The results of an experiment and their table.

use serde::Deserialize;
use serde::Serialize;

use crate::ClassReport;
use crate::RunReport;
use crate::experiment::ExperimentPlan;

/// The result of one trial.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct TrialResult {
    /// Round, counted from 0.
    pub round: usize,
    /// Name of the variant.
    pub variant: String,
    /// Name of the scenario.
    pub scenario: String,
    /// What was measured.
    pub report: RunReport,
}

/// The results of an experiment.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ExperimentReport {
    /// What was run.
    pub plan: ExperimentPlan,
    /// Every trial in the order it ran.
    pub trials: Vec<TrialResult>,
}

/// One line for each scenario, class and variant, with medians and ranges over the rounds.
pub fn render_experiment(report: &ExperimentReport) -> String {
    let mut text = format!(
        "{:16} {:34} {:16} {:>26} {:>26} {:>26}\n",
        "scenario",
        "customer/class",
        "variant",
        "p99 ms",
        "coverage permille",
        "not in time permille"
    );
    for group in class_groups(report) {
        let classes = &group.classes;
        let p99 = classes.iter().filter(|class| class.latency.count > 0);
        let p99 = p99.map(|class| class.latency.p99_us as f64 / 1_000.0).collect();
        let coverage = classes.iter().filter_map(|class| class.coverage);
        let coverage = coverage.map(|coverage| coverage.mean_permille).collect();
        let unanswered = classes.iter().filter(|class| class.counts.sent > 0);
        let unanswered = unanswered.map(|class| unanswered_permille(class)).collect();
        text.push_str(&format!(
            "{:16} {:34} {:16} {:>26} {:>26} {:>26}\n",
            group.scenario,
            group.place.name(),
            group.variant,
            render_range(p99),
            render_range(coverage),
            render_range(unanswered)
        ));
    }
    text
}

/// The rounds of one scenario, class and variant.
pub(crate) struct ClassGroup<'a> {
    scenario: &'a str,
    variant: &'a str,
    place: ClassPlace,
    pub(crate) classes: Vec<&'a ClassReport>,
}

impl ClassGroup<'_> {
    /// Name in a plot.
    pub(crate) fn label(&self) -> String {
        format!("{}, {}: {}", self.scenario, self.variant, self.place.name())
    }
}

impl ClassPlace {
    /// Name in a table.
    fn name(&self) -> String {
        format!("{}/{}", self.customer, self.class)
    }
}

/// Every group, with the variants of a class beside each other.
pub(crate) fn class_groups(report: &ExperimentReport) -> Vec<ClassGroup<'_>> {
    let mut groups = Vec::new();
    for scenario in &report.plan.scenarios {
        for place in class_places(report) {
            for variant in &report.plan.variants {
                groups.push(ClassGroup {
                    scenario: &scenario.name,
                    variant: &variant.name,
                    classes: select_classes(report, &scenario.name, &variant.name, &place),
                    place: place.clone(),
                });
            }
        }
    }
    groups
}

/// A customer and one of its classes.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ClassPlace {
    customer: String,
    class: String,
}

/// Every class that a trial measured.
fn class_places(report: &ExperimentReport) -> Vec<ClassPlace> {
    let mut places = Vec::new();
    for customer in report.trials.iter().flat_map(|trial| &trial.report.customers) {
        for class in &customer.classes {
            let place =
                ClassPlace { customer: customer.customer.clone(), class: class.class.clone() };
            if !places.contains(&place) {
                places.push(place);
            }
        }
    }
    places
}

/// A class's measurements in every round of a scenario and a variant.
fn select_classes<'a>(
    report: &'a ExperimentReport,
    scenario: &str,
    variant: &str,
    place: &ClassPlace,
) -> Vec<&'a ClassReport> {
    let trials =
        report.trials.iter().filter(|trial| trial.scenario == scenario && trial.variant == variant);
    let customers = trials
        .flat_map(|trial| &trial.report.customers)
        .filter(|customer| customer.customer == place.customer);
    customers
        .flat_map(|customer| &customer.classes)
        .filter(|class| class.class == place.class)
        .collect()
}

/// Requests without an answer by the deadline, in thousandths.
fn unanswered_permille(class: &ClassReport) -> f64 {
    (class.counts.sent - class.counts.in_time) as f64 * 1_000.0 / class.counts.sent as f64
}

/// `median (least..greatest)`, or `-` without a value.
fn render_range(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    match (values.first(), values.last()) {
        (Some(least), Some(greatest)) => {
            let median = (values[(values.len() - 1) / 2] + values[values.len() / 2]) / 2.0;
            format!("{median:.1} ({least:.1}..{greatest:.1})")
        }
        _ => "-".to_string(),
    }
}
