//! Issue of tokens by the VM that holds an organisation's quota.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::OrganisationId;
use crate::QuotaReach;
use crate::QuotaSettings;
use crate::QuotaVm;
use crate::RequestQuota;
use crate::VmId;
use crate::quota::bucket::QuotaBucket;
use crate::rendezvous_weight;

/// Time for which a new holder issues no more than a deputy, so that an earlier one has heard of it.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Time in which the other VMs hear of one that starts.
const JOIN_TIME: Duration = Duration::from_millis(1_000);
/// Part of a quota that a VM which has just started issues beside the holder before it.
const JOIN_SHARE: f64 = 0.3;
/// Time between two signs of life after which another VM may have held this one's quotas.
const FREEZE_TIME: Duration = Duration::from_secs(2);
/// A holder's processor share is at least the largest one divided by this.
const CAPABLE_DIVISOR: u32 = 2;
/// Maximum number of tokens issued at once.
const MAX_WANTED: u32 = 1_024;
/// Time without a request after which the bucket of an organisation is forgotten.
const IDLE_TIME: Duration = Duration::from_secs(120);

/// What a VM is to an organisation's quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaRole {
    /// It issues the quota.
    Holder,
    /// It issues a small part while the holder is not reached.
    Deputy,
}

/// Answer of a holder or a deputy to a VM that asks for tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaGrant {
    /// Number of tokens.
    pub granted: u32,
    /// Time until there is another token; zero if all wanted ones were granted.
    pub retry_after: Duration,
    /// Number of tokens left.
    pub left: f64,
}

/// Bucket of one organisation at this VM.
#[derive(Clone, Copy, Debug)]
struct HeldQuota {
    bucket: QuotaBucket,
    role: QuotaRole,
    /// From when on an earlier holder has heard of this one.
    settled_at: Instant,
    asked_at: Instant,
}

/// Issues tokens for the organisations whose quotas this VM holds, in its view of the fleet.
#[derive(Clone, Debug)]
pub struct QuotaHolder {
    settings: QuotaSettings,
    own: VmId,
    /// VMs that may hold quotas.
    vms: Vec<VmId>,
    reach: QuotaReach,
    /// When the VMs that may hold quotas last changed.
    stable_since: Instant,
    /// Until when other VMs may not have heard that this one serves.
    joined_until: Instant,
    /// From when on earlier holders have heard of the last change.
    settled_at: Instant,
    seen_at: Instant,
    seen_at_wall: SystemTime,
    held: HashMap<OrganisationId, HeldQuota>,
}

impl QuotaHolder {
    /// Returns a holder that knows of no VM yet.
    pub fn new(settings: QuotaSettings, own: VmId, now: Instant, wall: SystemTime) -> QuotaHolder {
        QuotaHolder {
            settings,
            own,
            vms: Vec::new(),
            reach: QuotaReach::NONE,
            stable_since: now,
            joined_until: now,
            settled_at: now + SETTLE_TIME,
            seen_at: now,
            seen_at_wall: wall,
            held: HashMap::new(),
        }
    }

    /// Takes a view of the fleet. Buckets of quotas that others hold now are dropped, as they do not tell what the others
    /// issue.
    pub fn set_view(&mut self, vms: &[QuotaVm], now: Instant, wall: SystemTime) {
        self.observe(now, wall);
        self.reach = QuotaReach::of(&self.own, vms);
        let largest = vms.iter().map(|vm| vm.processor_millicores).max().unwrap_or(0);
        let may_hold = |vm: &&QuotaVm| {
            let is_capable = vm.processor_millicores.saturating_mul(CAPABLE_DIVISOR) >= largest;
            vm.is_heard && vm.is_serving && is_capable
        };
        let mut candidates: Vec<VmId> =
            vms.iter().filter(may_hold).map(|vm| vm.vm.clone()).collect();
        candidates.sort_unstable();
        if candidates == self.vms {
            return;
        }
        // A VM that leaves has stopped to issue before it says so.
        let has_left = |vm: &VmId| {
            vms.iter().any(|known| known.vm == *vm && known.is_reached && !known.is_serving)
        };
        let is_confirmed = |vm: &VmId| candidates.contains(vm) || has_left(vm);
        let is_new = candidates.contains(&self.own) && !self.vms.contains(&self.own);
        let settled_at = match (is_new, self.vms.iter().all(is_confirmed)) {
            (true, _) => {
                self.joined_until = now + JOIN_TIME;
                self.joined_until
            }
            (false, true) => now,
            (false, false) => now + SETTLE_TIME,
        };
        self.settled_at = self.settled_at.max(settled_at);
        self.vms = candidates;
        self.stable_since = now;
        let mut held = std::mem::take(&mut self.held);
        held.retain(|organisation, quota| {
            let Some(role) = self.own_role(organisation) else { return false };
            if role != quota.role {
                quota.role = role;
                quota.settled_at = settled_at;
            }
            now < quota.asked_at + IDLE_TIME
        });
        self.held = held;
    }

