//! Progress of one connection from one call to the next.

use std::cell::Cell;
use std::cell::RefCell;
use std::task::Waker;
use std::time::Duration;
use std::time::Instant;

use crate::HttpLimits;

/// Bytes that count as progress of a sender or a reader.
pub(crate) const PROGRESS_BYTES: usize = 4 * 1_024;
/// Time in which a reader must take [`PROGRESS_BYTES`] of an answer, or its end.
const READER_STALL_TIME: Duration = Duration::from_secs(10);
/// Time for which a connection that is to be closed may go on sending.
pub(crate) const DISCARD_TIME: Duration = Duration::from_secs(1);

/// What is taken from a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FlowPhase {
    /// A head, up to its end.
    Head,
    /// A body: so many more bytes, or chunks up to the last.
    Body {
        /// Bytes left; `None` for chunks.
        left: Option<u64>,
    },
    /// Nothing: the call runs, or its answer is being written.
    Answer,
    /// Anything, which is dropped: the connection is closed after its answer.
    Discard,
}

/// Rule by which a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseRule {
    /// No call began within the idle time.
    Idle,
    /// A head did not end in time.
    SlowHead,
    /// A head is too long.
    LongHead,
    /// An answer is not read.
    SlowReader,
    /// Bytes went on arriving after an answer that closes the connection.
    Discarded,
    /// Memory or connections are short, and this one makes the slowest progress.
    Short,
}

impl CloseRule {
    /// Returns all rules.
    pub const ALL: [CloseRule; 6] = [
        CloseRule::Idle,
        CloseRule::SlowHead,
        CloseRule::LongHead,
        CloseRule::SlowReader,
        CloseRule::Discarded,
        CloseRule::Short,
    ];

    /// Returns the name of the rule in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            CloseRule::Idle => "idle",
            CloseRule::SlowHead => "slow_head",
            CloseRule::LongHead => "long_head",
            CloseRule::SlowReader => "slow_reader",
            CloseRule::Discarded => "discarded",
            CloseRule::Short => "short",
        }
    }

    /// Returns the reply to a call of which only a part of the head has arrived.
    pub(crate) fn head_reply(self) -> Option<&'static [u8]> {
        match self {
            CloseRule::SlowHead => Some(
                b"HTTP/1.1 408 Request Timeout\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
            ),
            CloseRule::LongHead => Some(
                b"HTTP/1.1 431 Request Header Fields Too Large\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
            ),
            CloseRule::Idle
            | CloseRule::SlowReader
            | CloseRule::Discarded
            | CloseRule::Short => None,
        }
    }
}

/// What a connection takes now, and when it last made progress.
#[derive(Debug)]
pub(crate) struct ConnectionFlow {
    phase: Cell<FlowPhase>,
    /// Bytes handed out or written in this phase.
    bytes: Cell<usize>,
    marked_bytes: Cell<usize>,
    /// Start of the phase, or its last progress.
    marked: Cell<Instant>,
    is_answer_complete: Cell<bool>,
    /// Whether the body waits for memory, so that no more of it is taken.
    is_paused: Cell<bool>,
    /// Calls in a row that arrived before the answer to the one before them was written.
    ahead: Cell<u32>,
    reader: RefCell<Option<Waker>>,
    rule: Cell<Option<CloseRule>>,
}

impl Default for ConnectionFlow {
    fn default() -> ConnectionFlow {
        ConnectionFlow {
            phase: Cell::new(FlowPhase::Head),
            bytes: Cell::new(0),
            marked_bytes: Cell::new(0),
            marked: Cell::new(Instant::now()),
            is_answer_complete: Cell::new(false),
            is_paused: Cell::new(false),
            ahead: Cell::new(0),
            reader: RefCell::new(None),
            rule: Cell::new(None),
        }
    }
}

impl ConnectionFlow {
    /// Returns the phase.
    pub(crate) fn phase(&self) -> FlowPhase {
        self.phase.get()
    }

    /// Records whether bytes of the next call had arrived when an answer was written.
    pub(crate) fn record_ahead(&self, has_next: bool) {
        self.ahead.set(if has_next { self.ahead.get().saturating_add(1) } else { 0 });
    }

    /// Returns how many calls in a row were sent ahead.
    pub(crate) fn ahead(&self) -> u32 {
        self.ahead.get()
    }

    /// Returns whether the body waits for memory.
    pub(crate) fn is_paused(&self) -> bool {
        self.is_paused.get()
    }

