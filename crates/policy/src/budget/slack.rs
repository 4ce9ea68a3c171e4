//! Division of the fleet-wide slack of extra calls among the VMs.

/// Number of VMs outside this VM's view that may also use their share of a fleet-wide limit, while
/// one VM replaces another.
pub const SPARE_VMS: usize = 1;

/// The VMs that share the fleet's slack, as seen by one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetShape {
    /// VMs that may hold connections and send calls, including this VM.
    pub vms: usize,
    /// The most capable of these VMs; callers are sent to them while they can serve all traffic.
    pub preferred_vms: usize,
    /// Whether this VM is one of the preferred VMs.
    pub is_preferred: bool,
}

impl FleetShape {
    /// Returns a fleet in which all VMs serve the same share of the traffic.
    pub fn uniform(vms: usize) -> FleetShape {
        FleetShape { vms, preferred_vms: vms, is_preferred: true }
    }

    /// Returns the extra calls to a service that this VM may send in any window beyond the share of
    /// its primary calls, out of the fleet's `slack`.
    ///
    /// All VMs together stay within the slack even if one VM outside the view uses its share too,
    /// except that each VM gets at least one call. If few VMs serve the traffic, each of the others
    /// gets one call, for callers that still use it.
    ///
    /// # Examples
    ///
    /// ```
    /// use oleanderwind_policy::FleetShape;
    ///
    /// assert_eq!(FleetShape::uniform(7).slack_share(52), 6);
    /// let shape = FleetShape { vms: 83, preferred_vms: 6, is_preferred: true };
    /// assert_eq!(shape.slack_share(206), 18);
    /// ```
    pub fn slack_share(self, slack: u32) -> u32 {
        let slack = usize::try_from(slack).unwrap_or(usize::MAX);
        let others = self.vms.saturating_sub(self.preferred_vms) + SPARE_VMS;
        let is_uniform = self.preferred_vms >= self.vms || others * 2 > slack;
        let share = match self.is_preferred {
            _ if is_uniform => slack / (self.vms + SPARE_VMS),
            true => (slack - others) / (self.preferred_vms + SPARE_VMS),
            false => 1,
        };
        u32::try_from(share).unwrap_or(u32::MAX).max(1)
    }
}
