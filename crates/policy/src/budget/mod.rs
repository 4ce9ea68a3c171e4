//! The shared budget of extra calls: hedges, retries and refills.

mod extra_load;
mod limits;
mod slack;
mod table;

pub(crate) use extra_load::ExtraLoadBudget;
pub(crate) use limits::CreditLimits;
pub use slack::FleetShape;
pub use slack::SPARE_VMS;
pub(crate) use table::BudgetIndex;
pub(crate) use table::BudgetTable;