    /// Stops to take more of a body, or goes on.
    pub(crate) fn pause(&self, is_paused: bool) {
        let was_paused = self.is_paused.replace(is_paused);
        if was_paused
            && !is_paused
            && let Some(waker) = self.reader.take()
        {
            waker.wake();
        }
    }

    /// Enters a phase and wakes the task that reads.
    pub(crate) fn enter(&self, phase: FlowPhase) {
        if self.phase.get() != FlowPhase::Discard {
            self.restart(phase);
        }
        if let Some(waker) = self.reader.take() {
            waker.wake();
        }
    }

    fn restart(&self, phase: FlowPhase) {
        self.phase.set(phase);
        self.bytes.set(0);
        self.marked_bytes.set(0);
        self.marked.set(Instant::now());
        self.is_answer_complete.set(false);
        self.is_paused.set(false);
    }

    /// Keeps the task that reads until the next phase.
    pub(crate) fn park(&self, waker: &Waker) {
        self.reader.replace(Some(waker.clone()));
    }

    /// Records bytes that were handed out or written; returns how many there were in this phase.
    pub(crate) fn record(&self, bytes: usize) -> usize {
        let total = self.bytes.get().saturating_add(bytes);
        let is_first = self.bytes.get() == 0 && bytes > 0;
        self.bytes.set(total);
        // A head has to end in time, whatever arrives of it.
        let is_head = self.phase.get() == FlowPhase::Head;
        let has_progress = total - self.marked_bytes.get() >= PROGRESS_BYTES;
        if is_first || (!is_head && has_progress) {
            self.marked_bytes.set(total);
            self.marked.set(Instant::now());
        }
        total
    }

    /// Sets how many bytes of the body are left.
    pub(crate) fn take_body(&self, left: u64) {
        self.phase.set(FlowPhase::Body { left: Some(left) });
    }

    /// Records that the whole answer is produced. It is not yet written.
    pub(crate) fn complete_answer(&self) {
        self.is_answer_complete.set(true);
    }

    /// Records that all bytes produced so far are written; returns whether the answer ends with them.
    pub(crate) fn record_flush(&self) -> bool {
        let is_end = self.phase.get() == FlowPhase::Answer && self.is_answer_complete.get();
        if is_end {
            self.enter(FlowPhase::Head);
        }
        is_end
    }

    /// Returns whether a call is open or its answer isn't written yet.
    pub(crate) fn is_busy(&self) -> bool {
        match self.phase.get() {
            FlowPhase::Head => false,
            FlowPhase::Body { .. } | FlowPhase::Answer | FlowPhase::Discard => true,
        }
    }

    /// Returns the rule by which the connection is being closed.
    pub(crate) fn rule(&self) -> Option<CloseRule> {
        self.rule.get()
    }

    /// Sets the rule by which the connection is closed.
    pub(crate) fn set_rule(&self, rule: CloseRule) {
        self.rule.set(Some(rule));
    }

    /// Takes back the rule by which the connection was to be closed.
    pub(crate) fn clear_rule(&self) {
        self.rule.set(None);
    }

    /// Returns whether a part of a head has arrived.
    pub(crate) fn has_part_of_head(&self) -> bool {
        self.phase.get() == FlowPhase::Head && self.bytes.get() > 0
    }

    /// Returns when the connection last made progress.
    pub(crate) fn marked(&self) -> Instant {
        self.marked.get()
    }

    /// Returns the rule that the connection breaks; `has_open_call` is whether a call of it runs.
    pub(crate) fn overdue(
        &self,
        now: Instant,
        limits: &HttpLimits,
        has_open_call: bool,
    ) -> Option<CloseRule> {
        let waited = now.saturating_duration_since(self.marked.get());
        let (limit, rule) = match self.phase.get() {
            FlowPhase::Head if self.bytes.get() > 0 => (limits.head_timeout, CloseRule::SlowHead),
            FlowPhase::Head => (limits.keep_alive, CloseRule::Idle),
            // The body has a time limit of its own.
            FlowPhase::Body { .. } => return None,
            // The call waits for this process.
            FlowPhase::Answer if has_open_call => return None,
            FlowPhase::Answer => (READER_STALL_TIME, CloseRule::SlowReader),
            FlowPhase::Discard => (2 * DISCARD_TIME, CloseRule::Discarded),
        };
        (waited > limit).then_some(rule)
    }
}
