//! The budget of extra calls: hedges, retries and refills together.

mod extra_load;
mod table;

pub(crate) use extra_load::ExtraLoadBudget;
pub(crate) use table::BudgetIndex;
pub(crate) use table::BudgetTable;
