//! The choice among a shard's replicas.

use std::time::Instant;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::routing::TargetIndex;
use crate::routing::TargetTable;

/// Random part of an expected wait, either way, so that near-equal replicas share calls and each
/// is seen now and then.
const WAIT_JITTER: f64 = 0.25;

/// How a target is chosen among those with room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[non_exhaustive]
pub enum RoutingPolicy {
    /// By turn: the one that was chosen least often.
    RoundRobin,
    /// The one with the fewest own open calls.
    LeastOutstanding,
    /// The one of two drawn at random with the shorter expected wait.
    ///
    /// The wait follows from own open calls, observed latency and the load reported in-band, whose
    /// part is bounded. After Mitzenmacher, "The Power of Two Choices in Randomized Load
    /// Balancing".
    #[default]
    ExpectedWait,
}

/// What the replicas of a shard offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TargetChoice {
    /// This one has room.
    Target(TargetIndex),
    /// Some are usable and none has room.
    NoCapacity,
    /// None is usable.
    NoTarget,
}

impl RoutingPolicy {
    /// Chooses among `candidates`.
    ///
    /// Failing targets come after all others, but for a probe now and then.
    pub(crate) fn choose(
        self,
        table: &mut TargetTable,
        candidates: impl Iterator<Item = TargetIndex> + Clone,
        generator: &mut Pcg64Mcg,
        now: Instant,
    ) -> TargetChoice {
        let usable = candidates.filter(|index| table.state(*index).is_usable());
        let healthy = usable.clone().filter(|index| {
            let state = table.state(*index);
            !state.backoff.is_failing() && !state.is_lapsed()
        });
        let has_capacity = |index: &TargetIndex| table.state(*index).window.has_capacity();
        let is_probe_due = |index: &TargetIndex| table.state(*index).backoff.is_probe_due(now);
        let probe = usable.clone().filter(is_probe_due).find(has_capacity);
        let is_any_healthy = healthy.clone().next().is_some();
        let chosen = match (probe, is_any_healthy) {
            (Some(probe), _) => Some(probe),
            (None, true) => self.best(table, healthy.filter(has_capacity), generator, now),
            (None, false) => self.best(table, usable.clone().filter(has_capacity), generator, now),
        };
        if chosen.is_none() {
            let is_any_usable = usable.clone().next().is_some();
            return if is_any_usable { TargetChoice::NoCapacity } else { TargetChoice::NoTarget };
        }
        if let Some(probe) = probe {
            table.state_mut(probe).backoff.start_probe(now);
        }
        chosen.map_or(TargetChoice::NoCapacity, TargetChoice::Target)
    }

    fn best(
        self,
        table: &TargetTable,
        candidates: impl Iterator<Item = TargetIndex> + Clone,
        generator: &mut Pcg64Mcg,
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
                let (first, other) = draw_two(table, candidates.clone(), generator)?;
                let mut wait = |index: TargetIndex| {
                    let jitter = generator.random_range(1.0 - WAIT_JITTER..1.0 + WAIT_JITTER);
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

/// Two candidates at random, the first in the own failure domain if one is: of three replicas in as
/// many failure domains, a third of the plain draws would leave the near one out.
fn draw_two(
    table: &TargetTable,
    candidates: impl Iterator<Item = TargetIndex> + Clone,
    generator: &mut Pcg64Mcg,
) -> Option<(TargetIndex, TargetIndex)> {
    let near = candidates.clone().filter(|index| !table.state(*index).is_cross_domain);
    let first = match near.clone().count() {
        0 => {
            candidates.clone().nth(generator.random_range(0..candidates.clone().count().max(1)))?
        }
        count => near.clone().nth(generator.random_range(0..count))?,
    };
    let others = candidates.filter(|index| *index != first);
    let other = match others.clone().count() {
        0 => first,
        count => others.clone().nth(generator.random_range(0..count))?,
    };
    Some((first, other))
}
