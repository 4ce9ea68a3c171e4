//! Steps of a world and the messages that they move.

use std::time::Instant;

use oleanderwind_policy::LedgerEvent;
use oleanderwind_policy::LedgerSegment;

/// A fault built into the fakes, for the search to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Flaw {
    None,
    /// The store ignores the expected revision.
    FenceOff,
    /// The driver takes a lost reply for a success.
    GuessAccepted,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Try {
    pub(crate) key: String,
    pub(crate) attempt: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Message {
    Read { segment: u64 },
    Write { segment: u64, expected: u64, body: LedgerSegment },
    Execute { request: u64, deadline: Instant },
    Reply(LedgerEvent),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Step {
    Submit {
        vm: usize,
    },
    /// Serves a read, write or execution; the reply waits.
    Serve {
        vm: usize,
        index: usize,
    },
    Deliver {
        vm: usize,
        index: usize,
    },
    FailRead {
        vm: usize,
        index: usize,
    },
    /// Takes effect; the reply is lost.
    LoseReply {
        vm: usize,
        index: usize,
    },
    /// Has no effect; nobody knows.
    LoseCall {
        vm: usize,
        index: usize,
    },
    /// May take effect later; nobody knows.
    DelayCall {
        vm: usize,
        index: usize,
    },
    RefuseCall {
        vm: usize,
        index: usize,
    },
    NotSent {
        vm: usize,
        index: usize,
    },
    /// The VM's clocks pass every deadline.
    Expire {
        vm: usize,
    },
    Tick {
        vm: usize,
    },
    Crash {
        vm: usize,
    },
    LateWrite {
        index: usize,
    },
    LateExecute {
        index: usize,
    },
}
