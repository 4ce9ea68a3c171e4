//! Checks of measurements against the terms of a contract.

use std::time::Duration;

use oleanderwind_policy::CustomerContract;
use oleanderwind_policy::OperationKind;
use serde::Deserialize;
use serde::Serialize;

use crate::report::CustomerReport;

/// Maximum fraction of requests without an answer by the deadline, in thousandths.
const MAX_UNANSWERED_PERMILLE: f64 = 10.0;

/// Contract term that is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ContractMeasure {
    /// 99th percentile of latency, compared with the deadline, in milliseconds.
    TailMs,
    /// Fraction of requests without a complete or partial answer by the deadline, compared with a
    /// limit of 10, in thousandths. Refused requests and lost connections count here because the
    /// latency percentiles leave them out. The check is meaningful only if the load stays within
    /// the contract's rate.
    UnansweredPermille,
    /// Minimum coverage, compared with the contract's floor, in thousandths.
    CoveragePermille,
    /// Extra calls, compared with the contract's limit, in thousandths of the primary calls.
    ExtraLoadPermille,
}

/// Result of checking one contract term.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ContractCheck {
    /// Class that the term applies to; `None` for a term of the whole customer.
    pub class: Option<String>,
    /// Checked term.
    pub measure: ContractMeasure,
    /// Measured value.
    pub measured: f64,
    /// Limit that the measured value is compared with.
    pub bound: f64,
    /// Whether the measured value is within the limit.
    pub held: bool,
}

impl ContractCheck {
    /// Checks every term of `contract` for which `report` has measurements.
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

/// Creates a check that holds if `measured` is not greater than `bound`.
fn at_most(
    class: Option<&String>,
    measure: ContractMeasure,
    measured: f64,
    bound: f64,
) -> ContractCheck {
    ContractCheck { class: class.cloned(), measure, measured, bound, held: measured <= bound }
}

/// Converts a duration to milliseconds.
fn to_millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