    /// Records a sign of life of this VM. After a freeze others may have issued what the buckets gained in the meantime.
    pub fn observe(&mut self, now: Instant, wall: SystemTime) {
        let steady_gap = now.saturating_duration_since(self.seen_at);
        let wall_gap = wall.duration_since(self.seen_at_wall).unwrap_or_default();
        self.seen_at = now;
        self.seen_at_wall = wall;
        if steady_gap.max(wall_gap) < FREEZE_TIME {
            return;
        }
        self.stable_since = now;
        self.settled_at = now + SETTLE_TIME;
        for held in self.held.values_mut() {
            held.bucket.clear(now);
            held.settled_at = self.settled_at;
        }
    }

    /// Returns whether it has been told a view of the fleet.
    pub fn has_view(&self) -> bool {
        self.reach != QuotaReach::NONE
    }

    /// Returns the parts of the traffic that this VM and those that it reaches have.
    pub fn reach(&self) -> QuotaReach {
        self.reach
    }

    /// Returns the VMs that hold an organisation's quota: the holder and its deputy, as far as there are any.
    pub fn holders(&self, organisation: &OrganisationId) -> Vec<VmId> {
        let weight = |vm: &&VmId| Reverse(rendezvous_weight(&["quota", organisation], vm));
        let mut ranked: Vec<&VmId> = self.vms.iter().collect();
        ranked.sort_by_cached_key(weight);
        ranked.into_iter().take(2).cloned().collect()
    }

    fn own_role(&self, organisation: &OrganisationId) -> Option<QuotaRole> {
        let holders = self.holders(organisation);
        let place = holders.iter().position(|vm| *vm == self.own)?;
        Some(if place == 0 { QuotaRole::Holder } else { QuotaRole::Deputy })
    }

    /// Issues up to `wanted` tokens; `None` if this VM does not have the role.
    ///
    /// A VM that holds the quota issues nothing as its deputy: who asks will hear of it.
    pub fn issue(
        &mut self,
        organisation: &OrganisationId,
        quota: &RequestQuota,
        wanted: u32,
        role: QuotaRole,
        now: Instant,
        wall: SystemTime,
    ) -> Option<QuotaGrant> {
        self.observe(now, wall);
        let own_role = match self.held.get(organisation) {
            Some(held) => held.role,
            None => self.own_role(organisation)?,
        };
        if role == QuotaRole::Holder && own_role == QuotaRole::Deputy {
            return None;
        }
        let share = self.reach.reached;
        let start = self.settings.start_tokens() * share;
        let (stable_since, settled_at) = (self.stable_since, self.settled_at);
        let held = self.held.entry(organisation.clone()).or_insert_with(|| {
            let gained = match own_role {
                QuotaRole::Holder => {
                    let settled = now.saturating_duration_since(stable_since.max(settled_at));
                    quota.requests_per_second * share * settled.as_secs_f64()
                }
                QuotaRole::Deputy => 0.0,
            };
            let bucket = QuotaBucket::new(start + gained, now);
            HeldQuota { bucket, role: own_role, settled_at, asked_at: now }
        });
        held.asked_at = now;
        let is_settled = held.role == QuotaRole::Holder && now >= held.settled_at;
        let (rate, capacity) = match is_settled {
            true => {
                let rate = quota.requests_per_second;
                let part = share * (rate + self.settings.slack_rate());
                let capacity = share * (quota.burst + self.settings.start_tokens());
                (rate.min(part), quota.burst.min(capacity).max(start).max(1.0))
            }
            false => {
                let is_joining = held.role == QuotaRole::Holder && now < self.joined_until;
                let rate = quota.requests_per_second;
                let joining = share * JOIN_SHARE * rate + self.settings.slack_rate();
                let rate = match is_joining {
                    true => rate.min(joining),
                    false => self.settings.unconfirmed_rate(quota),
                };
                (rate, quota.burst.min(start).max(1.0))
            }
        };
        held.bucket.refill(rate, capacity, now);
        let wanted = wanted.min(MAX_WANTED);
        let granted = held.bucket.take(wanted);
        let retry_after = if granted < wanted { held.bucket.wait(rate) } else { Duration::ZERO };
        Some(QuotaGrant { granted, retry_after, left: held.bucket.level() })
    }
}
