//! Measurements of a run, as versioned JSON and as a table.

mod summary;
mod terms;

use oleanderwind_policy::RequestOutcome;
use serde::Deserialize;
use serde::Serialize;

pub use summary::render_summary;
pub use terms::ContractCheck;
pub use terms::ContractMeasure;

use crate::ProcessUsage;
use crate::RunSettings;

/// Version of the JSON report format.
pub const REPORT_VERSION: u32 = 1;

/// Report of one run.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunReport {
    /// Format version, [`REPORT_VERSION`].
    pub version: u32,
    /// Settings of the run, including its seed.
    pub settings: RunSettings,
    /// Time from the start of the run until its last request finished, in milliseconds.
    pub elapsed_ms: u64,
    /// Requests that waited because the concurrency limit was reached. Their latency includes the
    /// wait.
    pub overflowed: u64,
    /// Number of times a caller asked for an address again because it had got none or could not
    /// connect to it.
    pub reconnects: u64,
    /// Measurements of each customer.
    pub customers: Vec<CustomerReport>,
    /// Usage of the watched processes during the run.
    pub processes: Vec<ProcessUsage>,
}

/// Measurements of one customer.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct CustomerReport {
    /// Name of the customer.
    pub customer: String,
    /// Measurements of each class.
    pub classes: Vec<ClassReport>,
    /// Calls to targets, if the metrics of a VM report them.
    pub extra_load: Option<ExtraLoad>,
    /// Measurements of each class, by phase. Empty if the run has no phases.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub phases: Vec<Vec<ClassReport>>,
    /// Searches in each second of the run, by intended send time.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seconds: Vec<SecondReport>,
    /// Result of checking each contract term. Empty without a contract.
    pub checks: Vec<ContractCheck>,
}

/// Searches whose intended send time falls in one second of the run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct SecondReport {
    /// Searches sent.
    pub sent: u64,
    /// Searches with a correct answer by the deadline and at or above the coverage floor.
    pub held: u64,
}

/// Measurements of one class.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub class: String,
    /// Outcomes of first attempts.
    pub counts: OutcomeCounts,
    /// Outcomes of the repeats that callers sent with the same idempotency key.
    pub repeats: OutcomeCounts,
    /// Latency of complete and partial answers, measured from the intended send time.
    pub latency: LatencySummary,
    /// Latency of replies without an answer (`not_run` or `unknown`).
    #[serde(default)]
    pub given_up: LatencySummary,
    /// Points of the latency distribution.
    pub percentiles: Vec<PercentilePoint>,
    /// Coverage, if any answer reported it.
    pub coverage: Option<CoverageSummary>,
}

/// Counts of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct OutcomeCounts {
    /// Requests sent.
    pub sent: u64,
    /// Complete answers.
    pub answered: u64,
    /// Answers that cover only part of the snapshot.
    pub partial: u64,
    /// Requests that definitely did not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Complete and partial answers by the contract's deadline. Without a contract, all answers
    /// count.
    pub in_time: u64,
    /// Requests without a readable reply: the connection was refused or lost, the request timed
    /// out, or the reply body was invalid.
    pub connection_errors: u64,
    /// Requests without a reply by the contract's deadline.
    pub deadline_misses: u64,
    /// Replies with at least one fault.
    pub wrong_answers: u64,
}

impl OutcomeCounts {
    /// Adds `other` to these counts.
    pub fn add(&mut self, other: &OutcomeCounts) {
        self.sent += other.sent;
        self.answered += other.answered;
        self.partial += other.partial;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.in_time += other.in_time;
        self.connection_errors += other.connection_errors;
        self.deadline_misses += other.deadline_misses;
        self.wrong_answers += other.wrong_answers;
    }

    /// Increments the count of `outcome`.
    pub(crate) fn add_outcome(&mut self, outcome: RequestOutcome) {
        let count = match outcome {
            RequestOutcome::Answered => &mut self.answered,
            RequestOutcome::Partial => &mut self.partial,
            RequestOutcome::NotRun => &mut self.not_run,
            RequestOutcome::Unknown => &mut self.unknown,
        };
        *count += 1;
    }
}

/// Latency in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct LatencySummary {
    /// Number of measured replies.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Maximum.
    pub max_us: u64,
}

/// One point of a latency distribution.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct PercentilePoint {
    /// Percentile, 0 to 100.
    pub percentile: f64,
    /// Latency, in microseconds.
    pub latency_us: u64,
}

/// Coverage of answers, in thousandths of the snapshot's documents.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct CoverageSummary {
    /// Number of answers that reported their coverage.
    pub count: u64,
    /// Mean.
    pub mean_permille: f64,
    /// Minimum.
    pub min_permille: f64,
    /// Fraction of answers below the contract's coverage floor, in thousandths.
    pub below_floor_permille: f64,
}

/// Calls to targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct ExtraLoad {
    /// Primary calls to targets.
    pub primary_calls: u64,
    /// Extra calls to targets: hedges, retries and refills.
    pub extra_calls: u64,
}

impl ExtraLoad {
    /// Returns the extra calls in thousandths of the primary calls. Without primary calls, each
    /// extra call counts as 1,000.
    pub fn permille(&self) -> f64 {
        self.extra_calls as f64 * 1_000.0 / self.primary_calls.max(1) as f64
    }
}
