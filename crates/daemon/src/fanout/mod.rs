//! Drives the fan-out engine: carries out its actions and feeds it events.

mod driver;
mod forward;
mod payload;
mod service;

pub(crate) use payload::FanoutReply;
pub(crate) use payload::QueryPayload;
pub(crate) use payload::SignedReply;
pub(crate) use service::FanoutService;
