//! Steps of a simulation and the messages that they act on.

use std::time::Instant;

use oleanderwind_policy::LedgerEvent;
use oleanderwind_policy::LedgerSegment;

/// Bug injected into the fakes, which the search must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum InjectedBug {
    None,
    /// The store ignores the expected revision of a write.
    IgnoredRevision,
    /// The driver reports a write as accepted although its reply was lost.
    AssumedAcceptance,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Attempt {
    pub(crate) key: String,
    pub(crate) number: u32,
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
    /// Serves a read, write or execution; the reply awaits delivery.
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
    /// The call takes effect, and its reply is lost.
    LoseReply {
        vm: usize,
        index: usize,
    },
    /// The call is lost without effect, and its outcome is unknown.
    LoseCall {
        vm: usize,
        index: usize,
    },
    /// The call may take effect later, and its outcome is unknown.
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
    /// Moves the VM's clocks past every deadline.
    Expire {
        vm: usize,
    },
    Tick {
        vm: usize,
    },
    Crash {
        vm: usize,
    },
    ApplyDelayedWrite {
        index: usize,
    },
    ExecuteDelayed {
        index: usize,
    },
}
