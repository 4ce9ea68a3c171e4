//! How many connections a VM holds to one target.

use crate::ConnectionBudget;

/// Connections of one VM to one target.
///
/// A connection that went silent is closed here, but the target counts it until it notices. So a
/// part of the share is kept for replacements: the VM never has more than `total` connections
/// that the target may count, and uses at most `working` of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShare {
    /// Connections that the target may count at once.
    pub total: u32,
    /// Of these, connections in use; at least one.
    pub active: u32,
}

impl From<ConnectionBudget> for ConnectionShare {
    /// Parts a holder's connections; a VM that is sent a request needs one whatever the budget.
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
