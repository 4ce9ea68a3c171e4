//! New connections of this VM to single targets.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::TargetId;

/// Maximum number of requests passed on at once while it is not known whether peers reach what this VM does not.
const MAX_UNPROVEN_RELAYS: usize = 2;
/// Time for which requests are tried here after a peer could not serve one either.
const RELAY_REST_TIME: Duration = Duration::from_millis(500);
/// Time for which a request that a peer served shows that peers reach what this VM does not.
const RELAY_PROOF_TIME: Duration = Duration::from_secs(2);

/// Targets that refuse this VM's new connections, and whether peers reach them.
///
/// Connections that were opened earlier may go on, so that replies say nothing of this: each new connection is evidence
/// of its own. If peers don't reach the targets either, the fault is the targets', and requests are tried here.
#[derive(Clone, Debug, Default)]
pub struct PathTracker {
    /// Targets to which the last new connection failed, with the time of the last attempt.
    refused: HashMap<TargetId, Instant>,
    relays: usize,
    rest_until: Option<Instant>,
    proven_until: Option<Instant>,
}

impl PathTracker {
    /// Records that a new connection to the target failed.
    pub fn record_refused(&mut self, target: &TargetId, now: Instant) {
        self.refused.insert(target.clone(), now);
    }

    /// Records that a target accepted a new connection.
    ///
    /// If it had refused one, all are taken for reachable again: what refused them is likely to have ended, and the next
    /// connection shows whether it has.
    pub fn record_accepted(&mut self, target: &TargetId) {
        if self.refused.contains_key(target) {
            self.refused.clear();
        }
    }

    /// Forgets targets that are not listed any more.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&TargetId) -> bool) {
        self.refused.retain(|target, _| is_listed(target));
    }

    /// Returns whether the target refuses new connections, as far as known.
    pub fn is_refused(&self, target: &TargetId) -> bool {
        self.refused.contains_key(target)
    }

    /// Returns whether any target refuses new connections. Then one has to be tried now and then, as requests may not do it.
    pub fn has_refused(&self) -> bool {
        !self.refused.is_empty()
    }

    /// Returns the refused target whose last attempt is the oldest, for the next one.
    pub fn next_probe(&self) -> Option<TargetId> {
        let oldest = self.refused.iter().min_by_key(|(target, at)| (**at, (*target).clone()));
        oldest.map(|(target, _)| target.clone())
    }

    /// Takes the permission to pass a request on that needs a target which is not reached. The result has to be recorded.
    pub fn take_relay(&mut self, now: Instant) -> bool {
        let is_proven = self.proven_until.is_some_and(|until| now < until);
        let is_resting = self.rest_until.is_some_and(|until| now < until);
        let is_due = is_proven || (!is_resting && self.relays < MAX_UNPROVEN_RELAYS);
        self.relays += usize::from(is_due);
        is_due
    }

    /// Records that a request that was passed on has ended, and whether it was served; `None` if its caller left before.
    pub fn record_relay(&mut self, is_served: Option<bool>, now: Instant) {
        self.relays = self.relays.saturating_sub(1);
        match is_served {
            Some(true) => self.proven_until = Some(now + RELAY_PROOF_TIME),
            Some(false) => self.rest_until = Some(now + RELAY_REST_TIME),
            None => {}
        }
    }
}
