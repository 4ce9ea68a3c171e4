//! Drives the fan-out engine: carries out its actions and feeds it events.

mod driver;
mod service;

pub(crate) use service::FanoutReply;
pub(crate) use service::FanoutService;
