//! Peer protocol between VMs: membership, configuration gossip, drain notices and rate loans.

mod call;
mod client;
mod configuration;
mod drains;
mod evacuations;
mod heartbeat;
mod limits;
mod metrics;
mod quarantine;
mod quota;
mod server;
mod service;
mod view;
mod watches;

pub(crate) use configuration::configuration_object;
pub(crate) use limits::PermitAnswer;
pub(crate) use quarantine::TrialAnswer;
pub(crate) use quota::QuotaAdmission;
pub(crate) use service::PeerService;
