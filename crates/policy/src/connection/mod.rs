//! How many connections a VM holds to one target.

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
    pub working: u32,
}

impl ConnectionShare {
    /// Divides a target's limit among `holders` VMs, with room for one more during a replacement.
    ///
    /// # Examples
    ///
    /// ```
    /// use oleanderwind_policy::ConnectionShare;
    ///
    /// let share = ConnectionShare::of_limit(25, 7);
    /// assert_eq!((share.total, share.working), (3, 2));
    /// ```
    pub fn of_limit(limit: u32, holders: u32) -> ConnectionShare {
        let total = (limit / holders.saturating_add(1)).max(1);
        let working = (total - total / 3).max(1);
        ConnectionShare { total, working }
    }
}
