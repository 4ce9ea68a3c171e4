//! Drives the fan-out engine: carries out its actions and feeds it events.

mod driver;
mod forward;
mod service;
mod work;

pub(crate) use service::FanoutService;
pub(crate) use work::FanoutReply;
pub(crate) use work::QueryWork;
pub(crate) use work::TargetPart;
