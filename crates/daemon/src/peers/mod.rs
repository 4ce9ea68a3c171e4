//! Calls between the VMs: membership, configuration, departures and loans.

mod call;
mod client;
mod configuration;
mod drains;
mod heartbeat;
mod measures;
mod server;
mod service;
mod view;

pub(crate) use configuration::configuration_object;
pub(crate) use service::PeerService;
