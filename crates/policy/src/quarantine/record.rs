//! What VMs tell each other of work that may end targets.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ServiceId;
use crate::TargetId;
use crate::WorkFingerprint;

/// Ends outside trials that count. Several requests may have been under way on a target that ended, and several
/// targets may end at once for another reason, so that they prove less than a trial.
const MAX_SHARED_ENDS: usize = 2;
/// Trials that ended a target and are kept; more change nothing.
const MAX_TRIAL_ENDS: usize = 6;
/// Number of ends that blocks work.
pub(super) const BLOCKING_ENDS: usize = 3;

/// A process of a target that ended while it ran the work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TargetEnd {
    /// Hash of the target's id and its incarnation, so that VMs that saw the same end count it once.
    pub process: u64,
    /// Whether the work ran in a trial.
    pub in_trial: bool,
}

impl TargetEnd {
    /// Returns the end of a listed process of a target under a call that is no trial.
    pub fn outside_trial(target: &TargetId, incarnation: u64) -> TargetEnd {
        TargetEnd { process: listed_process(target, incarnation, 0), in_trial: false }
    }

    /// Returns the end of a process of a target in a trial.
    ///
    /// `known` is what was known of the work when the trial was permitted. A process that had ended by then did not
    /// run it, even if it is still the listed one: the next one did.
    pub fn in_trial(target: &TargetId, incarnation: u64, known: &WorkRecord) -> TargetEnd {
        let mut earlier = 0;
        while known.has_end_of(listed_process(target, incarnation, earlier)) {
            earlier += 1;
        }
        TargetEnd { process: listed_process(target, incarnation, earlier), in_trial: true }
    }
}

/// What is known against work.
///
/// Records of the same work merge to the same result in any order: the later generation holds, and ends of
/// the same generation add up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkRecord {
    /// The work.
    pub work: WorkFingerprint,
    /// Service whose arbiter permits the trials of the work.
    pub service: ServiceId,
    /// Number of times that the work was cleared.
    pub generation: u64,
    /// Processes that ended under it since it was cleared last.
    pub ends: Vec<TargetEnd>,
    /// Whether an operator blocked it.
    pub is_blocked_by_operator: bool,
    /// Time since the last end, or since it was cleared.
    pub age: Duration,
}

impl WorkRecord {
    /// Returns a record without ends.
    pub fn new(work: WorkFingerprint, service: ServiceId) -> WorkRecord {
        WorkRecord {
            work,
            service,
            generation: 0,
            ends: Vec::new(),
            is_blocked_by_operator: false,
            age: Duration::ZERO,
        }
    }

    /// Returns whether nothing is held against the work.
    pub fn is_clear(&self) -> bool {
        self.ends.is_empty() && !self.is_blocked_by_operator
    }

    /// Returns the number of ends that count.
    pub fn counted_ends(&self) -> usize {
        self.ends.len()
    }

    /// Returns the number of trials that ended a target.
    pub fn ended_trials(&self) -> usize {
        self.ends.iter().filter(|end| end.in_trial).count()
    }

    /// Returns whether the listed process of a target has ended under the work.
    pub fn has_ended(&self, target: &TargetId, incarnation: u64) -> bool {
        self.has_end_of(listed_process(target, incarnation, 0))
    }

    fn has_end_of(&self, process: u64) -> bool {
        self.ends.iter().any(|end| end.process == process)
    }

    /// Returns whether a trial of the work ended a target.
    pub(super) fn has_ended_trial(&self) -> bool {
        self.ended_trials() > 0
    }

    /// Returns whether the ends block the work.
    pub(super) fn is_blocking(&self) -> bool {
        self.is_blocked_by_operator || self.ends.len() >= BLOCKING_ENDS
    }

    /// Adds an end; returns whether it is new and counts.
    pub(super) fn add_end(&mut self, end: TargetEnd) -> bool {
        let before = self.ends.clone();
        match self.ends.iter_mut().find(|known| known.process == end.process) {
            Some(known) => known.in_trial |= end.in_trial,
            None => self.ends.push(end),
        }
        self.drop_uncounted_ends();
        self.ends != before
    }

    /// Merges another record of the work; returns whether this one changed.
    pub(super) fn merge(&mut self, other: &WorkRecord) -> bool {
        if other.generation < self.generation {
            return false;
        }
        let mut has_changed = other.generation > self.generation;
        if has_changed {
            *self = WorkRecord { ends: Vec::new(), ..other.clone() };
        }
        has_changed |= other.is_blocked_by_operator && !self.is_blocked_by_operator;
        self.is_blocked_by_operator |= other.is_blocked_by_operator;
        for end in &other.ends {
            has_changed |= self.add_end(*end);
        }
        has_changed
    }

    /// Clears the work.
    pub(super) fn clear(&mut self) {
        self.generation = self.generation.saturating_add(1);
        self.ends.clear();
        self.is_blocked_by_operator = false;
        self.age = Duration::ZERO;
    }

    /// Returns a hash of everything but the age.
    pub(super) fn digest(&self) -> u64 {
        let operator = u64::from(self.is_blocked_by_operator);
        let seed = self.generation.wrapping_mul(2).wrapping_add(operator);
        let work = xxh3_64_with_seed(self.work.as_bytes(), seed);
        self.ends.iter().fold(work, |digest, end| {
            xxh3_64_with_seed(&end.process.to_le_bytes(), digest ^ u64::from(end.in_trial))
        })
    }

    /// Sorts the ends and drops those beyond what counts, the same ones on each VM.
    fn drop_uncounted_ends(&mut self) {
        self.ends.sort_unstable_by_key(|end| (end.in_trial, end.process));
        let (mut shared, mut trials) = (0, 0);
        self.ends.retain(|end| {
            let (count, limit) = match end.in_trial {
                true => (&mut trials, MAX_TRIAL_ENDS),
                false => (&mut shared, MAX_SHARED_ENDS),
            };
            *count += 1;
            *count <= limit
        });
    }
}

/// Returns the hash of the listed process of a target, or of the one after `earlier` that ended while it was the
/// listed one.
fn listed_process(target: &TargetId, incarnation: u64, earlier: u64) -> u64 {
    let listed = xxh3_64_with_seed(target.as_bytes(), incarnation);
    match earlier {
        0 => listed,
        _ => xxh3_64_with_seed(&earlier.to_le_bytes(), listed),
    }
}
