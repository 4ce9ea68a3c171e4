//! The instruments of one daemon.

use std::cell::RefCell;
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use actix_http::StatusCode;
use oleanderwind_http::HttpReply;
use oleanderwind_policy::FanoutResult;
use oleanderwind_policy::OrganisationId;
use oleanderwind_policy::RequestOutcome;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;
use opentelemetry::metrics::MeterProvider;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::Encoder;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Bucket bounds of the latency histograms, in milliseconds.
const LATENCY_BOUNDS_MS: [f64; 16] = [
    1.0, 2.0, 5.0, 10.0, 15.0, 20.0, 30.0, 50.0, 75.0, 100.0, 150.0, 210.0, 300.0, 500.0, 1_000.0,
    2_000.0,
];
/// Bucket bounds of the coverage histograms, in thousandths.
const COVERAGE_BOUNDS_PERMILLE: [f64; 8] = [0.0, 500.0, 800.0, 900.0, 950.0, 990.0, 999.0, 1_000.0];

/// Maximum number of organisations with counters of their own; the others are counted together.
const MAX_COUNTED_ORGANISATIONS: usize = 200;
/// Label of the organisations that are counted together.
const OTHER_ORGANISATIONS: &str = "other";

/// Measurements of one finished request.
#[derive(Clone, Debug)]
pub(crate) struct RequestMeasurement<'a> {
    /// Name of the customer, or `unknown` if there is no such contract.
    pub(crate) customer: &'a str,
    /// Name of the class, or `unknown` if the contract has no such class.
    pub(crate) class: &'a str,
    pub(crate) outcome: RequestOutcome,
    pub(crate) latency: Duration,
    /// Part of the documents that was searched, in thousandths, for searches that ran.
    pub(crate) coverage_permille: Option<f64>,
    pub(crate) primary_calls: u32,
    pub(crate) extra_calls: u32,
}

/// The instruments and their registry.
pub(crate) struct MetricsService {
    registry: Registry,
    // The instruments stop reporting when the provider is dropped.
    _provider: SdkMeterProvider,
    meter: Meter,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    primary_calls: Counter<u64>,
    extra_calls: Counter<u64>,
    route_requests: Counter<u64>,
    route_latency: Histogram<f64>,
    route_calls: Counter<u64>,
    organisation_requests: Counter<u64>,
    target_notices: Counter<u64>,
    quarantine_steps: Counter<u64>,
    limited_calls: Counter<u64>,
    reach_changes: Counter<u64>,
    relays: Counter<u64>,
    quota_requests: Counter<u64>,
    /// Organisations with counters of their own.
    counted_organisations: RefCell<HashSet<OrganisationId>>,
    latency: Histogram<f64>,
    coverage: Histogram<f64>,
}

