//! Budget of the memory that callers' bodies and answers take together.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use tokio::sync::Notify;

/// Parts of the machine's memory for each purpose: one in so many.
const BODY_PART: usize = 12;
const ANSWER_PART: usize = 16;
/// Size up to which nothing is gained from closing a connection, in bytes.
const MIN_VICTIM_BYTES: usize = 4 * 1_024;

/// What memory is taken for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryPurpose {
    /// Bodies that are read, or whose call runs.
    Bodies,
    /// Answers that are not read yet.
    Answers,
}

/// Outcome of asking for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryDecision {
    /// It is granted.
    Granted,
    /// It is free once the share of this id, whose connection must be closed, is returned.
    Close(u64),
    /// It is free once shares of connections that are being closed are returned.
    Wait,
    /// All of it is held by requests that wait for this process.
    Refused,
}

#[derive(Clone, Debug)]
struct ShareState {
    purpose: MemoryPurpose,
    bytes: usize,
    /// Last progress; `None` while the caller waits for this process.
    marked: Option<Instant>,
    is_closing: bool,
}

/// Decides who gets memory and whose connection is closed for it.
///
/// If it is short, the one goes whose last progress lies furthest back. A request that has arrived in
/// full waits for this process and never goes.
#[derive(Clone, Debug)]
pub struct MemoryLedger {
    body_limit: usize,
    answer_limit: usize,
    used: [usize; 2],
    next_id: u64,
    shares: BTreeMap<u64, ShareState>,
}

impl MemoryLedger {
    /// Creates a ledger for a machine with `bytes` of memory.
    pub fn new(bytes: usize) -> MemoryLedger {
        MemoryLedger {
            body_limit: bytes / BODY_PART,
            answer_limit: bytes / ANSWER_PART,
            used: [0; 2],
            next_id: 0,
            shares: BTreeMap::new(),
        }
    }

    /// Returns the bytes taken for a purpose.
    pub fn used(&self, purpose: MemoryPurpose) -> usize {
        self.used[purpose as usize]
    }

    fn limit(&self, purpose: MemoryPurpose) -> usize {
        match purpose {
            MemoryPurpose::Bodies => self.body_limit,
            MemoryPurpose::Answers => self.answer_limit,
        }
    }

    /// Opens an empty share and returns its id.
    pub fn open(&mut self, purpose: MemoryPurpose, now: Instant) -> u64 {
        let id = self.next_id;
        self.next_id += 1;
        let share = ShareState { purpose, bytes: 0, marked: Some(now), is_closing: false };
        self.shares.insert(id, share);
        id
    }

    /// Returns a share.
    pub fn close(&mut self, id: u64) {
        if let Some(share) = self.shares.remove(&id) {
            self.used[share.purpose as usize] -= share.bytes;
        }
    }

    /// Records progress of a share's sender or reader.
    pub fn mark(&mut self, id: u64, now: Instant) {
        if let Some(share) = self.shares.get_mut(&id) {
            share.marked = Some(now);
        }
    }

    /// Records that a request has arrived in full.
    pub fn complete(&mut self, id: u64) {
        if let Some(share) = self.shares.get_mut(&id) {
            share.marked = None;
        }
    }

    /// Asks for a share to grow to `bytes`.
    pub fn grow(&mut self, id: u64, bytes: usize) -> MemoryDecision {
        let Some(share) = self.shares.get(&id) else { return MemoryDecision::Refused };
        let purpose = share.purpose;
        let used = self.used(purpose) - share.bytes + bytes;
        if used <= self.limit(purpose) {
            self.charge(id, bytes);
            return MemoryDecision::Granted;
        }
        let returning = self.returning(purpose);
        if used - returning.min(used) <= self.limit(purpose) {
            return MemoryDecision::Wait;
        }
        match self.choose_closing(purpose, Some(id)) {
            Some(other) => MemoryDecision::Close(other),
            None if returning > 0 => MemoryDecision::Wait,
            None => MemoryDecision::Refused,
        }
    }

    /// Grows a share to `bytes` that are in memory already, whatever the limit.
    pub fn charge(&mut self, id: u64, bytes: usize) {
        if let Some(share) = self.shares.get_mut(&id) {
            let used = &mut self.used[share.purpose as usize];
            *used = *used - share.bytes + bytes;
            share.bytes = bytes;
        }
    }

