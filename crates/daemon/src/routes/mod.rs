//! Serves opaque requests by routes.

mod answer;
mod manifests;
mod service;
mod view;

pub(crate) use service::RouteService;