impl MetricsService {
    /// Returns instruments with a registry of their own.
    ///
    /// # Errors
    ///
    /// Returns an error if the exporter can't be registered.
    pub(crate) fn new() -> eyre::Result<MetricsService> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("oleanderwind");
        Ok(MetricsService {
            registry,
            requests: meter.u64_counter("oleanderwind_requests").build(),
            refusals: meter.u64_counter("oleanderwind_refusals").build(),
            primary_calls: meter.u64_counter("oleanderwind_primary_calls").build(),
            extra_calls: meter.u64_counter("oleanderwind_extra_calls").build(),
            route_requests: meter.u64_counter("oleanderwind_route_requests").build(),
            route_latency: latency_histogram(&meter, "oleanderwind_route_latency_ms"),
            route_calls: meter.u64_counter("oleanderwind_route_calls").build(),
            organisation_requests: meter.u64_counter("oleanderwind_organisation_requests").build(),
            target_notices: meter.u64_counter("oleanderwind_target_notices").build(),
            reach_changes: meter.u64_counter("oleanderwind_reach_changes").build(),
            relays: meter.u64_counter("oleanderwind_relays").build(),
            quota_requests: meter.u64_counter("oleanderwind_quota_requests").build(),
            counted_organisations: RefCell::default(),
            limited_calls: meter.u64_counter("oleanderwind_limited_calls").build(),
            quarantine_steps: meter.u64_counter("oleanderwind_quarantine_steps").build(),
            latency: latency_histogram(&meter, "oleanderwind_request_latency_ms"),
            coverage: meter
                .f64_histogram("oleanderwind_request_coverage_permille")
                .with_boundaries(COVERAGE_BOUNDS_PERMILLE.to_vec())
                .build(),
            meter,
            _provider: provider,
        })
    }

    /// Returns the meter, for services with their own instruments.
    pub(crate) fn meter(&self) -> &Meter {
        &self.meter
    }

    /// Returns a histogram of latencies in milliseconds, with the common bucket bounds.
    pub(crate) fn latency_histogram(&self, name: &'static str) -> Histogram<f64> {
        latency_histogram(&self.meter, name)
    }

    /// Records a finished request.
    pub(crate) fn record(&self, measurement: &RequestMeasurement<'_>) {
        let customer = KeyValue::new("customer", measurement.customer.to_owned());
        let class = KeyValue::new("class", measurement.class.to_owned());
        let outcome = KeyValue::new("outcome", outcome_label(measurement.outcome));
        self.requests.add(1, &[customer.clone(), class.clone(), outcome]);
        let labels = [customer.clone(), class];
        self.latency.record(measurement.latency.as_secs_f64() * 1_000.0, &labels);
        if let Some(coverage) = measurement.coverage_permille {
            self.coverage.record(coverage, &labels);
        }
        let customer = [customer];
        self.primary_calls.add(u64::from(measurement.primary_calls), &customer);
        self.extra_calls.add(u64::from(measurement.extra_calls), &customer);
    }

    /// Records a finished request of a route.
    pub(crate) fn record_route(
        &self,
        route: &Arc<str>,
        outcome: &'static str,
        latency: Duration,
        result: &FanoutResult,
    ) {
        let route = KeyValue::new("route", route.clone());
        self.route_latency.record(latency.as_secs_f64() * 1_000.0, std::slice::from_ref(&route));
        let first = result.calls_sent.saturating_sub(result.extra_calls);
        for (kind, calls) in [("first", first), ("extra", result.extra_calls)] {
            let labels = [route.clone(), KeyValue::new("kind", kind)];
            self.route_calls.add(u64::from(calls), &labels);
        }
        self.route_requests.add(1, &[route, KeyValue::new("outcome", outcome)]);
    }

    /// Records a finished request of an organisation.
    pub(crate) fn record_organisation(&self, organisation: &OrganisationId, outcome: &'static str) {
        let labels = [self.organisation_label(organisation), KeyValue::new("outcome", outcome)];
        self.organisation_requests.add(1, &labels);
    }

    /// Returns the label of an organisation's counters.
    ///
    /// The organisations beyond the first [`MAX_COUNTED_ORGANISATIONS`] share those of [`OTHER_ORGANISATIONS`].
    fn organisation_label(&self, organisation: &OrganisationId) -> KeyValue {
        let mut counted = self.counted_organisations.borrow_mut();
        let has_own = counted.contains(organisation)
            || (counted.len() < MAX_COUNTED_ORGANISATIONS && counted.insert(organisation.clone()));
        let name = if has_own { organisation.as_ref() } else { OTHER_ORGANISATIONS };
        KeyValue::new("organisation", name.to_owned())
    }

    /// Records a refusal.
    pub(crate) fn record_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Records a request of an organisation with a quota: `admitted`, `exhausted` or `holder_not_reached`.
    pub(crate) fn record_quota(&self, organisation: &OrganisationId, decision: &'static str) {
        let labels = [self.organisation_label(organisation), KeyValue::new("decision", decision)];
        self.quota_requests.add(1, &labels);
    }

    /// Records several refusals.
    pub(crate) fn record_refusals(&self, reason: &'static str, count: u64) {
        self.refusals.add(count, &[KeyValue::new("reason", reason)]);
    }

    /// Records a notice of a target: `leaving` or `pause`.
    pub(crate) fn record_target_notice(&self, kind: &'static str) {
        self.target_notices.add(1, &[KeyValue::new("kind", kind)]);
    }

    /// Records that this VM was cut off from all targets, or reaches them again.
    pub(crate) fn record_reach(&self, state: &'static str) {
        self.reach_changes.add(1, &[KeyValue::new("state", state)]);
    }

    /// Records a request that was passed on to a peer: `replied`, `not_run` or `no_reply`.
    pub(crate) fn record_relay(&self, outcome: &'static str) {
        self.relays.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records a step of a call to a target with a rate limit: `asked` and `permitted` count permits, `refused` the
    /// requests for permits without any, `answered` the answers that named a limit.
    pub(crate) fn record_limited_calls(&self, step: &'static str, calls: u64) {
        self.limited_calls.add(calls, &[KeyValue::new("step", step)]);
    }

    /// Records a step of the quarantine of work: `suspected`, `trial`, `blocked` or `cleared`.
    pub(crate) fn record_quarantine_step(&self, step: &'static str) {
        self.quarantine_steps.add(1, &[KeyValue::new("step", step)]);
    }

    /// Returns a reply with all metrics.
    pub(crate) fn reply(&self) -> HttpReply {
        match self.render() {
            Ok(text) => HttpReply::text(StatusCode::OK, text),
            Err(error) => {
                log::error!("failed to encode metrics: {error}");
                HttpReply::empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    /// Returns all metrics in the Prometheus text format.
    fn render(&self) -> eyre::Result<String> {
        let mut buffer = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buffer)?;
        Ok(String::from_utf8(buffer)?)
    }
}

fn latency_histogram(meter: &Meter, name: &'static str) -> Histogram<f64> {
    meter.f64_histogram(name).with_boundaries(LATENCY_BOUNDS_MS.to_vec()).build()
}

/// Returns the label value of an outcome, which is part of the metrics interface.
pub(crate) fn outcome_label(outcome: RequestOutcome) -> &'static str {
    match outcome {
        RequestOutcome::Answered => "answered",
        RequestOutcome::Partial => "partial",
        RequestOutcome::NotRun => "not_run",
        RequestOutcome::Unknown => "unknown",
    }
}
