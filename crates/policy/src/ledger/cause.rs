//! Why a try was answered as it was.

/// Why a try was answered as it was; what became of it is told by the outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LedgerCause {
    /// The target ran it in this try.
    Ran,
    /// A target ran it in an earlier try.
    RanBefore,
    /// The key is older than the window.
    KeyExpired,
    /// The key's issue time is too far in the future.
    KeyInFuture,
    /// The platform can't be reached, so nothing was claimed.
    PlatformUnreachable,
    /// The key's segment has no room left.
    SegmentFull,
    /// The deadline passed before a dispatch.
    DeadlinePassed,
    /// The key's tries up to this attempt number are closed.
    AttemptClosed,
    /// Another try holds the key's claim.
    ClaimHeld,
    /// The deadline passed while it could not be told whether the claim was written.
    ClaimUncertain,
    /// It was sent, and no reply of its own came in time.
    ReplyMissing,
    /// The target refused it and ran nothing.
    TargetRefused,
    /// No target could be reached, and nothing was sent.
    NotSent,
}

impl LedgerCause {
    /// Every cause.
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

    /// The cause's stable name, for callers and metrics.
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
