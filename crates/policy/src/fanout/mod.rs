//! Fan-out: one query becomes one call a shard, and their answers one result.
//!
//! [`FanoutEngine`] holds every running query of a VM. Events and the time go in, actions come
//! out; the caller carries the actions out and holds the answers' bytes.

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
mod result;
mod settings;
mod timer;
mod view;
mod waiting;

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
