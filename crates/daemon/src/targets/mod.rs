//! Connection pools for calls to targets.
//!
//! A pool holds clients that are limited to one connection each, so that the pool decides how many
//! connections there are and which one a call uses.

mod deadline;
mod outcome;
mod pool;
mod service;

pub(crate) use deadline::ExecuteDeadline;
pub(crate) use outcome::CallFailure;
pub(crate) use outcome::CallOutcome;
pub(crate) use outcome::ForwardOutcome;
pub(crate) use outcome::ReplyMatch;
pub(crate) use pool::PooledRequest;
pub(crate) use service::EndSign;
pub(crate) use service::HealthReply;
pub(crate) use service::PathObserver;
pub(crate) use service::ReplyObserver;
pub(crate) use service::TargetProcess;
pub(crate) use service::TargetService;
