//! What happens to calls.

use crate::CallId;
use crate::LoadReport;
use crate::RefusalCause;

/// Something that happened to one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FanoutEvent {
    /// The shard's answer came, checked to be this call's.
    Answered {
        /// The call.
        call: CallId,
        /// Documents that the answer covers.
        documents: u64,
        /// The target's load.
        load: LoadReport,
        /// Whether the target says it is leaving.
        draining: bool,
    },
    /// The target refused the call and ran nothing.
    Refused {
        /// The call.
        call: CallId,
        /// Why.
        cause: RefusalCause,
        /// The target's load.
        load: LoadReport,
        /// Whether the target says it is leaving.
        draining: bool,
    },
    /// Nothing of the call left this VM.
    Unsent {
        /// The call.
        call: CallId,
    },
    /// No answer will come: the connection broke, went silent or carried another call's answer.
    Failed {
        /// The call.
        call: CallId,
    },
}

impl FanoutEvent {
    /// The call that the event is about.
    pub fn call(&self) -> CallId {
        match self {
            FanoutEvent::Answered { call, .. }
            | FanoutEvent::Refused { call, .. }
            | FanoutEvent::Unsent { call }
            | FanoutEvent::Failed { call } => *call,
        }
    }
}
