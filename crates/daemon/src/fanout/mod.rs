//! Runs the fan-out engine: executes its actions and passes events to it.

mod cold;
mod driver;
mod evacuations;
mod forward;
mod limits;
mod payload;
mod quarantine;
mod reach;
mod service;
mod work;

pub(crate) use payload::FanoutReply;
pub(crate) use payload::QueryPayload;
pub(crate) use payload::SignedReply;
pub(crate) use quarantine::CallWitness;
pub(crate) use service::FanoutService;
pub(crate) use work::QueryWork;
