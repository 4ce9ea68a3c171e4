//! Parts of a quota by the VMs that are reached.

use crate::VmId;

/// A VM is used by callers if its processor share is at least the largest one divided by this.
const CAPABLE_DIVISOR: u32 = 2;
/// Part of the traffic that is left to all VMs that callers do not prefer.
const OTHERS_SHARE: f64 = 0.1;

/// What one VM knows of another, or of itself, for quotas.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaVm {
    /// The VM.
    pub vm: VmId,
    /// Processor limit, in thousandths of a core; 0 if it has not been heard from.
    pub processor_millicores: u32,
    /// Whether it has ever been heard from.
    pub is_heard: bool,
    /// Whether it answers.
    pub is_reached: bool,
    /// Whether it serves, so that it may hold quotas.
    pub is_serving: bool,
}

/// The parts of the traffic that belong to this VM and to those that it reaches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaReach {
    /// Part of the VMs that this one reaches, itself included: 0 to 1.
    pub reached: f64,
    /// Part of this VM alone: 0 to 1.
    pub own: f64,
}

impl QuotaReach {
    /// The parts of a VM that knows of no VM yet, not even itself.
    pub const NONE: QuotaReach = QuotaReach { reached: 0.0, own: 0.0 };

    /// Weighs `vms` as callers use them: those that callers prefer have nearly all traffic. One that has not been heard from
    /// weighs as much as those that have on average.
    pub fn of(own: &VmId, vms: &[QuotaVm]) -> QuotaReach {
        let largest = vms.iter().map(|vm| vm.processor_millicores).max().unwrap_or(0);
        let is_preferred =
            |vm: &QuotaVm| vm.processor_millicores.saturating_mul(CAPABLE_DIVISOR) >= largest;
        let heard: Vec<&QuotaVm> = vms.iter().filter(|vm| vm.is_heard).collect();
        let preferred = heard.iter().filter(|vm| is_preferred(vm)).count() as f64;
        let others = heard.len() as f64 - preferred;
        let others_weight = if others > 0.0 { OTHERS_SHARE * preferred } else { 0.0 };
        let unheard_weight = (preferred + others_weight) / heard.len().max(1) as f64;
        let weight = |vm: &QuotaVm| match (vm.is_heard, is_preferred(vm)) {
            (false, _) => unheard_weight,
            (true, true) => 1.0,
            (true, false) => others_weight / others,
        };
        let sum = |included: &dyn Fn(&QuotaVm) -> bool| -> f64 {
            vms.iter().filter(|vm| included(vm)).map(weight).sum()
        };
        let known = sum(&|_| true);
        if known <= 0.0 {
            return QuotaReach::NONE;
        }
        QuotaReach {
            reached: sum(&|vm| vm.is_reached || vm.vm == *own) / known,
            own: sum(&|vm| vm.vm == *own) / known,
        }
    }
}
