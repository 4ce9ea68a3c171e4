//! Reasons for the answers of the ledger.

/// Reason for the answer to an attempt; the outcome itself is a
/// [`RequestOutcome`](crate::RequestOutcome).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LedgerCause {
    /// A target ran the request in this attempt.
    Ran,
    /// A target ran the request in an earlier attempt.
    RanBefore,
    /// The key is older than the window.
    KeyExpired,
    /// The key's issue time is too far in the future.
    KeyInFuture,
    /// The platform is unreachable, so nothing was claimed.
    PlatformUnreachable,
    /// The key's segment has no room left.
    SegmentFull,
    /// The deadline passed before the request was dispatched.
    DeadlinePassed,
    /// The key's attempts up to this attempt number are closed.
    AttemptClosed,
    /// Another attempt holds the key's claim.
    ClaimHeld,
    /// The deadline passed before it was known whether the claim had been written.
    ClaimUncertain,
    /// The request was sent, and no matching reply came in time.
    ReplyMissing,
    /// The target refused the request and did not run it.
    TargetRefused,
    /// No target was reachable, and nothing was sent.
    NotSent,
}

impl LedgerCause {
    /// All causes, in declaration order.
    pub const ALL: [LedgerCause; 13] = [
        LedgerCause::Ran,
        LedgerCause::RanBefore,
        LedgerCause::KeyExpired,
        LedgerCause::KeyInFuture,
        LedgerCause::PlatformUnreachable,
        LedgerCause::SegmentFull,
        LedgerCause::DeadlinePassed,
        LedgerCause::AttemptClosed,
        LedgerCause::ClaimHeld,
        LedgerCause::ClaimUncertain,
        LedgerCause::ReplyMissing,
        LedgerCause::TargetRefused,
        LedgerCause::NotSent,
    ];

    /// Returns the cause's stable name, which callers and metrics see.
    pub fn as_str(self) -> &'static str {
        match self {
            LedgerCause::Ran => "ran",
            LedgerCause::RanBefore => "ran_before",
            LedgerCause::KeyExpired => "key_expired",
            LedgerCause::KeyInFuture => "key_in_future",
            LedgerCause::PlatformUnreachable => "platform_unreachable",
            LedgerCause::SegmentFull => "segment_full",
            LedgerCause::DeadlinePassed => "deadline_passed",
            LedgerCause::AttemptClosed => "attempt_closed",
            LedgerCause::ClaimHeld => "claim_held",
            LedgerCause::ClaimUncertain => "claim_uncertain",
            LedgerCause::ReplyMissing => "reply_missing",
            LedgerCause::TargetRefused => "target_refused",
            LedgerCause::NotSent => "not_sent",
        }
    }
}
