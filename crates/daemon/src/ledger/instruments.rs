//! Metric instruments of the ledger.

use std::time::Duration;

use oleanderwind_policy::LedgerCause;
use oleanderwind_policy::RequestOutcome;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;

use crate::metrics::MetricsService;
use crate::metrics::outcome_label;

/// Histograms of claim and dispatch times, and a counter of answers.
pub(crate) struct LedgerInstruments {
    claims: Histogram<f64>,
    dispatches: Histogram<f64>,
    answers: Counter<u64>,
}

impl LedgerInstruments {
    /// Creates the instruments in the daemon's registry.
    pub(crate) fn new(metrics: &MetricsService) -> LedgerInstruments {
        LedgerInstruments {
            claims: metrics.latency_histogram("oleanderwind_ledger_claim_ms"),
            dispatches: metrics.latency_histogram("oleanderwind_ledger_dispatch_ms"),
            answers: metrics.meter().u64_counter("oleanderwind_ledger_answers").build(),
        }
    }

    /// Records the time from a request's arrival to its confirmed claim.
    pub(crate) fn record_claim(&self, time: Duration) {
        self.claims.record(time.as_secs_f64() * 1_000.0, &[]);
    }

    /// Records the time from a confirmed claim to the end of its dispatch.
    pub(crate) fn record_dispatch(&self, time: Duration) {
        self.dispatches.record(time.as_secs_f64() * 1_000.0, &[]);
    }

    /// Counts an answer.
    pub(crate) fn record_answer(&self, outcome: RequestOutcome, cause: LedgerCause) {
        let labels = [
            KeyValue::new("outcome", outcome_label(outcome)),
            KeyValue::new("cause", cause.as_str()),
        ];
        self.answers.add(1, &labels);
    }
}
