//! Customers' limits, decided before any work.

mod service;

pub(crate) use service::AdmissionService;
