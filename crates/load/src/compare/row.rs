//! Rows of a comparison table.

/// A metric of both reports.
#[derive(Clone, Debug, PartialEq)]
pub struct ComparisonRow {
    /// The customer, or `customer/class`.
    pub subject: String,
    /// Name of the metric, with its unit if it has one.
    pub metric: &'static str,
    /// Value in the first report.
    pub first: f64,
    /// Value in the second report.
    pub second: f64,
    /// Bound on the second value: a minimum for coverage, a maximum for other metrics.
    pub bound: Option<f64>,
}

impl ComparisonRow {
    /// Name of the coverage metric, the only one whose bound is a minimum.
    pub(crate) const COVERAGE: &'static str = "coverage permille";

    /// Returns whether the second value breaks its bound.
    pub fn is_broken(&self) -> bool {
        self.bound.is_some_and(|bound| match self.metric == ComparisonRow::COVERAGE {
            true => self.second < bound,
            false => self.second > bound,
        })
    }

    /// Formats the table's header line.
    pub(crate) fn render_header() -> String {
        format!(
            "{:34} {:20} {:>11} {:>11} {:>11} {:>11}\n",
            "customer/class", "value", "first", "second", "difference", "bound"
        )
    }

    /// Formats the row as a line.
    pub(crate) fn render(&self) -> String {
        let bound = self.bound.map_or_else(|| "-".to_string(), |bound| format!("{bound:.1}"));
        let mark = if self.is_broken() { " BROKEN" } else { "" };
        format!(
            "{:34} {:20} {:>11.1} {:>11.1} {:>+11.1} {:>11}{mark}\n",
            self.subject,
            self.metric,
            self.first,
            self.second,
            self.second - self.first,
            bound
        )
    }
}
