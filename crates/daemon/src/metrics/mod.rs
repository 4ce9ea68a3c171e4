//! OpenTelemetry metrics, served in the Prometheus text format.

mod service;

pub(crate) use service::MetricsService;
pub(crate) use service::RequestMeasurement;
pub(crate) use service::outcome_label;
