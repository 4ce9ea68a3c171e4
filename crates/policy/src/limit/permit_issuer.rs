//! Issue of permits by the holder of a target's limit.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::CallPermit;
use crate::PermitGrant;
use crate::RequestRate;
use crate::TargetId;

/// How far ahead permits are issued.
const ISSUE_AHEAD: Duration = Duration::from_millis(100);
/// Time for the permits of an earlier holder to expire, and for the calls that had left without one to arrive.
const HANDOVER_TIME: Duration =
    CallPermit::USE_TIME.saturating_add(ISSUE_AHEAD).saturating_add(Duration::from_millis(100));
/// Time without a request after which a target is forgotten.
const IDLE_TIME: Duration = Duration::from_secs(120);

/// The VMs that a holder reaches, of those that may send calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetReach {
    /// VMs that serve and answer, the holder included.
    pub reached: usize,
    /// The same and those that are not heard from.
    pub known: usize,
}

impl FleetReach {
    /// Returns the part of a limit that the holder may issue: the rest belongs to VMs that it can't reach, which may have a
    /// holder of their own.
    fn share(self) -> f64 {
        self.reached.max(1) as f64 / self.known.max(self.reached).max(1) as f64
    }
}

/// Issue of permits for one target.
#[derive(Clone, Copy, Debug)]
struct IssueState {
    incarnation: u64,
    /// When the next permit becomes usable.
    next_at: Instant,
    asked_at: Instant,
}

/// Issues permits for the targets whose limits this VM holds, at the rate of each limit.
///
/// The permits of a target are spaced by the interval of its rate (the virtual scheduling algorithm of ITU-T I.371 without
/// tolerance), so that the fleet sends no bursts. Unused ones are lost.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer {
    states: HashMap<TargetId, IssueState>,
}

impl PermitIssuer {
    /// Issues up to `wanted` permits for a process of a target.
    pub fn issue(
        &mut self,
        target: &TargetId,
        incarnation: u64,
        rate: RequestRate,
        wanted: u32,
        reach: FleetReach,
        now: Instant,
    ) -> PermitGrant {
        if !self.states.contains_key(target) {
            self.states.retain(|_, state| now < state.asked_at + IDLE_TIME);
        }
        let first = IssueState { incarnation, next_at: now + HANDOVER_TIME, asked_at: now };
        let state = self.states.entry(target.clone()).or_insert(first);
        if state.incarnation < incarnation {
            *state = first;
        }
        state.asked_at = now;
        let interval = rate.scaled(reach.share()).interval();
        let mut delays = Vec::new();
        for _ in 0..wanted {
            let usable_at = state.next_at.max(now);
            let delay = usable_at.saturating_duration_since(now);
            if delay > ISSUE_AHEAD {
                return PermitGrant { delays, retry_after: delay - ISSUE_AHEAD };
            }
            delays.push(delay);
            state.next_at = usable_at + interval;
        }
        PermitGrant { delays, retry_after: Duration::ZERO }
    }
}
