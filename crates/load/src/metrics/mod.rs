//! Parser for the extra-load counters in the `/metrics` text of a VM.

use std::collections::BTreeMap;
use std::fmt;

use crate::ExtraLoad;

/// Name of the counter of primary calls to targets.
const PRIMARY_CALLS: &str = "oleanderwind_primary_calls_total";
/// Name of the counter of extra calls: hedges, retries and refills.
const EXTRA_CALLS: &str = "oleanderwind_extra_calls_total";
/// Name of the label that holds the customer.
const CUSTOMER_LABEL: &str = "customer";

/// Invalid line in a metrics text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsError {
    /// Line number, counted from 1.
    pub line: usize,
    /// Reason why the line is invalid.
    pub problem: &'static str,
}

impl fmt::Display for MetricsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "metrics line {}: {}; check that the address serves /metrics",
            self.line, self.problem
        )
    }
}

impl std::error::Error for MetricsError {}

/// Calls to targets by customer, for one VM or summed over several.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadCounters {
    /// Calls by customer.
    pub customers: BTreeMap<String, ExtraLoad>,
}

impl LoadCounters {
    /// Parses the two counters and ignores all other metrics.
    ///
    /// # Errors
    ///
    /// Returns a [`MetricsError`] for the first line of either counter that has malformed labels,
    /// no customer, or a value that is not a non-negative whole number.
    pub fn parse(text: &str) -> Result<LoadCounters, MetricsError> {
        let mut counters = LoadCounters::default();
        for (index, line) in text.lines().enumerate() {
            let fail = |problem| MetricsError { line: index + 1, problem };
            let Some((name, rest)) = line.split_once('{') else {
                continue;
            };
            if name != PRIMARY_CALLS && name != EXTRA_CALLS {
                continue;
            }
            let (value_text, customer) =
                parse_labels(rest).ok_or(fail("labels are malformed or not closed by `}`"))?;
            let customer = customer.ok_or(fail("label `customer` is missing"))?;
            let value =
                parse_value(value_text).ok_or(fail("value is not a non-negative whole number"))?;
            let load = counters.customers.entry(customer).or_default();
            match name == PRIMARY_CALLS {
                true => load.primary_calls = load.primary_calls.saturating_add(value),
                false => load.extra_calls = load.extra_calls.saturating_add(value),
            }
        }
        Ok(counters)
    }

    /// Adds the counters of another VM. Sums saturate.
    pub fn add(&mut self, other: &LoadCounters) {
        for (customer, load) in &other.customers {
            let total = self.customers.entry(customer.clone()).or_default();
            total.primary_calls = total.primary_calls.saturating_add(load.primary_calls);
            total.extra_calls = total.extra_calls.saturating_add(load.extra_calls);
        }
    }

    /// Returns the calls of `customer` since the reading `earlier`, or `None` if this reading has
    /// no counters of the customer.
    pub fn since(&self, earlier: &LoadCounters, customer: &str) -> Option<ExtraLoad> {
        let now = self.customers.get(customer)?;
        let then = earlier.customers.get(customer).copied().unwrap_or_default();
        Some(ExtraLoad {
            primary_calls: now.primary_calls.saturating_sub(then.primary_calls),
            extra_calls: now.extra_calls.saturating_sub(then.extra_calls),
        })
    }
}

/// Parses `name="value",...}`. Returns the text after the brace, and the customer if a label holds
/// it.
fn parse_labels(text: &str) -> Option<(&str, Option<String>)> {
    let mut rest = text;
    let mut customer = None;
    loop {
        rest = rest.trim_start_matches([',', ' ']);
        if let Some(after) = rest.strip_prefix('}') {
            return Some((after, customer));
        }
        let (name, quoted) = rest.split_once("=\"")?;
        let (value, after) = parse_quoted(quoted)?;
        if name == CUSTOMER_LABEL {
            customer = Some(value);
        }
        rest = after;
    }
}

/// Parses a label value up to its closing quote. Returns the unescaped value and the text after the
/// quote.
fn parse_quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut chars = text.char_indices();
    while let Some((index, character)) = chars.next() {
        match character {
            '"' => return Some((value, &text[index + 1..])),
            '\\' => match chars.next()?.1 {
                'n' => value.push('\n'),
                other => value.push(other),
            },
            other => value.push(other),
        }
    }
    None
}

/// Parses the non-negative whole number at the start of `text`. A timestamp may follow it.
fn parse_value(text: &str) -> Option<u64> {
    let value: f64 = text.split_whitespace().next()?.parse().ok()?;
    (value.is_finite() && value >= 0.0 && value.fract() == 0.0).then_some(value as u64)
}