    /// Returns the share of the next connection to close, if more than the limit is taken even once those
    /// that are being closed are returned.
    pub fn next_over_limit(&mut self, purpose: MemoryPurpose) -> Option<u64> {
        let left = self.used(purpose).saturating_sub(self.returning(purpose));
        (left > self.limit(purpose)).then(|| self.choose_closing(purpose, None)).flatten()
    }

    /// Returns the bytes of the shares whose connections are being closed.
    fn returning(&self, purpose: MemoryPurpose) -> usize {
        let shares = self.shares.values();
        let closing = shares.filter(|share| share.purpose == purpose && share.is_closing);
        closing.map(|share| share.bytes).sum()
    }

    /// Chooses the share whose last progress lies furthest back, which is closing from now on.
    fn choose_closing(&mut self, purpose: MemoryPurpose, spared: Option<u64>) -> Option<u64> {
        let shares = self.shares.iter();
        let (_, slowest) = shares
            .filter(|(id, share)| share.purpose == purpose && spared != Some(**id))
            .filter(|(_, share)| !share.is_closing && share.bytes > MIN_VICTIM_BYTES)
            .filter_map(|(id, share)| share.marked.map(|marked| (marked, *id)))
            .min()?;
        self.shares.get_mut(&slowest)?.is_closing = true;
        Some(slowest)
    }
}

/// The budget of a process, shared by its listeners.
pub struct MemoryBudget {
    ledger: RefCell<MemoryLedger>,
    closings: RefCell<BTreeMap<u64, Rc<Notify>>>,
    returned: Notify,
    closed: Cell<u64>,
    refused: Cell<u64>,
}

impl MemoryBudget {
    /// Creates the budget of a machine with `bytes` of memory.
    pub fn new(bytes: usize) -> MemoryBudget {
        MemoryBudget {
            ledger: RefCell::new(MemoryLedger::new(bytes)),
            closings: RefCell::new(BTreeMap::new()),
            returned: Notify::new(),
            closed: Cell::new(0),
            refused: Cell::new(0),
        }
    }

    /// Returns the number of connections closed since memory was short, and of requests refused.
    pub fn closed_and_refused(&self) -> (u64, u64) {
        (self.closed.get(), self.refused.get())
    }

    fn close(&self, id: u64) {
        self.closed.set(self.closed.get() + 1);
        if let Some(closing) = self.closings.borrow().get(&id) {
            closing.notify_one();
        }
    }
}

/// Memory taken by one body or answer; it is returned when dropped.
pub(crate) struct MemoryShare {
    budget: Rc<MemoryBudget>,
    id: u64,
}

impl MemoryShare {
    /// Opens an empty share; `closing` is notified when it must be returned.
    pub(crate) fn new(
        budget: Rc<MemoryBudget>,
        purpose: MemoryPurpose,
        closing: Rc<Notify>,
    ) -> MemoryShare {
        let id = budget.ledger.borrow_mut().open(purpose, Instant::now());
        budget.closings.borrow_mut().insert(id, closing);
        MemoryShare { budget, id }
    }

    /// Grows to `bytes`, once others have returned theirs; returns false if all is held by requests
    /// that wait for this process.
    pub(crate) async fn grow(&self, bytes: usize) -> bool {
        loop {
            let returned = self.budget.returned.notified();
            let decision = self.budget.ledger.borrow_mut().grow(self.id, bytes);
            match decision {
                MemoryDecision::Granted => return true,
                MemoryDecision::Close(other) => self.budget.close(other),
                MemoryDecision::Wait => returned.await,
                MemoryDecision::Refused => {
                    self.budget.refused.set(self.budget.refused.get() + 1);
                    return false;
                }
            }
        }
    }

    /// Takes `bytes` for an answer, which exist already, and closes the slowest readers for it.
    pub(crate) fn take(&self, bytes: usize) {
        self.budget.ledger.borrow_mut().charge(self.id, bytes);
        loop {
            let next = self.budget.ledger.borrow_mut().next_over_limit(MemoryPurpose::Answers);
            let Some(other) = next else { return };
            self.budget.close(other);
        }
    }

    /// Records progress.
    pub(crate) fn mark(&self) {
        self.budget.ledger.borrow_mut().mark(self.id, Instant::now());
    }

    /// Records that the request has arrived in full.
    pub(crate) fn complete(&self) {
        self.budget.ledger.borrow_mut().complete(self.id);
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.budget.ledger.borrow_mut().close(self.id);
        self.budget.closings.borrow_mut().remove(&self.id);
        self.budget.returned.notify_waiters();
    }
}
