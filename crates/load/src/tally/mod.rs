//! Counts and histograms of one class while a run is under way.

use std::time::Duration;

use hdrhistogram::Histogram;
use oleanderwind_policy::ClassTerms;
use oleanderwind_policy::RequestOutcome;
use oleanderwind_wire::CoverageReport;

use crate::ClassReport;
use crate::CoverageSummary;
use crate::LatencySummary;
use crate::OutcomeCounts;
use crate::PercentilePoint;

/// Slowest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;
/// Percentiles of the reported distribution.
const PERCENTILES: &[f64] =
    &[0.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9, 99.95, 99.99, 100.0];

/// What one try of a request came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSample {
    /// The outcome; none when no reply came.
    pub outcome: Option<RequestOutcome>,
    /// Time from the intended send to the reply.
    pub latency: Duration,
    /// Coverage that the reply told.
    pub coverage: Option<CoverageReport>,
    /// Whether the reply had a fault.
    pub is_wrong: bool,
}

impl RequestSample {
    /// Whether a whole or partial answer came.
    pub fn is_answered(&self) -> bool {
        matches!(self.outcome, Some(RequestOutcome::Answered | RequestOutcome::Partial))
    }
}

/// Counts and histograms of one class.
#[derive(Clone, Debug)]
pub struct ClassTally {
    class: String,
    deadline: Option<Duration>,
    floor_permille: u32,
    counts: OutcomeCounts,
    repeats: OutcomeCounts,
    latencies: Histogram<u64>,
    given_up: Histogram<u64>,
    coverage_count: u64,
    coverage_sum: f64,
    coverage_min: f64,
    below_floor: u64,
}

impl ClassTally {
    /// An empty tally; without `terms` no deadline and no floor is checked.
    ///
    /// # Errors
    ///
    /// The histogram's creation error.
    pub fn new(
        class: &str,
        terms: Option<&ClassTerms>,
    ) -> Result<ClassTally, hdrhistogram::CreationError> {
        Ok(ClassTally {
            class: class.to_string(),
            deadline: terms.map(|terms| terms.deadline),
            floor_permille: terms.map_or(0, |terms| terms.coverage_floor_permille),
            counts: OutcomeCounts::default(),
            repeats: OutcomeCounts::default(),
            latencies: Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS)?,
            given_up: Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS)?,
            coverage_count: 0,
            coverage_sum: 0.0,
            coverage_min: 1_000.0,
            below_floor: 0,
        })
    }

    /// Counts the first try of a request.
    pub fn record(&mut self, sample: &RequestSample) {
        count_sample(&mut self.counts, sample, self.deadline);
        let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
        if sample.is_answered() {
            self.latencies.saturating_record(micros);
        } else if sample.outcome.is_some() {
            self.given_up.saturating_record(micros);
        }
        if let Some(report) = &sample.coverage
            && sample.is_answered()
        {
            self.record_coverage(report);
        }
    }

    /// Counts the caller's repeat of a request; it has no part in latency and coverage.
    pub fn record_repeat(&mut self, sample: &RequestSample) {
        count_sample(&mut self.repeats, sample, None);
    }

    /// Whether a request was answered right, by the deadline and at or above the floor.
    pub fn holds(&self, sample: &RequestSample) -> bool {
        let is_late = self.deadline.is_some_and(|deadline| sample.latency > deadline);
        let is_below_floor = sample
            .coverage
            .as_ref()
            .is_some_and(|report| coverage_permille(report) < f64::from(self.floor_permille));
        sample.is_answered() && !is_late && !is_below_floor && !sample.is_wrong
    }

    /// Requests sent and wrong answers so far.
    pub(crate) fn counts(&self) -> &OutcomeCounts {
        &self.counts
    }

    /// The report of what was recorded.
    pub fn report(&self) -> ClassReport {
        ClassReport {
            class: self.class.clone(),
            counts: self.counts,
            repeats: self.repeats,
            latency: summarize(&self.latencies),
            given_up: summarize(&self.given_up),
            percentiles: self.percentile_points(),
            coverage: self.coverage_summary(),
        }
    }

    /// Adds one coverage.
    fn record_coverage(&mut self, report: &CoverageReport) {
        let permille = coverage_permille(report);
        self.coverage_count += 1;
        self.coverage_sum += permille;
        self.coverage_min = self.coverage_min.min(permille);
        self.below_floor += u64::from(permille < f64::from(self.floor_permille));
    }

    /// The distribution at fixed percentiles; empty without a reply.
    fn percentile_points(&self) -> Vec<PercentilePoint> {
        if self.latencies.is_empty() {
            return Vec::new();
        }
        let point = |percentile: &f64| PercentilePoint {
            percentile: *percentile,
            latency_us: self.latencies.value_at_percentile(*percentile),
        };
        PERCENTILES.iter().map(point).collect()
    }

    /// The coverage, when any answer told it.
    fn coverage_summary(&self) -> Option<CoverageSummary> {
        let count = self.coverage_count;
        (count > 0).then(|| CoverageSummary {
            count,
            mean_permille: self.coverage_sum / count as f64,
            min_permille: self.coverage_min,
            below_floor_permille: self.below_floor as f64 * 1_000.0 / count as f64,
        })
    }
}

/// The usual quantiles.
fn summarize(latencies: &Histogram<u64>) -> LatencySummary {
    LatencySummary {
        count: latencies.len(),
        p50_us: latencies.value_at_quantile(0.5),
        p90_us: latencies.value_at_quantile(0.9),
        p99_us: latencies.value_at_quantile(0.99),
        p999_us: latencies.value_at_quantile(0.999),
        max_us: latencies.max(),
    }
}

/// Documents covered, in thousandths.
fn coverage_permille(report: &CoverageReport) -> f64 {
    report.documents_covered as f64 * 1_000.0 / report.documents_total.max(1) as f64
}

/// Adds one sample to `counts`.
fn count_sample(counts: &mut OutcomeCounts, sample: &RequestSample, deadline: Option<Duration>) {
    counts.sent += 1;
    match sample.outcome {
        Some(outcome) => counts.add_outcome(outcome),
        None => counts.connection_errors += 1,
    }
    let is_late =
        deadline.is_some_and(|deadline| sample.outcome.is_none() || sample.latency > deadline);
    counts.deadline_misses += u64::from(is_late);
    counts.in_time += u64::from(sample.is_answered() && !is_late);
    counts.wrong_answers += u64::from(sample.is_wrong);
}
