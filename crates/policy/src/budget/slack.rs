//! How the slack of extra calls is parted among the VMs.

/// VMs beyond those in view that may use their part of something shared too, while one replaces
/// another.
pub const SPARE_VMS: usize = 1;

/// Who shares the fleet's slack, by one VM's view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetShape {
    /// VMs that may hold connections and send calls, the own one included.
    pub vms: usize,
    /// Those of them that callers are sent to as long as these can carry all: the most capable.
    pub preferred_vms: usize,
    /// Whether the own VM is one of these.
    pub is_preferred: bool,
}

impl FleetShape {
    /// A fleet whose VMs all carry the same.
    pub fn uniform(vms: usize) -> FleetShape {
        FleetShape { vms, preferred_vms: vms, is_preferred: true }
    }

    /// Extra calls to a service that the own VM may save up, of the fleet's `slack`.
    ///
    /// All VMs together stay within the slack while one more than in view spends its part too. Where
    /// few carry the traffic, the others keep one call each for callers that still come to them.
    ///
    /// # Examples
    ///
    /// ```
    /// use oleanderwind_policy::FleetShape;
    ///
    /// assert_eq!(FleetShape::uniform(7).slack_share(52), 6);
    /// let carrier = FleetShape { vms: 83, preferred_vms: 6, is_preferred: true };
    /// assert_eq!(carrier.slack_share(206), 18);
    /// ```
    pub fn slack_share(self, slack: u32) -> u32 {
        let slack = usize::try_from(slack).unwrap_or(usize::MAX);
        let others = self.vms.saturating_sub(self.preferred_vms) + SPARE_VMS;
        let is_even = self.preferred_vms >= self.vms || others * 2 > slack;
        let part = match self.is_preferred {
            _ if is_even => slack / (self.vms + SPARE_VMS),
            true => (slack - others) / (self.preferred_vms + SPARE_VMS),
            false => 1,
        };
        u32::try_from(part).unwrap_or(u32::MAX).max(1)
    }
}
