//! Queue of shard calls that wait for free capacity at a target.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use crate::ClassPriority;
use crate::QueryId;
use crate::slots::urgency::CallRank;
use crate::slots::urgency::TurnTaker;

/// A waiting call to a shard; the queue of each replica holds a copy.
///
/// The order of the fields is the order in which calls are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaitingCall {
    /// Class priority; interactive calls come before deferrable ones.
    pub(crate) priority: ClassPriority,
    /// Ranks of the organisation and the route.
    pub(crate) rank: CallRank,
    /// Calls of the same organisation and rank that waited for the target when it began to wait. So
    /// each organisation's first call comes before the second one of any.
    pub(crate) turn: u32,
    /// Deadline of the query; earlier ones come first.
    pub(crate) deadline: Instant,
    /// Query that the call belongs to.
    pub(crate) query: QueryId,
    /// Position of the shard in the query's manifest.
    pub(crate) position: u32,
    /// Version of the shard's state when it began to wait; this copy is stale once the version
    /// changes.
    pub(crate) state_version: u32,
    /// Who takes turns; `None` if nobody does.
    pub(crate) taker: Option<TurnTaker>,
}

/// A queue ordered by class priority, ranks, turns and deadline; the caller bounds its length.
#[derive(Debug, Default)]
pub(crate) struct WaitingCallQueue {
    heap: BinaryHeap<Reverse<WaitingCall>>,
}

impl WaitingCallQueue {
    /// Returns the number of waiting calls, including stale copies.
    pub(crate) fn len(&self) -> usize {
        self.heap.len()
    }

    pub(crate) fn push(&mut self, waiting: WaitingCall) {
        self.heap.push(Reverse(waiting));
    }

    /// Removes and returns the first call.
    pub(crate) fn pop(&mut self) -> Option<WaitingCall> {
        self.heap.pop().map(|Reverse(waiting)| waiting)
    }

    /// Removes every call for which `is_live` returns false.
    pub(crate) fn retain(&mut self, is_live: impl Fn(&WaitingCall) -> bool) {
        self.heap.retain(|Reverse(waiting)| is_live(waiting));
    }

    /// Returns the turn of a further call: the number of waiting ones of its organisation and rank.
    pub(crate) fn next_turn(&self, rank: CallRank, taker: Option<TurnTaker>) -> u32 {
        if taker.is_none() {
            return 0;
        }
        let is_alike =
            |Reverse(other): &&Reverse<WaitingCall>| other.rank == rank && other.taker == taker;
        u32::try_from(self.heap.iter().filter(is_alike).count()).unwrap_or(u32::MAX)
    }

    /// Returns the call that would be served last, of other queries than that of `waiting`, if
    /// `waiting` is served before it.
    ///
    /// Deadlines don't count: a call that began to wait keeps its place against later ones alike.
    pub(crate) fn displaceable(&self, waiting: &WaitingCall) -> Option<WaitingCall> {
        let urgency = |call: &WaitingCall| (call.priority, call.rank, call.turn);
        let others = self.heap.iter().map(|Reverse(other)| other);
        let last = others.filter(|other| other.query != waiting.query).max()?;
        (urgency(waiting) < urgency(last)).then_some(*last)
    }

    /// Removes one call.
    pub(crate) fn remove(&mut self, call: &WaitingCall) {
        self.heap.retain(|Reverse(other)| other != call);
    }

    /// Returns whether it holds a copy of a shard's call in this state.
    pub(crate) fn holds(&self, call: &WaitingCall) -> bool {
        let key = |call: &WaitingCall| (call.query, call.position, call.state_version);
        self.heap.iter().any(|Reverse(other)| key(other) == key(call))
    }
}
