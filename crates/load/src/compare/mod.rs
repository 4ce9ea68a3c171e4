//! Compares two reports and checks bounds on the second.

mod row;

use crate::ClassReport;
use crate::CustomerReport;
use crate::RunReport;

pub use row::ComparisonRow;

/// Bounds on the second report. `None` leaves a value unchecked.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CompareBounds {
    /// Maximum growth of a class's 99th percentile latency, in thousandths of the first report's.
    pub p99_growth_permille: Option<f64>,
    /// Maximum drop of a class's mean coverage, in thousandths of the documents.
    pub coverage_drop_permille: Option<f64>,
    /// Maximum growth of a customer's extra load, in thousandths of its primary calls.
    pub extra_load_growth_permille: Option<f64>,
    /// Maximum number of wrong answers of a class in the second report.
    pub wrong_answers: Option<u64>,
    /// Maximum number of requests of a class without a readable reply in the second report.
    pub connection_errors: Option<u64>,
}

/// Result of a comparison.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ComparisonTable {
    /// A row for each metric of each class or customer.
    pub rows: Vec<ComparisonRow>,
    /// Customers, classes and measurements that only one of the reports has, and extra load that is
    /// bounded but that neither report has.
    pub missing: Vec<String>,
    /// Whether any bound is set.
    pub has_bounds: bool,
}

impl ComparisonTable {
    /// Returns whether every bound holds. If any bound is set, nothing may be missing either.
    pub fn holds(&self) -> bool {
        let is_comparable = self.missing.is_empty() || !self.has_bounds;
        is_comparable && !self.rows.iter().any(ComparisonRow::is_broken)
    }

    /// Formats the table as text.
    pub fn render(&self) -> String {
        let mut text = ComparisonRow::render_header();
        for row in &self.rows {
            text.push_str(&row.render());
        }
        for subject in &self.missing {
            text.push_str(&format!("MISSING: only one report measured {subject}\n"));
        }
        text
    }

    /// Appends a row.
    fn add_row(
        &mut self,
        subject: &str,
        metric: &'static str,
        first: f64,
        second: f64,
        bound: Option<f64>,
    ) {
        self.rows.push(ComparisonRow {
            subject: subject.to_string(),
            metric,
            first,
            second,
            bound,
        });
    }
}

/// Compares `second` with `first`.
pub fn compare_reports(
    first: &RunReport,
    second: &RunReport,
    bounds: &CompareBounds,
) -> ComparisonTable {
    let has_bounds = *bounds != CompareBounds::default();
    let mut table = ComparisonTable { has_bounds, ..ComparisonTable::default() };
    for customer in &first.customers {
        match second.customers.iter().find(|other| other.customer == customer.customer) {
            Some(other) => compare_customers(&mut table, customer, other, bounds),
            None => table.missing.push(customer.customer.clone()),
        }
    }
    for customer in &second.customers {
        if !first.customers.iter().any(|other| other.customer == customer.customer) {
            table.missing.push(customer.customer.clone());
        }
    }
    table
}

/// Appends the rows of one customer.
fn compare_customers(
    table: &mut ComparisonTable,
    first: &CustomerReport,
    second: &CustomerReport,
    bounds: &CompareBounds,
) {
    for class in &first.classes {
        let subject = format!("{}/{}", first.customer, class.class);
        match second.classes.iter().find(|other| other.class == class.class) {
            Some(other) => compare_classes(table, &subject, class, other, bounds),
            None => table.missing.push(subject),
        }
    }
    for class in &second.classes {
        if !first.classes.iter().any(|other| other.class == class.class) {
            table.missing.push(format!("{}/{}", second.customer, class.class));
        }
    }
    match (&first.extra_load, &second.extra_load) {
        (Some(first_load), Some(second_load)) => {
            let bound =
                bounds.extra_load_growth_permille.map(|growth| first_load.permille() + growth);
            let metric = "extra load permille";
            table.add_row(
                &first.customer,
                metric,
                first_load.permille(),
                second_load.permille(),
                bound,
            );
        }
        (None, None) if bounds.extra_load_growth_permille.is_none() => {}
        _ => table.missing.push(format!("{}, extra load", first.customer)),
    }
}

/// Appends the rows of one class.
fn compare_classes(
    table: &mut ComparisonTable,
    subject: &str,
    first: &ClassReport,
    second: &ClassReport,
    bounds: &CompareBounds,
) {
    let millis = |micros: u64| micros as f64 / 1_000.0;
    let (first_latency, second_latency) = (&first.latency, &second.latency);
    if (first_latency.count > 0) != (second_latency.count > 0) {
        table.missing.push(format!("{subject}, latency"));
    } else if first_latency.count > 0 {
        let factor = bounds.p99_growth_permille.map(|growth| 1.0 + growth / 1_000.0);
        let bound = factor.map(|factor| millis(first_latency.p99_us) * factor);
        table.add_row(
            subject,
            "p50 ms",
            millis(first_latency.p50_us),
            millis(second_latency.p50_us),
            None,
        );
        table.add_row(
            subject,
            "p99 ms",
            millis(first_latency.p99_us),
            millis(second_latency.p99_us),
            bound,
        );
        table.add_row(
            subject,
            "p99.9 ms",
            millis(first_latency.p999_us),
            millis(second_latency.p999_us),
            None,
        );
    }
    match (&first.coverage, &second.coverage) {
        (Some(first_coverage), Some(second_coverage)) => {
            let bound =
                bounds.coverage_drop_permille.map(|drop| first_coverage.mean_permille - drop);
            table.add_row(
                subject,
                ComparisonRow::COVERAGE,
                first_coverage.mean_permille,
                second_coverage.mean_permille,
                bound,
            );
        }
        (None, None) => {}
        _ => table.missing.push(format!("{subject}, coverage")),
    }
    let (first_counts, second_counts) = (&first.counts, &second.counts);
    let counts = [
        ("not run", first_counts.not_run, second_counts.not_run, None),
        ("unknown", first_counts.unknown, second_counts.unknown, None),
        (
            "cut",
            first_counts.connection_errors,
            second_counts.connection_errors,
            bounds.connection_errors,
        ),
        ("missed", first_counts.deadline_misses, second_counts.deadline_misses, None),
        ("wrong", first_counts.wrong_answers, second_counts.wrong_answers, bounds.wrong_answers),
    ];
    for (metric, first_count, second_count, bound) in counts {
        if first_count + second_count > 0 || bound.is_some() {
            table.add_row(
                subject,
                metric,
                first_count as f64,
                second_count as f64,
                bound.map(|bound| bound as f64),
            );
        }
    }
}
