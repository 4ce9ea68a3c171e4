//! Connections of one VM to one target: their limits, and what was sent on each.

mod history;

pub use history::ConnectionHistory;

use crate::ConnectionBudget;

/// One VM's share of the connections that a target accepts.
///
/// When the VM closes an unresponsive connection, the target still counts it until it notices. Part
/// of the share is therefore reserved for replacements: the VM never has more than `total`
/// connections that the target may count, and uses at most `active` of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    /// Maximum number of connections that the target may count at any time.
    pub total: u32,
    /// Maximum number of connections in use, out of `total`; at least 1.
    pub active: u32,
}

impl From<ConnectionBudget> for ConnectionShare {
    /// Divides a VM's connections into active ones and a reserve of one third, rounded down.
    ///
    /// At least one connection is active even if the budget is 0, since the VM may still receive
    /// requests for the target.
    ///
    /// # Examples
    ///
    /// ```
    /// use oleanderwind_policy::{ConnectionBudget, ConnectionShare};
    ///
    /// let share = ConnectionShare::from(ConnectionBudget::new(25, 7, 1, 2));
    /// assert_eq!((share.total, share.active), (3, 2));
    /// ```
    fn from(budget: ConnectionBudget) -> ConnectionShare {
        let total = budget.per_vm.max(1);
        let active = (total - total / 3).max(1);
        ConnectionShare { total, active }
    }
}
