//! Sets two reports side by side and checks stated bounds.

mod row;

use crate::ClassReport;
use crate::CustomerReport;
use crate::RunReport;

pub use row::ComparisonRow;

/// Bounds on the second report; none is checked unless it is given.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CompareBounds {
    /// Most growth of a class's 99th percentile, in thousandths of the first report's.
    pub p99_growth_permille: Option<f64>,
    /// Most loss of a class's mean coverage, in thousandths of the documents.
    pub coverage_drop_permille: Option<f64>,
    /// Most growth of a customer's extra load, in thousandths of its first calls.
    pub extra_load_growth_permille: Option<f64>,
    /// Most wrong answers of a class in the second report.
    pub wrong_answers: Option<u64>,
    /// Most requests of a class without a reply in the second report.
    pub connection_errors: Option<u64>,
}

/// The rows of a comparison and which bounds they break.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ComparisonTable {
    /// One row for each value of each class or customer.
    pub rows: Vec<ComparisonRow>,
    /// Customers and classes that only one of the reports has.
    pub missing: Vec<String>,
    /// Whether any bound was given.
    pub is_bounded: bool,
}

impl ComparisonTable {
    /// Whether every bound holds and, where bounds are given, nothing is missing.
    pub fn holds(&self) -> bool {
        let is_comparable = self.missing.is_empty() || !self.is_bounded;
        is_comparable && !self.rows.iter().any(ComparisonRow::is_broken)
    }

    /// The table as text.
    pub fn render(&self) -> String {
        let mut text = ComparisonRow::header();
        for row in &self.rows {
            text.push_str(&row.render());
        }
        for place in &self.missing {
            text.push_str(&format!("MISSING: only one report measured {place}\n"));
        }
        text
    }

    /// Adds a row.
    fn add(
        &mut self,
        place: &str,
        value: &'static str,
        first: f64,
        second: f64,
        bound: Option<f64>,
    ) {
        self.rows.push(ComparisonRow { place: place.to_string(), value, first, second, bound });
    }
}

/// Compares `second` with `first`.
pub fn compare_reports(
    first: &RunReport,
    second: &RunReport,
    bounds: &CompareBounds,
) -> ComparisonTable {
    let is_bounded = *bounds != CompareBounds::default();
    let mut table = ComparisonTable { is_bounded, ..ComparisonTable::default() };
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

/// Adds the rows of one customer.
fn compare_customers(
    table: &mut ComparisonTable,
    first: &CustomerReport,
    second: &CustomerReport,
    bounds: &CompareBounds,
) {
    for class in &first.classes {
        let place = format!("{}/{}", first.customer, class.class);
        match second.classes.iter().find(|other| other.class == class.class) {
            Some(other) => compare_classes(table, &place, class, other, bounds),
            None => table.missing.push(place),
        }
    }
    for class in &second.classes {
        if !first.classes.iter().any(|other| other.class == class.class) {
            table.missing.push(format!("{}/{}", second.customer, class.class));
        }
    }
    match (&first.extra_load, &second.extra_load) {
        (Some(old), Some(new)) => {
            let limit = bounds.extra_load_growth_permille.map(|growth| old.permille() + growth);
            let name = "extra load permille";
            table.add(&first.customer, name, old.permille(), new.permille(), limit);
        }
        (None, None) if bounds.extra_load_growth_permille.is_none() => {}
        _ => table.missing.push(format!("{}, extra load", first.customer)),
    }
}

/// Adds the rows of one class.
fn compare_classes(
    table: &mut ComparisonTable,
    place: &str,
    first: &ClassReport,
    second: &ClassReport,
    bounds: &CompareBounds,
) {
    let millis = |micros: u64| micros as f64 / 1_000.0;
    let (old, new) = (&first.latency, &second.latency);
    if (old.count > 0) != (new.count > 0) {
        table.missing.push(format!("{place}, latency"));
    } else if old.count > 0 {
        let factor = bounds.p99_growth_permille.map(|growth| 1.0 + growth / 1_000.0);
        let limit = factor.map(|factor| millis(old.p99_us) * factor);
        table.add(place, "p50 ms", millis(old.p50_us), millis(new.p50_us), None);
        table.add(place, "p99 ms", millis(old.p99_us), millis(new.p99_us), limit);
        table.add(place, "p99.9 ms", millis(old.p999_us), millis(new.p999_us), None);
    }
    match (&first.coverage, &second.coverage) {
        (Some(old), Some(new)) => {
            let floor = bounds.coverage_drop_permille.map(|drop| old.mean_permille - drop);
            table.add(place, ComparisonRow::COVERAGE, old.mean_permille, new.mean_permille, floor);
        }
        (None, None) => {}
        _ => table.missing.push(format!("{place}, coverage")),
    }
    let (old, new) = (&first.counts, &second.counts);
    let counts = [
        ("not run", old.not_run, new.not_run, None),
        ("unknown", old.unknown, new.unknown, None),
        ("cut", old.connection_errors, new.connection_errors, bounds.connection_errors),
        ("missed", old.deadline_misses, new.deadline_misses, None),
        ("wrong", old.wrong_answers, new.wrong_answers, bounds.wrong_answers),
    ];
    for (value, old, new, bound) in counts {
        if old + new > 0 || bound.is_some() {
            table.add(place, value, old as f64, new as f64, bound.map(|bound| bound as f64));
        }
    }
}
