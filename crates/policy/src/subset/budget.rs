//! How many connections a VM may open to a target.

/// Shares of a target's connections among the VMs that hold its service.
///
/// A target accepts `limit` connections. Each holder opens at most `limit / (holders + spare)`,
/// rounded down, whatever its view is, so that the target sees no more than its limit as long as
/// no more than `holders + spare` VMs take themselves for holders or have not yet closed.
///
/// That many hold as long as at most `spare` VMs are in some views and not in others, or are gone
/// with connections that the target still counts: taking a VM out of a view moves no other VM
/// down in [`service_holders`](crate::service_holders) and
/// [`holders_by_service`](crate::holders_by_service), so that every VM that takes itself for a
/// holder is one by the view that lacks all the disputed VMs, or is disputed itself. With `more`
/// disputed VMs among a service's holders the target sees `(holders + more) * per_vm` connections
/// at most, and refuses those above its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBudget {
    /// VMs that hold the service in one view.
    pub holders: usize,
    /// Connections that one holder may have to one target, silent ones included.
    pub per_vm: u32,
}

impl ConnectionBudget {
    /// The budget for `fleet` VMs, of which at most `spare` extra may hold at a time.
    ///
    /// As few as `wanted_per_vm` connections let more VMs hold; small fleets hold all, and their
    /// VMs get more connections each.
    ///
    /// # Examples
    ///
    /// ```
    /// use oleanderwind_policy::ConnectionBudget;
    ///
    /// let small = ConnectionBudget::new(25, 7, 1, 2);
    /// assert_eq!((small.holders, small.per_vm), (7, 3));
    /// let large = ConnectionBudget::new(25, 2_200, 4, 2);
    /// assert_eq!((large.holders, large.per_vm), (8, 2));
    /// ```
    pub fn new(limit: u32, fleet: usize, spare: usize, wanted_per_vm: u32) -> ConnectionBudget {
        let wanted_per_vm = wanted_per_vm.max(1);
        let most = usize::try_from(limit / wanted_per_vm).unwrap_or(usize::MAX);
        let holders = fleet.min(most.saturating_sub(spare));
        let sharers = u32::try_from(holders + spare).unwrap_or(u32::MAX).max(1);
        let per_vm = if holders == 0 { 0 } else { limit / sharers };
        ConnectionBudget { holders, per_vm }
    }
}
