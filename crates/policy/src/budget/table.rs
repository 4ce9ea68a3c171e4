//! Extra-call budgets by customer and by service.

use std::collections::HashMap;

use crate::CustomerId;
use crate::ServiceId;
use crate::budget::ExtraLoadBudget;

/// Index of a budget in a [`BudgetTable`].
pub(crate) type BudgetIndex = u32;

/// Budgets of all customers and services that had a query so far.
pub(crate) struct BudgetTable {
    customer_burst: u32,
    service_burst: u32,
    by_customer: HashMap<CustomerId, BudgetIndex>,
    by_service: HashMap<ServiceId, BudgetIndex>,
    budgets: Vec<ExtraLoadBudget>,
}

impl BudgetTable {
    /// Returns an empty table; each budget holds credit for at most its kind's burst of calls.
    pub(crate) fn new(customer_burst: u32, service_burst: u32) -> BudgetTable {
        BudgetTable {
            customer_burst,
            service_burst,
            by_customer: HashMap::new(),
            by_service: HashMap::new(),
            budgets: Vec::new(),
        }
    }

    /// Returns the index of a customer's budget, which is added on first use.
    pub(crate) fn customer_budget(&mut self, customer: &CustomerId) -> BudgetIndex {
        if let Some(index) = self.by_customer.get(customer) {
            return *index;
        }
        let index = self.add(self.customer_burst);
        self.by_customer.insert(customer.clone(), index);
        index
    }

    /// Returns the index of a service's budget, which is added on first use.
    pub(crate) fn service_budget(&mut self, service: &ServiceId) -> BudgetIndex {
        if let Some(index) = self.by_service.get(service) {
            return *index;
        }
        let index = self.add(self.service_burst);
        self.by_service.insert(service.clone(), index);
        index
    }

    /// Returns the budget at an index for modification.
    ///
    /// Panics if the index is out of range.
    pub(crate) fn budget_mut(&mut self, index: BudgetIndex) -> &mut ExtraLoadBudget {
        &mut self.budgets[index as usize]
    }

    /// Sets the burst of all service budgets, present and future.
    pub(crate) fn set_service_burst(&mut self, calls: u32) {
        self.service_burst = calls;
        for index in self.by_service.values() {
            self.budgets[*index as usize].set_burst(calls);
        }
    }

    fn add(&mut self, burst_calls: u32) -> BudgetIndex {
        self.budgets.push(ExtraLoadBudget::new(burst_calls));
        u32::try_from(self.budgets.len() - 1).unwrap_or(u32::MAX)
    }
}
