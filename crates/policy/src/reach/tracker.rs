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
}

impl ReachTracker {
    /// Records a reply of any target, or a connection that one accepted; returns whether the VM was cut off until now.
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
            return true;
        }
        false
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
