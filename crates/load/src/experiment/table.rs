//! The results of an experiment and their summary table.

use serde::Deserialize;
use serde::Serialize;

use crate::ClassReport;
use crate::RunReport;
use crate::experiment::ExperimentPlan;

/// The result of one trial.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct TrialResult {
    /// Round, starting at 0.
    pub round: usize,
    /// Name of the variant.
    pub variant: String,
    /// Name of the scenario.
    pub scenario: String,
    /// Measurements of the load.
    pub report: RunReport,
}

/// The results of an experiment.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ExperimentReport {
    /// The plan that was run.
    pub plan: ExperimentPlan,
    /// Every trial in execution order.
    pub trials: Vec<TrialResult>,
}

/// Returns a table with a row per scenario, class and variant that shows the median and range over
/// the rounds.
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
            group.key.name(),
            group.variant,
            render_range(p99),
            render_range(coverage),
            render_range(unanswered)
        ));
    }
    text
}

/// The reports of a class over the rounds of one scenario and variant.
pub(crate) struct ClassGroup<'a> {
    scenario: &'a str,
    variant: &'a str,
    key: ClassKey,
    pub(crate) classes: Vec<&'a ClassReport>,
}

impl ClassGroup<'_> {
    /// Returns the legend label in a plot.
    pub(crate) fn label(&self) -> String {
        format!("{}, {}: {}", self.scenario, self.variant, self.key.name())
    }
}

impl ClassKey {
    /// Returns the name shown in tables.
    fn name(&self) -> String {
        format!("{}/{}", self.customer, self.class)
    }
}

/// Returns every group. The variants of a class are adjacent.
pub(crate) fn class_groups(report: &ExperimentReport) -> Vec<ClassGroup<'_>> {
    let mut groups = Vec::new();
    for scenario in &report.plan.scenarios {
        for key in class_keys(report) {
            for variant in &report.plan.variants {
                groups.push(ClassGroup {
                    scenario: &scenario.name,
                    variant: &variant.name,
                    classes: select_classes(report, &scenario.name, &variant.name, &key),
                    key: key.clone(),
                });
            }
        }
    }
    groups
}

/// Identifies a class of a customer.
#[derive(Clone, Debug, PartialEq, Eq)]
struct ClassKey {
    customer: String,
    class: String,
}

/// Returns every class that some trial measured.
fn class_keys(report: &ExperimentReport) -> Vec<ClassKey> {
    let mut keys = Vec::new();
    for customer in report.trials.iter().flat_map(|trial| &trial.report.customers) {
        for class in &customer.classes {
            let key = ClassKey { customer: customer.customer.clone(), class: class.class.clone() };
            if !keys.contains(&key) {
                keys.push(key);
            }
        }
    }
    keys
}

/// Returns the reports of a class from every round of a scenario and variant.
fn select_classes<'a>(
    report: &'a ExperimentReport,
    scenario: &str,
    variant: &str,
    key: &ClassKey,
) -> Vec<&'a ClassReport> {
    let trials =
        report.trials.iter().filter(|trial| trial.scenario == scenario && trial.variant == variant);
    let customers = trials
        .flat_map(|trial| &trial.report.customers)
        .filter(|customer| customer.customer == key.customer);
    customers
        .flat_map(|customer| &customer.classes)
        .filter(|class| class.class == key.class)
        .collect()
}

/// Returns the share of requests without an answer by the deadline, in thousandths.
fn unanswered_permille(class: &ClassReport) -> f64 {
    (class.counts.sent - class.counts.in_time) as f64 * 1_000.0 / class.counts.sent as f64
}

/// Formats values as `median (min..max)`, or `-` if there are none.
fn render_range(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    match (values.first(), values.last()) {
        (Some(min), Some(max)) => {
            let median = (values[(values.len() - 1) / 2] + values[values.len() / 2]) / 2.0;
            format!("{median:.1} ({min:.1}..{max:.1})")
        }
        _ => "-".to_string(),
    }
}
