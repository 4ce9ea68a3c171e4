//! Connections to targets.
//!
//! A target's pool holds lanes. A lane is a client limited to one connection, so that the pool
//! decides what travels on which connection and how many there are.

mod deadline;
mod outcome;
mod pool;
mod service;

pub(crate) use deadline::ExecuteDeadline;
pub(crate) use outcome::CallOutcome;
pub(crate) use service::ForwardOutcome;
pub(crate) use service::TargetService;
