//! Faults of the platform.

use serde::Deserialize;
use serde::Serialize;

/// How something stops answering.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailureMode {
    /// The connection is closed, or a call refused.
    Closed,
    /// The connection stays open and says nothing.
    Silent,
}

/// A fault of the platform, in force until [`PlatformFault::Clear`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum PlatformFault {
    /// Nothing is read or written; watches end, or wait in silence.
    Outage {
        /// 503 or no reply at all.
        manner: FailureMode,
    },
    /// Every call takes longer.
    Slow {
        /// Additional time, in milliseconds.
        extra_ms: u64,
    },
    /// The next writes take effect, but their replies are lost.
    LoseWriteReplies {
        /// Number of writes.
        count: u64,
        /// How the reply is lost.
        manner: FailureMode,
    },
    /// The connections that are open now go silent for good; new ones work.
    SilenceConnections,
    /// Everything works again.
    Clear,
}

/// Faults in force.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FaultState {
    pub(crate) outage: Option<FailureMode>,
    pub(crate) extra_ms: u64,
    lost_replies: u64,
    lost_manner: Option<FailureMode>,
}

impl FaultState {
    /// Puts a fault in force.
    pub(crate) fn apply(&mut self, fault: PlatformFault) {
        match fault {
            PlatformFault::Outage { manner } => self.outage = Some(manner),
            PlatformFault::Slow { extra_ms } => self.extra_ms = extra_ms,
            PlatformFault::LoseWriteReplies { count, manner } => {
                self.lost_replies = count;
                self.lost_manner = Some(manner);
            }
            PlatformFault::SilenceConnections => {}
            PlatformFault::Clear => *self = FaultState::default(),
        }
    }

    /// How the reply to this write is lost, if it is.
    pub(crate) fn take_lost_reply(&mut self) -> Option<FailureMode> {
        if self.lost_replies == 0 {
            return None;
        }
        self.lost_replies -= 1;
        self.lost_manner
    }
}
