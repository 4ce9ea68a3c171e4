//! The budget of extra calls: hedges, retries and refills together.

mod extra_load;
mod slack;
mod table;

pub(crate) use extra_load::ExtraLoadBudget;
pub use slack::FleetShape;
pub(crate) use table::BudgetIndex;
pub(crate) use table::BudgetTable;
