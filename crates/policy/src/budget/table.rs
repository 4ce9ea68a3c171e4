//! Extra-call budgets by customer and by service.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::CustomerId;
use crate::ServiceId;
use crate::budget::CreditLimits;
use crate::budget::ExtraLoadBudget;

/// Index of a budget in a [`BudgetTable`].
pub(crate) type BudgetIndex = u32;

/// Budgets of all customers and services that had a query so far.
pub(crate) struct BudgetTable {
    customer_limits: CreditLimits,
    service_limits: CreditLimits,
    service_window: Duration,
    /// When the table was first used; unused budgets regain credit from then on.
    begin: Option<Instant>,
    by_customer: HashMap<CustomerId, BudgetIndex>,
    by_service: HashMap<ServiceId, BudgetIndex>,
    budgets: Vec<ExtraLoadBudget>,
}

impl BudgetTable {
    /// Returns an empty table.
    ///
    /// A customer's budget holds credit for at most `customer_burst` calls. This VM may send
    /// `service_share` extra calls to each service in any `service_window`, beyond the share of its
    /// primary calls.
    pub(crate) fn new(
        customer_burst: u32,
        service_share: u32,
        service_window: Duration,
    ) -> BudgetTable {
        BudgetTable {
            customer_limits: CreditLimits::customer(customer_burst),
            service_limits: CreditLimits::service(service_share, service_window),
            service_window,
            begin: None,
            by_customer: HashMap::new(),
            by_service: HashMap::new(),
            budgets: Vec::new(),
        }
    }

    /// Returns the index of a customer's budget, which is added on first use.
    pub(crate) fn customer_budget(&mut self, customer: &CustomerId, now: Instant) -> BudgetIndex {
        if let Some(index) = self.by_customer.get(customer) {
            return *index;
        }
        let index = self.add(self.customer_limits, now);
        self.by_customer.insert(customer.clone(), index);
        index
    }

    /// Returns the index of a service's budget, which is added on first use.
    pub(crate) fn service_budget(&mut self, service: &ServiceId, now: Instant) -> BudgetIndex {
        if let Some(index) = self.by_service.get(service) {
            return *index;
        }
        let index = self.add(self.service_limits, now);
        self.by_service.insert(service.clone(), index);
        index
    }

    /// Returns the budget at an index as of `now`, for modification.
    ///
    /// Panics if the index is out of range.
    pub(crate) fn budget_mut(&mut self, index: BudgetIndex, now: Instant) -> &mut ExtraLoadBudget {
        let budget = &mut self.budgets[index as usize];
        budget.refill(now);
        budget
    }

    /// Sets this VM's share of the slack of each service, present and future.
    pub(crate) fn set_service_share(&mut self, calls: u32, now: Instant) {
        self.begin.get_or_insert(now);
        self.service_limits = CreditLimits::service(calls, self.service_window);
        for index in self.by_service.values() {
            let budget = &mut self.budgets[*index as usize];
            budget.refill(now);
            budget.set_limits(self.service_limits);
        }
    }

    fn add(&mut self, limits: CreditLimits, now: Instant) -> BudgetIndex {
        let begin = *self.begin.get_or_insert(now);
        self.budgets.push(ExtraLoadBudget::new(limits, begin));
        u32::try_from(self.budgets.len() - 1).unwrap_or(u32::MAX)
    }
}
