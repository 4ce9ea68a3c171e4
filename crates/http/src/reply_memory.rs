//! Bound of the memory that the bodies of unfinished replies take together.

use std::cell::Cell;
use std::rc::Rc;

/// Size up to which a body takes nothing from the common bound, in bytes, so that large bodies never
/// make a small one fail.
const FREE_BYTES: usize = 4 * 1_024;

/// Memory for the bodies of unfinished replies of many connections.
#[derive(Debug)]
pub struct ReplyMemory {
    limit: usize,
    used: Cell<usize>,
}

impl ReplyMemory {
    /// Creates a bound of `limit` bytes, beyond 4 KiB for each reply.
    pub fn new(limit: usize) -> ReplyMemory {
        ReplyMemory { limit, used: Cell::new(0) }
    }

    /// Returns the number of bytes taken.
    pub fn used(&self) -> usize {
        self.used.get()
    }
}

/// Memory that one reply takes; it is returned when dropped.
pub(crate) struct ReplyReservation {
    memory: Option<Rc<ReplyMemory>>,
    bytes: usize,
}

impl ReplyReservation {
    /// Returns a reservation of nothing; without `memory` there is no common bound.
    pub(crate) fn new(memory: Option<Rc<ReplyMemory>>) -> ReplyReservation {
        ReplyReservation { memory, bytes: 0 }
    }

    /// Extends the reservation to a body that has grown to `length` bytes; returns false, without
    /// effect, if that is too much.
    pub(crate) fn grow_to(&mut self, length: usize) -> bool {
        let Some(memory) = &self.memory else { return true };
        let needed = length.saturating_sub(FREE_BYTES);
        let used = memory.used.get() - self.bytes + needed;
        let fits = used <= memory.limit;
        if fits {
            memory.used.set(used);
            self.bytes = needed;
        }
        fits
    }
}

impl Drop for ReplyReservation {
    fn drop(&mut self) {
        if let Some(memory) = &self.memory {
            memory.used.set(memory.used.get() - self.bytes);
        }
    }
}
