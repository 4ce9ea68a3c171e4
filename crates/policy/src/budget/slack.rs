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
    pub carriers: usize,
    /// Whether the own VM is one of these.
    pub is_carrier: bool,
}

impl FleetShape {
    /// A fleet whose VMs all carry the same.
    pub fn even(vms: usize) -> FleetShape {
        FleetShape { vms, carriers: vms, is_carrier: true }
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
    /// assert_eq!(FleetShape::even(7).slack_part(52), 6);
    /// let carrier = FleetShape { vms: 83, carriers: 6, is_carrier: true };
    /// assert_eq!(carrier.slack_part(206), 18);
    /// ```
    pub fn slack_part(self, slack: u32) -> u32 {
        let slack = usize::try_from(slack).unwrap_or(usize::MAX);
        let others = self.vms.saturating_sub(self.carriers) + SPARE_VMS;
        let is_even = self.carriers >= self.vms || others * 2 > slack;
        let part = match self.is_carrier {
            _ if is_even => slack / (self.vms + SPARE_VMS),
            true => (slack - others) / (self.carriers + SPARE_VMS),
            false => 1,
        };
        u32::try_from(part).unwrap_or(u32::MAX).max(1)
    }
}
