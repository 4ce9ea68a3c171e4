//! Which VMs hold the platform's waiting watches, and when they call again after a failure.

use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::FailureDomainId;
use crate::VmId;
use crate::subset::rendezvous_weight;

/// Watch holders of one failure domain; a second one covers the loss of the first.
const HOLDERS_PER_DOMAIN: usize = 2;
/// VMs of a failure domain up to which all of them hold watches: a watch is one call in 25 s, and a
/// VM that hears for itself needs no peer to be in time.
const SMALL_DOMAIN: usize = 3;
/// Name under which VMs are ranked for the watches.
const WATCH_NAME: &str = "platform-watch";
/// Bound of a watch's length.
const LONGEST_WATCH: Duration = Duration::from_secs(60);
/// The first call of a process waits at most this part of the longest wait: fleets that may wait
/// long between calls are large.
const FIRST_CALL_DIVISOR: u32 = 8;
/// Bound of the first wait after a failed call.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);

/// The VMs of one failure domain that hold watches, by the view of the VM that asks.
///
/// `vms` are the domain's serving VMs. Two views that differ give an extra watch or, until
/// suspicion has spread, one watch less; the other holder and other domains cover that.
pub fn watch_holders(domain: &FailureDomainId, vms: &[VmId]) -> Vec<VmId> {
    if vms.len() <= SMALL_DOMAIN {
        return vms.to_vec();
    }
    let mut ranked: Vec<(u64, &VmId)> =
        vms.iter().map(|vm| (rendezvous_weight(&[WATCH_NAME, domain], vm), vm)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.truncate(HOLDERS_PER_DOMAIN);
    ranked.into_iter().map(|(_, vm)| vm.clone()).collect()
}

/// When a watch holder calls the platform again.
///
/// The wait is drawn between nothing and a bound that doubles with each failure ("full jitter"),
/// so that the holders don't return together after an outage.
#[derive(Clone, Debug)]
pub struct WatchBackoff {
    failures: u32,
    longest: Duration,
    next_call: Instant,
    generator: Pcg64Mcg,
}

impl WatchBackoff {
    /// The first call is due within a second at most, as many VMs may start together; no wait is
    /// longer than `longest`.
    pub fn new(seed: u64, longest: Duration, now: Instant) -> WatchBackoff {
        let generator = Pcg64Mcg::seed_from_u64(seed);
        let mut backoff = WatchBackoff { failures: 0, longest, next_call: now, generator };
        backoff.wait(FIRST_BACKOFF.min(longest / FIRST_CALL_DIVISOR), now);
        backoff
    }

    /// When the next call is due.
    pub fn next_call(&self) -> Instant {
        self.next_call
    }

    /// How long to ask the platform to hold the next watch.
    ///
    /// The length is drawn, so that watches that began together don't end together.
    pub fn watch_duration(&mut self) -> Duration {
        LONGEST_WATCH.mul_f64(self.generator.random_range(0.5..1.0))
    }

    /// The call was answered, or the watch ran to its planned end: the next one follows at once.
    pub fn record_success(&mut self, now: Instant) {
        self.failures = 0;
        self.next_call = now;
    }

    /// The call failed.
    pub fn record_failure(&mut self, now: Instant) {
        let bound = FIRST_BACKOFF.saturating_mul(1 << self.failures.min(10)).min(self.longest);
        self.failures = self.failures.saturating_add(1);
        self.wait(bound, now);
    }

    /// Draws the next wait below `bound`.
    fn wait(&mut self, bound: Duration, now: Instant) {
        self.next_call = now + bound.mul_f64(self.generator.random());
    }
}
