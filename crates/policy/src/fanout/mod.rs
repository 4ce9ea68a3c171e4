//! Scatter-gather execution: sends each query to every shard and merges the answers into one
//! result.
//!
//! [`FanoutEngine`] holds the state of every running query of a VM. It performs no I/O: callers
//! pass in events and the current time, and execute the actions that it returns. Answer bodies stay
//! with the caller.

mod action;
mod counts;
mod dispatch;
mod engine;
mod event;
mod executor;
mod finish;
mod manifest;
mod observe;
mod plan;
mod query;
mod queue;
mod result;
mod settings;
mod timer;
mod view;

pub use action::FanoutAction;
pub use counts::EngineCounts;
pub use engine::FanoutEngine;
pub use event::FanoutEvent;
pub use executor::ExecutorOutcome;
pub use plan::AttemptPolicy;
pub use plan::BudgetOwner;
pub use plan::FanoutPlan;
pub use plan::QueryId;
pub use result::FanoutResult;
pub use result::FinishReason;
pub use settings::FanoutSettings;
pub use settings::FloorWait;
pub use settings::HedgePolicy;
pub use view::TargetView;
