//! Assignment of the platform's long-poll watches to VMs, and the backoff after failed calls.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::FailureDomainId;
use crate::VmId;
use crate::subset::rendezvous_weight;

/// Watch holders per failure domain; the second covers the loss of the first.
const HOLDERS_PER_DOMAIN: usize = 2;
/// Number of VMs in a failure domain up to which all of them hold watches. A watch costs one call in
/// 25 s, and a VM with its own watch does not depend on a peer to receive changes in time.
const SMALL_DOMAIN_VMS: usize = 3;
/// Key of the rendezvous hash that ranks the VMs for watches.
const WATCH_HASH_KEY: &str = "platform-watch";
/// Maximum duration of a watch.
const MAX_WATCH_DURATION: Duration = Duration::from_secs(60);
/// Divisor of the maximum wait that gives the bound of the wait before the first call of a process.
/// A long maximum wait is set for large fleets, whose first calls must be spread out more.
const FIRST_CALL_DIVISOR: u32 = 8;
/// Bound of the wait after the first failed call.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

/// Returns the VMs of a failure domain that hold watches.
///
/// `vms` are the domain's serving VMs in the view of the calling VM, less those that can't do it. VMs
/// with different views may open a watch too many or, until a suspicion has propagated, one too few.
/// The domain's other holder and the other domains cover the latter.
pub fn watch_holders(domain: &FailureDomainId, vms: &[VmId]) -> Vec<VmId> {
    if vms.len() <= SMALL_DOMAIN_VMS {
        return vms.to_vec();
    }
    let mut ranked: Vec<(u64, &VmId)> =
        vms.iter().map(|vm| (rendezvous_weight(&[WATCH_HASH_KEY, domain], vm), vm)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.truncate(HOLDERS_PER_DOMAIN);
    ranked.into_iter().map(|(_, vm)| vm.clone()).collect()
}

/// Backoff between a VM's calls to the platform.
///
/// The wait is uniformly random between zero and a bound that doubles with each failure ("full
/// jitter"), so that the VMs don't all call at once after an outage.
#[derive(Clone, Debug)]
pub struct WatchBackoff {
    failures: u32,
    max_wait: Duration,
    next_call: Instant,
    rng: Pcg64Mcg,
}

impl WatchBackoff {
    /// Creates a backoff whose waits are at most `max_wait`.
    ///
    /// The first call is due at a random time within one second at most, as many VMs may start
    /// together.
    pub fn new(seed: u64, max_wait: Duration, now: Instant) -> WatchBackoff {
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let mut backoff = WatchBackoff { failures: 0, max_wait, next_call: now, rng };
        backoff.schedule_within(INITIAL_BACKOFF.min(max_wait / FIRST_CALL_DIVISOR), now);
        backoff
    }

    /// Returns when the next call is due.
    pub fn next_call(&self) -> Instant {
        self.next_call
    }

    /// Returns how long to ask the platform to hold the next watch.
    ///
    /// The duration is random, so that watches that started together don't end together.
    pub fn watch_duration(&mut self) -> Duration {
        MAX_WATCH_DURATION.mul_f64(self.rng.random_range(0.5..1.0))
    }

    /// Records that a call was answered or a watch ran to its end; the next call is due at once.
    pub fn record_success(&mut self, now: Instant) {
        self.failures = 0;
        self.next_call = now;
    }

    /// Records a failed call and schedules the next one.
    pub fn record_failure(&mut self, now: Instant) {
        let bound = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(10)).min(self.max_wait);
        self.failures = self.failures.saturating_add(1);
        self.schedule_within(bound, now);
    }

    /// Schedules the next call after a random wait below `bound`.
    fn schedule_within(&mut self, bound: Duration, now: Instant) {
        self.next_call = now + bound.mul_f64(self.rng.random());
    }
}
