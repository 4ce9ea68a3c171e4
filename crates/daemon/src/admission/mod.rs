//! Admission control by customers' rate limits, decided before any other work on a request.

mod service;

pub(crate) use service::AdmissionService;
