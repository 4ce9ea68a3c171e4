//! The counters of extra load in a VM's `/metrics` text.

use std::collections::BTreeMap;
use std::fmt;

use crate::ExtraLoad;

/// Counter of first calls to targets.
const PRIMARY_CALLS: &str = "oleanderwind_primary_calls_total";
/// Counter of hedges, retries and refills.
const EXTRA_CALLS: &str = "oleanderwind_extra_calls_total";
/// Label that names the customer.
const CUSTOMER_LABEL: &str = "customer";

/// A line of a metrics text that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MetricsError {
    /// Line, counted from 1.
    pub line: usize,
    /// What is wrong.
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

/// Calls to targets by customer, summed over VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadCounters {
    /// Calls of each customer.
    pub customers: BTreeMap<String, ExtraLoad>,
}

impl LoadCounters {
    /// Reads the two counters; every other metric is passed over.
    ///
    /// # Errors
    ///
    /// [`MetricsError`] for a line of either counter without a customer or a whole number.
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
            let (labels, customer) = read_labels(rest).ok_or(fail("labels are not closed"))?;
            let customer = customer.ok_or(fail("label `customer` is missing"))?;
            let value = read_value(labels).ok_or(fail("value is no count"))?;
            let load = counters.customers.entry(customer).or_default();
            match name == PRIMARY_CALLS {
                true => load.primary_calls = load.primary_calls.saturating_add(value),
                false => load.extra_calls = load.extra_calls.saturating_add(value),
            }
        }
        Ok(counters)
    }

    /// Adds the counters of another VM.
    pub fn add(&mut self, other: &LoadCounters) {
        for (customer, load) in &other.customers {
            let total = self.customers.entry(customer.clone()).or_default();
            total.primary_calls = total.primary_calls.saturating_add(load.primary_calls);
            total.extra_calls = total.extra_calls.saturating_add(load.extra_calls);
        }
    }

    /// Calls of `customer` since `earlier`.
    pub fn since(&self, earlier: &LoadCounters, customer: &str) -> Option<ExtraLoad> {
        let now = self.customers.get(customer)?;
        let then = earlier.customers.get(customer).copied().unwrap_or_default();
        Some(ExtraLoad {
            primary_calls: now.primary_calls.saturating_sub(then.primary_calls),
            extra_calls: now.extra_calls.saturating_sub(then.extra_calls),
        })
    }
}

/// Reads `name="value",...}`; gives the text after the brace and the customer.
fn read_labels(text: &str) -> Option<(&str, Option<String>)> {
    let mut rest = text;
    let mut customer = None;
    loop {
        rest = rest.trim_start_matches([',', ' ']);
        if let Some(after) = rest.strip_prefix('}') {
            return Some((after, customer));
        }
        let (name, quoted) = rest.split_once("=\"")?;
        let (value, after) = read_quoted(quoted)?;
        if name == CUSTOMER_LABEL {
            customer = Some(value);
        }
        rest = after;
    }
}

/// Reads up to the closing quote and resolves escapes; gives the text after the quote.
fn read_quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut letters = text.char_indices();
    while let Some((index, letter)) = letters.next() {
        match letter {
            '"' => return Some((value, &text[index + 1..])),
            '\\' => match letters.next()?.1 {
                'n' => value.push('\n'),
                other => value.push(other),
            },
            other => value.push(other),
        }
    }
    None
}

/// The whole number that starts `text`; a timestamp may follow.
fn read_value(text: &str) -> Option<u64> {
    let value: f64 = text.split_whitespace().next()?.parse().ok()?;
    (value.is_finite() && value >= 0.0 && value.fract() == 0.0).then_some(value as u64)
}
