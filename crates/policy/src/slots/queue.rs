//! Queue of shard calls that wait for free capacity at a target.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use crate::ClassPriority;
use crate::QueryId;

/// A waiting call to a shard; the queue of each replica holds a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaitingCall {
    /// Class priority; interactive calls come before deferrable ones.
    pub(crate) priority: ClassPriority,
    /// Deadline of the query; earlier ones come first.
    pub(crate) deadline: Instant,
    /// Query that the call belongs to.
    pub(crate) query: QueryId,
    /// Position of the shard in the query's manifest.
    pub(crate) position: u32,
    /// Version of the shard's state when it began to wait; this copy is stale once the version
    /// changes.
    pub(crate) state_version: u32,
}

/// A queue ordered by class priority, then deadline; the caller bounds its length.
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
}
