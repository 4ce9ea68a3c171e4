//! Shard calls that wait for room at a target.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

use crate::ClassPriority;
use crate::QueryId;

/// A shard's call that waits; a copy stands in the queue of each replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaitingCall {
    /// Interactive goes before deferrable.
    pub(crate) priority: ClassPriority,
    /// Earlier goes first.
    pub(crate) deadline: Instant,
    /// The query.
    pub(crate) query: QueryId,
    /// Position of the shard in the query's manifest.
    pub(crate) position: u32,
    /// The shard's step at which it began to wait; another step makes this copy stale.
    pub(crate) step: u32,
}

/// A bounded queue in order of class, then deadline.
#[derive(Debug, Default)]
pub(crate) struct WaitingCallQueue {
    heap: BinaryHeap<Reverse<WaitingCall>>,
}

impl WaitingCallQueue {
    /// Calls that wait, stale copies included.
    pub(crate) fn len(&self) -> usize {
        self.heap.len()
    }

    /// Adds a call.
    pub(crate) fn push(&mut self, waiting: WaitingCall) {
        self.heap.push(Reverse(waiting));
    }

    /// Takes the first call.
    pub(crate) fn pop(&mut self) -> Option<WaitingCall> {
        self.heap.pop().map(|Reverse(waiting)| waiting)
    }

    /// Drops every call that `is_live` denies.
    pub(crate) fn retain(&mut self, is_live: impl Fn(&WaitingCall) -> bool) {
        self.heap.retain(|Reverse(waiting)| is_live(waiting));
    }
}
