//! How each term of a contract held.

use std::time::Duration;

use oleanderwind_policy::CustomerContract;
use oleanderwind_policy::OperationKind;
use serde::Deserialize;
use serde::Serialize;

use crate::report::CustomerReport;

/// Most requests that may have no answer by the deadline, in thousandths.
const MAX_UNANSWERED_PERMILLE: f64 = 10.0;

/// The term of a contract that is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ContractMeasure {
    /// The 99th percentile of latency against the deadline, in milliseconds.
    TailMs,
    /// Requests without a whole or partial answer by the deadline against 1 in 100, in
    /// thousandths. Refused and cut requests count, so that neither flatters the tail; send no
    /// more than the contract's rate.
    UnansweredPermille,
    /// The least coverage against the floor, in thousandths.
    CoveragePermille,
    /// Extra calls against the limit, in thousandths of the first calls.
    ExtraLoadPermille,
}

/// One term of a contract and what was measured.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ContractCheck {
    /// The class; none for a term of the whole customer.
    pub class: Option<String>,
    /// The term.
    pub measure: ContractMeasure,
    /// The measured value.
    pub measured: f64,
    /// The contract's value.
    pub bound: f64,
    /// Whether the term held.
    pub held: bool,
}

impl ContractCheck {
    /// Checks every term of `contract` that `report` has measurements for.
    pub(crate) fn check_all(
        report: &CustomerReport,
        contract: &CustomerContract,
    ) -> Vec<ContractCheck> {
        let mut checks = Vec::new();
        for class in &report.classes {
            let Some(terms) = contract.classes.get(class.class.as_str()) else {
                continue;
            };
            if class.counts.sent > 0 {
                let unanswered = (class.counts.sent - class.counts.in_time) as f64;
                let unanswered_permille = unanswered * 1_000.0 / class.counts.sent as f64;
                checks.push(at_most(
                    Some(&class.class),
                    ContractMeasure::UnansweredPermille,
                    unanswered_permille,
                    MAX_UNANSWERED_PERMILLE,
                ));
            }
            if class.latency.count > 0 {
                let tail_ms = class.latency.p99_us as f64 / 1_000.0;
                let deadline_ms = to_millis(terms.deadline);
                checks.push(at_most(
                    Some(&class.class),
                    ContractMeasure::TailMs,
                    tail_ms,
                    deadline_ms,
                ));
            }
            if let Some(coverage) = &class.coverage
                && terms.operation == OperationKind::Search
            {
                let floor = f64::from(terms.coverage_floor_permille);
                checks.push(ContractCheck {
                    class: Some(class.class.clone()),
                    measure: ContractMeasure::CoveragePermille,
                    measured: coverage.min_permille,
                    bound: floor,
                    held: coverage.min_permille >= floor,
                });
            }
        }
        if let Some(load) = &report.extra_load {
            let limit = f64::from(contract.extra_load_permille);
            checks.push(at_most(None, ContractMeasure::ExtraLoadPermille, load.permille(), limit));
        }
        checks
    }
}

/// A check that holds while `measured` is no greater than `bound`.
fn at_most(
    class: Option<&String>,
    measure: ContractMeasure,
    measured: f64,
    bound: f64,
) -> ContractCheck {
    ContractCheck { class: class.cloned(), measure, measured, bound, held: measured <= bound }
}

/// A time in milliseconds.
fn to_millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
