//! Events that the driver reports to the engine.

use std::time::Duration;

use crate::CallId;
use crate::LoadReport;
use crate::RefusalCause;

/// The end of one call, as seen by the VM that sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FanoutEvent {
    /// The shard's answer arrived. The driver has checked that it belongs to this call.
    Answered {
        /// Call that was answered.
        call: CallId,
        /// Number of documents that the answer covers.
        documents: u64,
        /// Load that the target reported with the answer.
        load: LoadReport,
        /// Whether the target reported that it is draining.
        draining: bool,
    },
    /// The target refused the call.
    ///
    /// It ran nothing, unless the cause is a cancel or a passed deadline: these may have ended a
    /// run that was under way.
    Refused {
        /// Call that was refused.
        call: CallId,
        /// Reason that the target gave.
        cause: RefusalCause,
        /// Load that the target reported with the refusal.
        load: LoadReport,
        /// Whether the target reported that it is draining.
        draining: bool,
    },
    /// No byte of the call was sent.
    Unsent {
        /// Call that was not sent.
        call: CallId,
    },
    /// The driver did not send the call, since its target may get no calls any more, or no longer this work.
    Withdrawn {
        /// Call that was not sent.
        call: CallId,
    },
    /// The call ended its query, as its work may end targets.
    Quarantined {
        /// The call.
        call: CallId,
        /// Whether the call was sent and its target ended under it; if not, nothing was sent.
        has_ended_target: bool,
        /// Time after which the caller may return.
        retry_after: Duration,
    },
    /// No answer will arrive: the connection broke, timed out or carried the answer to another
    /// call.
    Failed {
        /// Call that failed.
        call: CallId,
    },
}

impl FanoutEvent {
    /// Returns the call that the event is about.
    pub fn call(&self) -> CallId {
        match self {
            FanoutEvent::Answered { call, .. }
            | FanoutEvent::Refused { call, .. }
            | FanoutEvent::Unsent { call }
            | FanoutEvent::Withdrawn { call }
            | FanoutEvent::Quarantined { call, .. }
            | FanoutEvent::Failed { call } => *call,
        }
    }
}
