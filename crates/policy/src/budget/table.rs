//! Budgets of all customers, by index.

use std::collections::HashMap;

use crate::CustomerId;
use crate::budget::ExtraLoadBudget;

/// Index of a customer's budget in a [`BudgetTable`].
pub(crate) type BudgetIndex = u32;

/// The budget of every customer that has sent a query.
pub(crate) struct BudgetTable {
    burst_calls: u32,
    by_customer: HashMap<CustomerId, BudgetIndex>,
    budgets: Vec<ExtraLoadBudget>,
}

impl BudgetTable {
    /// No budget yet; each will keep at most `burst_calls`.
    pub(crate) fn new(burst_calls: u32) -> BudgetTable {
        BudgetTable { burst_calls, by_customer: HashMap::new(), budgets: Vec::new() }
    }

    /// The index of a customer's budget, made on first use.
    pub(crate) fn intern(&mut self, customer: &CustomerId) -> BudgetIndex {
        if let Some(index) = self.by_customer.get(customer) {
            return *index;
        }
        let index = u32::try_from(self.budgets.len()).unwrap_or(u32::MAX);
        self.budgets.push(ExtraLoadBudget::new(self.burst_calls));
        self.by_customer.insert(customer.clone(), index);
        index
    }

    /// A customer's budget.
    pub(crate) fn budget_mut(&mut self, index: BudgetIndex) -> &mut ExtraLoadBudget {
        &mut self.budgets[index as usize]
    }
}
