//! Serves opaque requests according to their routes.

mod answer;
mod manifests;
mod quota;
mod relay;
mod service;
mod stopping;
mod view;

pub(crate) use service::RouteService;
