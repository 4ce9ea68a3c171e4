//! What a run measured, as versioned JSON and as a table.

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

/// Version of the report's JSON.
pub const REPORT_VERSION: u32 = 1;

/// Everything that one run measured.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RunReport {
    /// Version of this format, [`REPORT_VERSION`].
    pub version: u32,
    /// Settings of the run, with its seed.
    pub settings: RunSettings,
    /// Time from the first intended send to the last answer, in milliseconds.
    pub elapsed_ms: u64,
    /// Requests that waited because too many were under way; their latency includes the wait.
    pub overflowed: u64,
    /// Connections opened anew, at another address, because none could be opened at the first.
    pub reconnects: u64,
    /// Measurements of each customer.
    pub customers: Vec<CustomerReport>,
    /// Usage of the watched processes during the run.
    pub processes: Vec<ProcessUsage>,
}

/// What was measured for one customer.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct CustomerReport {
    /// The customer.
    pub customer: String,
    /// Measurements of each class.
    pub classes: Vec<ClassReport>,
    /// Load on targets, when a VM's metrics tell it.
    pub extra_load: Option<ExtraLoad>,
    /// Measurements of each class by phase; empty without phases.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub phases: Vec<Vec<ClassReport>>,
    /// Searches of each second of intended send times.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub seconds: Vec<SecondReport>,
    /// How each term of the contract held; empty without a contract.
    pub checks: Vec<ContractCheck>,
}

/// Searches whose intended send times lie in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct SecondReport {
    /// Searches sent.
    pub sent: u64,
    /// Searches answered right, by the deadline and at or above the floor.
    pub held: u64,
}

/// What was measured for one class.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ClassReport {
    /// The class.
    pub class: String,
    /// Outcomes of the requests.
    pub counts: OutcomeCounts,
    /// Outcomes of the caller's repeats with the same key.
    pub repeats: OutcomeCounts,
    /// Latency from the intended send time, of every whole or partial answer.
    pub latency: LatencySummary,
    /// Latency of the replies without an answer.
    #[serde(default)]
    pub given_up: LatencySummary,
    /// Points of the latency distribution.
    pub percentiles: Vec<PercentilePoint>,
    /// Coverage, when the class searches.
    pub coverage: Option<CoverageSummary>,
}

/// Counts of what became of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct OutcomeCounts {
    /// Requests sent.
    pub sent: u64,
    /// Whole answers.
    pub answered: u64,
    /// Answers from a part of the snapshot.
    pub partial: u64,
    /// Requests that were certainly not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Answers, whole or partial, by the contract's deadline; every answer without a contract.
    pub in_time: u64,
    /// Requests without a reply: the connection was refused, cut or timed out.
    pub connection_errors: u64,
    /// Requests without a reply by the contract's deadline.
    pub deadline_misses: u64,
    /// Replies with at least one fault.
    pub wrong_answers: u64,
}

impl OutcomeCounts {
    /// Adds other counts.
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

    /// Counts one outcome.
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
    /// Answers.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 90 in 100 are no slower.
    pub p90_us: u64,
    /// 99 in 100 are no slower.
    pub p99_us: u64,
    /// 999 in 1000 are no slower.
    pub p999_us: u64,
    /// Slowest.
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

/// Coverage of answers, in thousandths of the documents.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
pub struct CoverageSummary {
    /// Answers that told their coverage.
    pub count: u64,
    /// Mean.
    pub mean_permille: f64,
    /// Least.
    pub min_permille: f64,
    /// Share of answers below the contract's floor, in thousandths.
    pub below_floor_permille: f64,
}

/// Calls to targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
pub struct ExtraLoad {
    /// First calls.
    pub primary_calls: u64,
    /// Hedges, retries and refills.
    pub extra_calls: u64,
}

impl ExtraLoad {
    /// Extra calls in thousandths of the first calls; a call without a first one counts as a whole.
    pub fn permille(&self) -> f64 {
        self.extra_calls as f64 * 1_000.0 / self.primary_calls.max(1) as f64
    }
}
