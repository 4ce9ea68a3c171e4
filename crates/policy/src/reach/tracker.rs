//! Reachability of the targets as a whole.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use crate::TargetId;

/// Number of targets that are silent at the same time, none of the others replying, from which on the links of this VM are
/// the likely cause.
const MIN_SILENT_TARGETS: usize = 3;
/// Number of works whose calls ended without a reply from which on the links are the likely cause: a single work may end
/// targets of every shard.
const MIN_SILENT_WORKS: usize = 2;
/// Time for which silence has to last, from the first call that ended without a reply on. If some targets end at the
/// same moment, others reply in this time.
const MIN_SILENCE_TIME: Duration = Duration::from_millis(100);
/// Time after which a target that was silent, and was not called again, does not count any more.
const SILENCE_WINDOW: Duration = Duration::from_secs(2);

/// Number of targets that have to accept a connection before a request that may not be repeated is tried, if so many are
/// listed. A connection that is accepted proves little.
const MIN_ACCEPTING_TARGETS: usize = 3;
/// Minimum time between two trials of requests that may not be repeated, and from the cut on. Each may be lost.
const UNSAFE_TRIAL_INTERVAL: Duration = Duration::from_secs(2);

/// Whether this VM reaches targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReachState {
    /// Targets reply, or too little is known.
    #[default]
    Reaching,
    /// Several targets are silent or refuse connections, and none replies.
    CutOff,
}

/// Tells a cut of this VM's own links from faults of single targets.
///
/// A cut shows as calls to different targets that end without a reply for some time, with no reply of any target in
/// between. A fault of targets leaves replies of others, or concerns fewer targets.
#[derive(Clone, Debug, Default)]
pub struct ReachTracker {
    /// Targets whose calls ended without a reply since the last reply of any.
    silent: HashSet<TargetId>,
    /// Hashes of the works of these calls.
    works: HashSet<u64>,
    first_silence_at: Option<Instant>,
    last_silence_at: Option<Instant>,
    last_reply_at: Option<Instant>,
    state: ReachState,
    /// Targets that accepted a connection since the cut was found out, or since the last trial of a request that may not be
    /// repeated.
    accepting: HashSet<TargetId>,
    /// Whether a target accepted a connection since the last trial.
    has_new_connection: bool,
    /// Time from which on a request that may not be repeated may be tried.
    unsafe_trial_at: Option<Instant>,
}

impl ReachTracker {
    /// Records a reply of any target, also to a health check; returns whether the VM was cut off until now.
    pub fn record_reply(&mut self, now: Instant) -> bool {
        self.last_reply_at = Some(now);
        self.forget_silence();
        std::mem::take(&mut self.state) == ReachState::CutOff
    }

    /// Records that a call that left at `sent_at` ended without a reply, or got no connection; returns whether the VM is
    /// cut off from now on. `work` is a hash of what the call asks for.
    pub fn record_silence(
        &mut self,
        target: &TargetId,
        work: u64,
        sent_at: Instant,
        now: Instant,
    ) -> bool {
        // Something has been heard since, so that the fault is the target's.
        if self.last_reply_at.is_some_and(|at| at > sent_at) {
            return false;
        }
        if self.last_silence_at.is_some_and(|at| now >= at + SILENCE_WINDOW) {
            self.forget_silence();
        }
        self.silent.insert(target.clone());
        self.works.insert(work);
        self.last_silence_at = Some(now);
        let first_silence_at = *self.first_silence_at.get_or_insert(now);
        let is_cut_off = now >= first_silence_at + MIN_SILENCE_TIME
            && self.silent.len() >= MIN_SILENT_TARGETS
            && self.works.len() >= MIN_SILENT_WORKS;
        if is_cut_off && self.state == ReachState::Reaching {
            self.state = ReachState::CutOff;
            self.accepting.clear();
            self.has_new_connection = false;
            self.unsafe_trial_at = Some(now + UNSAFE_TRIAL_INTERVAL);
            return true;
        }
        false
    }

    /// Records that a target accepted a connection while this VM was cut off.
    pub fn record_accepted(&mut self, target: &TargetId) {
        if self.state == ReachState::CutOff {
            self.accepting.insert(target.clone());
            self.has_new_connection = true;
        }
    }

    /// Takes the permission to try one request on the targets while this VM is cut off, of `listed` of them.
    ///
    /// One that may be repeated is tried as soon as a target accepts a connection, any other only once several do: if it is
    /// lost, its caller learns nothing. So a VM whose callers send only such requests leaves this state too.
    pub fn take_trial(&mut self, is_idempotent: bool, listed: usize, now: Instant) -> bool {
        let is_due = self.state == ReachState::CutOff
            && match is_idempotent {
                true => self.has_new_connection,
                false => {
                    self.has_new_connection
                        && self.accepting.len() >= MIN_ACCEPTING_TARGETS.min(listed)
                        && self.unsafe_trial_at.is_none_or(|at| now >= at)
                }
            };
        if is_due {
            self.has_new_connection = false;
        }
        if is_due && !is_idempotent {
            self.accepting.clear();
            self.unsafe_trial_at = Some(now + UNSAFE_TRIAL_INTERVAL);
        }
        is_due
    }

    fn forget_silence(&mut self) {
        self.silent.clear();
        self.works.clear();
        self.first_silence_at = None;
    }

    /// Returns whether this VM reaches targets.
    pub fn state(&self) -> ReachState {
        self.state
    }

    /// Returns the number of targets that are silent, none of the others replying.
    pub fn silent_targets(&self) -> usize {
        self.silent.len()
    }

    /// Returns whether the fault behind a call sent at `sent_at` that ended without a reply is the target's, and not that of
    /// this VM's own links; `None` while nothing has been heard that tells.
    pub fn blames_target(&self, sent_at: Instant) -> Option<bool> {
        match self.state {
            ReachState::CutOff => Some(false),
            ReachState::Reaching => self.has_reply_since(sent_at).then_some(true),
        }
    }

    /// Returns whether any target has replied since `at`.
    fn has_reply_since(&self, at: Instant) -> bool {
        self.last_reply_at.is_some_and(|reply| reply > at)
    }
}
