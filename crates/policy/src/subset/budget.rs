//! Limit on the connections that a VM may open to a target.

/// Division of a target's connections among the VMs that hold its service.
///
/// A target accepts `limit` connections. Each holder opens at most `limit / (holders + spare)`,
/// rounded down, whatever its view of the fleet is. The target thus stays within its limit as long
/// as at most `holders + spare` VMs consider themselves holders or have not yet closed their
/// connections.
///
/// This condition is met while at most `spare` VMs are disputed. A VM is disputed if it is in some
/// views and not in others, or if it is gone and the target still counts its connections. Removing
/// a VM from a view makes no other VM less preferred in
/// [`service_holders`](crate::service_holders) and
/// [`holders_by_service`](crate::holders_by_service). So every VM that considers itself a holder is
/// either disputed or a holder in the view without any disputed VM. With `disputed` such VMs among
/// a service's holders, more than `spare`, the target sees at most `(holders + disputed) * per_vm`
/// connections and refuses those above its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionBudget {
    /// Number of VMs that hold connections to the service, as one VM sees the fleet.
    pub holders: usize,
    /// Maximum connections of one holder to one target, counting connections that no longer
    /// respond.
    pub per_vm: u32,
}

impl ConnectionBudget {
    /// Returns the budget for a target that accepts `limit` connections, in a fleet of `fleet` VMs.
    ///
    /// `spare` is the number of disputed VMs that the limit allows for.
    ///
    /// The number of holders is the largest that leaves each of them at least `wanted_per_vm`
    /// connections. In a small fleet all VMs are holders, with more connections each.
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
        let max_vms = usize::try_from(limit / wanted_per_vm).unwrap_or(usize::MAX);
        let holders = fleet.min(max_vms.saturating_sub(spare));
        let vms_with_spare = u32::try_from(holders + spare).unwrap_or(u32::MAX).max(1);
        let per_vm = if holders == 0 { 0 } else { limit / vms_with_spare };
        ConnectionBudget { holders, per_vm }
    }
}
