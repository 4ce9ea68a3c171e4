//! Faults that can be injected into the platform.

use serde::Deserialize;
use serde::Serialize;

/// How a failing call or connection presents itself to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SilenceManner {
    /// The connection is closed, or the call is refused.
    Closed,
    /// The connection stays open and sends nothing.
    Silent,
}

/// Fault of the platform.
///
/// Unless its variant states otherwise, a fault lasts until [`PlatformFault::Clear`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum PlatformFault {
    /// Reads and writes fail; open watches end, or stay open without events.
    Outage {
        /// Whether calls get status 503 or no reply.
        manner: SilenceManner,
    },
    /// Every call is delayed.
    Slow {
        /// Added delay in milliseconds.
        extra_ms: u64,
    },
    /// The next writes take effect, but their replies are lost.
    LoseWriteReplies {
        /// Number of writes affected.
        count: u64,
        /// How the connection fails in place of the reply.
        manner: SilenceManner,
    },
    /// All open connections go silent permanently; new connections work.
    SilenceConnections,
    /// Ends every fault except the silence of connections.
    Clear,
}

/// Faults currently in effect.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FaultState {
    pub(crate) outage: Option<SilenceManner>,
    pub(crate) extra_ms: u64,
    lost_replies: u64,
    lost_reply_mode: Option<SilenceManner>,
}

impl FaultState {
    /// Applies a fault. [`PlatformFault::SilenceConnections`] is left to the caller.
    pub(crate) fn apply(&mut self, fault: PlatformFault) {
        match fault {
            PlatformFault::Outage { manner } => self.outage = Some(manner),
            PlatformFault::Slow { extra_ms } => self.extra_ms = extra_ms,
            PlatformFault::LoseWriteReplies { count, manner } => {
                self.lost_replies = count;
                self.lost_reply_mode = Some(manner);
            }
            PlatformFault::SilenceConnections => {}
            PlatformFault::Clear => *self = FaultState::default(),
        }
    }

    /// Returns how the reply to the current write is lost, or `None` if it is sent.
    pub(crate) fn take_lost_reply(&mut self) -> Option<SilenceManner> {
        if self.lost_replies == 0 {
            return None;
        }
        self.lost_replies -= 1;
        self.lost_reply_mode
    }
}
