//! Counters and histograms that accumulate the measurements of one class during a run.

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

/// Largest recorded latency, in microseconds. Greater latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;
/// Percentiles at which the latency distribution is reported.
const PERCENTILES: &[f64] =
    &[0.0, 10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9, 99.95, 99.99, 100.0];

/// Result of one attempt of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSample {
    /// Outcome; `None` without a readable reply.
    pub outcome: Option<RequestOutcome>,
    /// Time from the intended send time (for a repeat, the actual send time) until the reply or the
    /// failure.
    pub latency: Duration,
    /// Coverage reported by the reply.
    pub coverage: Option<CoverageReport>,
    /// Whether the reply had a fault or was unreadable.
    pub is_wrong: bool,
}

impl RequestSample {
    /// Returns whether the reply was a complete or partial answer.
    pub fn is_answered(&self) -> bool {
        matches!(self.outcome, Some(RequestOutcome::Answered | RequestOutcome::Partial))
    }
}

/// Counters and histograms of one class.
#[derive(Clone, Debug)]
pub struct ClassTally {
    class: String,
    deadline: Option<Duration>,
    floor_permille: u32,
    counts: OutcomeCounts,
    repeats: OutcomeCounts,
    latencies: Histogram<u64>,
    unanswered_latencies: Histogram<u64>,
    coverage_count: u64,
    coverage_sum: f64,
    coverage_min: f64,
    below_floor: u64,
}

impl ClassTally {
    /// Creates an empty tally. Without `terms`, no deadline and no coverage floor is checked.
    ///
    /// # Errors
    ///
    /// Returns an error if a histogram cannot be created.
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
            unanswered_latencies: Histogram::new_with_max(MAX_LATENCY_US, LATENCY_DIGITS)?,
            coverage_count: 0,
            coverage_sum: 0.0,
            coverage_min: 1_000.0,
            below_floor: 0,
        })
    }

    /// Records the first attempt of a request.
    pub fn record(&mut self, sample: &RequestSample) {
        count_sample(&mut self.counts, sample, self.deadline);
        let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
        if sample.is_answered() {
            self.latencies.saturating_record(micros);
        } else if sample.outcome.is_some() {
            self.unanswered_latencies.saturating_record(micros);
        }
        if let Some(report) = &sample.coverage
            && sample.is_answered()
        {
            self.record_coverage(report);
        }
    }

    /// Records the caller's repeat of a request. Repeats do not affect latency and coverage.
    pub fn record_repeat(&mut self, sample: &RequestSample) {
        count_sample(&mut self.repeats, sample, None);
    }

    /// Returns whether a request got a correct answer by the deadline and at or above the coverage
    /// floor.
    pub fn holds(&self, sample: &RequestSample) -> bool {
        let is_late = self.deadline.is_some_and(|deadline| sample.latency > deadline);
        let is_below_floor = sample
            .coverage
            .as_ref()
            .is_some_and(|report| coverage_permille(report) < f64::from(self.floor_permille));
        sample.is_answered() && !is_late && !is_below_floor && !sample.is_wrong
    }

    /// Returns the counts of first attempts so far.
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
            given_up: summarize(&self.unanswered_latencies),
            percentiles: self.percentile_points(),
            coverage: self.coverage_summary(),
        }
    }

    /// Adds the coverage of one answer.
    fn record_coverage(&mut self, report: &CoverageReport) {
        let permille = coverage_permille(report);
        self.coverage_count += 1;
        self.coverage_sum += permille;
        self.coverage_min = self.coverage_min.min(permille);
        self.below_floor += u64::from(permille < f64::from(self.floor_permille));
    }

    /// Returns the latency distribution at fixed percentiles. Empty without answers.
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

    /// Returns the coverage summary, if any answer reported its coverage.
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

/// Summarizes a latency histogram.
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

/// Returns the covered documents in thousandths of all documents.
fn coverage_permille(report: &CoverageReport) -> f64 {
    report.documents_covered as f64 * 1_000.0 / report.documents_total.max(1) as f64
}

/// Adds one sample to `counts`. Without a deadline, no request is late.
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
