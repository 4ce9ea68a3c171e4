//! Queue of shard calls that wait for free capacity at a target.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
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
    /// Virtual time of its turn among the calls of its rank: after that of its organisation's call
    /// before, and not before the turn that was served last.
    pub(crate) turn: u64,
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
    /// Rank and turn of the call that was served last, while others wait.
    served: Option<(CallRank, u64)>,
    /// When each organisation has its next turn in a rank, since the queue was last empty.
    next_turns: HashMap<(CallRank, u64), u64>,
}

impl WaitingCallQueue {
    /// Returns the number of waiting calls, including stale copies.
    pub(crate) fn len(&self) -> usize {
        self.heap.len()
    }

    pub(crate) fn push(&mut self, waiting: WaitingCall) {
        if let Some(taker) = waiting.taker {
            let next = waiting.turn.saturating_add(taker.turn_time);
            self.next_turns.insert((waiting.rank, taker.organisation), next);
        }
        self.heap.push(Reverse(waiting));
    }

    /// Removes and returns the first call.
    pub(crate) fn pop(&mut self) -> Option<WaitingCall> {
        let first = self.heap.pop().map(|Reverse(waiting)| waiting);
        self.served = first.as_ref().map(|first| (first.rank, first.turn));
        self.forget_turns_if_empty();
        first
    }

    /// Removes every call for which `is_live` returns false.
    pub(crate) fn retain(&mut self, is_live: impl Fn(&WaitingCall) -> bool) {
        self.heap.retain(|Reverse(waiting)| is_live(waiting));
        self.forget_turns_if_empty();
    }

    /// Begins the turns anew when nobody waits.
    fn forget_turns_if_empty(&mut self) {
        if self.heap.is_empty() {
            self.served = None;
            self.next_turns.clear();
        }
    }

    /// Returns the turn of a further call (start-time fair queueing: Goyal, Vin and Cheng, SIGCOMM
    /// 1996).
    pub(crate) fn next_turn(&self, rank: CallRank, taker: Option<TurnTaker>) -> u64 {
        let Some(taker) = taker else { return 0 };
        let served = self.served.filter(|(served, _)| *served == rank).map_or(0, |(_, turn)| turn);
        let next = self.next_turns.get(&(rank, taker.organisation)).copied().unwrap_or(0);
        next.max(served)
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
