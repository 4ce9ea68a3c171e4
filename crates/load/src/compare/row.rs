//! One row of a comparison.

/// One value in both reports.
#[derive(Clone, Debug, PartialEq)]
pub struct ComparisonRow {
    /// Customer, or customer and class.
    pub place: String,
    /// Name of the value with its unit.
    pub value: &'static str,
    /// Value in the first report.
    pub first: f64,
    /// Value in the second report.
    pub second: f64,
    /// The second value's bound: a floor for coverage, a ceiling for the rest.
    pub bound: Option<f64>,
}

impl ComparisonRow {
    /// Name of the value whose bound is a floor.
    pub(crate) const COVERAGE: &'static str = "coverage permille";

    /// Whether the second value breaks its bound.
    pub fn is_broken(&self) -> bool {
        self.bound.is_some_and(|bound| match self.value == ComparisonRow::COVERAGE {
            true => self.second < bound,
            false => self.second > bound,
        })
    }

    /// The table's first line.
    pub(crate) fn header() -> String {
        format!(
            "{:34} {:20} {:>11} {:>11} {:>11} {:>11}\n",
            "customer/class", "value", "first", "second", "difference", "bound"
        )
    }

    /// The row as a line.
    pub(crate) fn render(&self) -> String {
        let bound = self.bound.map_or_else(|| "-".to_string(), |bound| format!("{bound:.1}"));
        let mark = if self.is_broken() { " BROKEN" } else { "" };
        format!(
            "{:34} {:20} {:>11.1} {:>11.1} {:>+11.1} {:>11}{mark}\n",
            self.place,
            self.value,
            self.first,
            self.second,
            self.second - self.first,
            bound
        )
    }
}
