//! When a VM holds watches.

use std::time::Duration;
use std::time::Instant;

use crate::news::role::WatchRole;

/// Number of refused VMs of a failure domain up to which others take over from them at once: two
/// holders, and two that took their place.
const PROMPT_TAKEOVER_REFUSALS: usize = 4;
/// Further refusals after which the wait before a takeover doubles: VMs take over in pairs.
const REFUSALS_PER_DOUBLING: usize = 2;
/// First wait before a takeover.
const INITIAL_TAKEOVER_DELAY: Duration = Duration::from_secs(1);
/// Maximum wait before a takeover.
const MAX_TAKEOVER_DELAY: Duration = Duration::from_secs(30);

/// What a VM does about the watches now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyStep {
    /// Holds no watches.
    Rest,
    /// Begins to hold watches in the place of VMs that the platform refuses.
    TakeOver,
    /// Holds watches.
    Hold,
}

/// Decides from a VM's role when it holds watches.
///
/// While the platform refuses many VMs of a failure domain, further ones take over ever more slowly, so
/// that few VMs call a platform that is down for all of them.
///
/// # Examples
///
/// ```
/// use std::time::Instant;
///
/// use oleanderwind_policy::{DutyStep, WatchDuty, WatchRole};
///
/// let (mut duty, now) = (WatchDuty::default(), Instant::now());
/// assert_eq!(duty.update(WatchRole::None, 2, now), DutyStep::Rest);
/// assert_eq!(duty.update(WatchRole::Substitute, 2, now), DutyStep::TakeOver);
/// assert_eq!(duty.update(WatchRole::Substitute, 2, now), DutyStep::Hold);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct WatchDuty {
    /// Since when this VM is next to take over; `None` if it is not a substitute.
    substitute_since: Option<Instant>,
    has_taken_over: bool,
}

impl WatchDuty {
    /// Returns what a VM with `role` does at `now`, while the platform refuses `refused_vms` of its
    /// failure domain.
    pub fn update(&mut self, role: WatchRole, refused_vms: usize, now: Instant) -> DutyStep {
        match role {
            WatchRole::Regular => {
                *self = WatchDuty::default();
                DutyStep::Hold
            }
            WatchRole::None => {
                *self = WatchDuty::default();
                DutyStep::Rest
            }
            WatchRole::Substitute if self.has_taken_over => DutyStep::Hold,
            WatchRole::Substitute => {
                let since = *self.substitute_since.get_or_insert(now);
                if now < since + takeover_delay(refused_vms) {
                    return DutyStep::Rest;
                }
                self.has_taken_over = true;
                DutyStep::TakeOver
            }
        }
    }
}

/// Returns how long a substitute waits before it takes over.
fn takeover_delay(refused_vms: usize) -> Duration {
    let Some(further) = refused_vms.checked_sub(PROMPT_TAKEOVER_REFUSALS + 1) else {
        return Duration::ZERO;
    };
    let doublings = u32::try_from(further / REFUSALS_PER_DOUBLING).unwrap_or(u32::MAX);
    let delay = INITIAL_TAKEOVER_DELAY.saturating_mul(2_u32.saturating_pow(doublings));
    delay.min(MAX_TAKEOVER_DELAY)
}
