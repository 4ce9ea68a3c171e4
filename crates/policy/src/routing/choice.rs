//! Selection among the replicas of a shard.

use std::time::Instant;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::routing::TargetIndex;
use crate::routing::TargetTable;

/// Random variation of an expected wait, as a fraction of it.
///
/// Spreads calls over replicas with similar waits, so that each of them is sampled from time to
/// time.
const WAIT_JITTER: f64 = 0.25;

/// How a target is selected among those with free capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum RoutingPolicy {
    /// The target that was selected least often.
    RoundRobin,
    /// The target with the fewest open calls from this VM.
    LeastOutstanding,
    /// The one of two randomly sampled targets with the shorter expected wait.
    ///
    /// The wait is computed from this VM's open calls, the observed latency and the load that the
    /// target reports in its replies. The contribution of the reported load is bounded. See
    /// Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing".
    #[default]
    ExpectedWait,
}

/// Outcome of a selection among the replicas of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetChoice {
    /// The selected target, which has free capacity.
    Target(TargetIndex),
    /// Some replicas are usable, but none has free capacity.
    NoCapacity,
    /// No replica is usable, or the usable ones asked for a pause.
    NoTarget,
}

impl RoutingPolicy {
    /// Selects one of `candidates`.
    ///
    /// A failing or lapsed target is selected only if no healthy one is usable, or if a probe of it
    /// is due. A first call asks for a permit of the target that it would prefer if only that is missing; an extra call
    /// goes to a target with a rate limit only if no other one has room.
    pub(crate) fn choose(
        self,
        table: &mut TargetTable,
        candidates: impl Iterator<Item = TargetIndex> + Clone,
        is_extra: bool,
        rng: &mut Pcg64Mcg,
        now: Instant,
    ) -> TargetChoice {
        let usable = candidates.filter(|index| table.state(*index).accepts_calls(now));
        let healthy = usable.clone().filter(|index| {
            let state = table.state(*index);
            !state.backoff.is_failing() && !state.is_lapsed()
        });
        let has_capacity = |index: &TargetIndex| table.state(*index).window.has_capacity();
        let has_room = |index: &TargetIndex| table.state(*index).has_room(now);
        let is_unlimited = |index: &TargetIndex| !table.state(*index).is_limited();
        let is_probe_due = |index: &TargetIndex| table.state(*index).backoff.is_probe_due(now);
        let probe = usable.clone().filter(is_probe_due).find(has_room);
        let is_any_healthy = healthy.clone().next().is_some();
        let mut select = |accepts: &dyn Fn(&TargetIndex) -> bool| match is_any_healthy {
            true => self.select(table, healthy.clone().filter(accepts), rng, now),
            false => self.select(table, usable.clone().filter(accepts), rng, now),
        };
        let mut lacks_permit = None;
        let chosen = match probe {
            Some(probe) => Some(probe),
            None if is_extra => select(&|index| has_room(index) && is_unlimited(index))
                .or_else(|| select(&has_room)),
            None => match select(&has_capacity) {
                Some(preferred) if table.state(preferred).lacks_permit(now) => {
                    lacks_permit = Some(preferred);
                    select(&has_room)
                }
                preferred => preferred,
            },
        };
        let is_any_usable = usable.clone().next().is_some();
        if let Some(preferred) = lacks_permit {
            table.want_permits(preferred, 1, now);
        }
        if chosen.is_none() {
            return if is_any_usable { TargetChoice::NoCapacity } else { TargetChoice::NoTarget };
        }
        if let Some(probe) = probe {
            table.state_mut(probe).backoff.start_probe(now);
        }
        chosen.map_or(TargetChoice::NoCapacity, TargetChoice::Target)
    }

    fn select(
        self,
        table: &TargetTable,
        candidates: impl Iterator<Item = TargetIndex> + Clone,
        rng: &mut Pcg64Mcg,
        now: Instant,
    ) -> Option<TargetIndex> {
        match self {
            RoutingPolicy::RoundRobin => {
                candidates.min_by_key(|index| table.state(*index).selections)
            }
            RoutingPolicy::LeastOutstanding => {
                candidates.min_by_key(|index| table.state(*index).window.open())
            }
            RoutingPolicy::ExpectedWait => {
                let (first, other) = sample_two(table, candidates.clone(), rng)?;
                let mut wait = |index: TargetIndex| {
                    let jitter = rng.random_range(1.0 - WAIT_JITTER..1.0 + WAIT_JITTER);
                    table.state(index).expected_wait(now) * jitter
                };
                if !table.state(first).is_refusing(now) {
                    return Some(if wait(other) < wait(first) { other } else { first });
                }
                let waits = candidates.map(|index| (wait(index), index));
                let least = waits.min_by(|(left, _), (right, _)| left.total_cmp(right));
                least.map(|(_, index)| index)
            }
        }
    }
}

/// Samples two candidates at random, the first in this VM's failure domain if there is one.
///
/// With three replicas in three failure domains, a uniform sample of two would leave out the local
/// replica in a third of the cases.
fn sample_two(
    table: &TargetTable,
    candidates: impl Iterator<Item = TargetIndex> + Clone,
    rng: &mut Pcg64Mcg,
) -> Option<(TargetIndex, TargetIndex)> {
    let local = candidates.clone().filter(|index| !table.state(*index).is_cross_domain);
    let first = match local.clone().count() {
        0 => candidates.clone().nth(rng.random_range(0..candidates.clone().count().max(1)))?,
        count => local.clone().nth(rng.random_range(0..count))?,
    };
    let others = candidates.filter(|index| *index != first);
    let other = match others.clone().count() {
        0 => first,
        count => others.clone().nth(rng.random_range(0..count))?,
    };
    Some((first, other))
}
