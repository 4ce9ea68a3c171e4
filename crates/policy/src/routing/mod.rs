//! Target selection: the observed state of each target and the choice among replicas.

mod backoff;
mod choice;
mod state;
mod table;

pub(crate) use backoff::FailureBackoff;
pub use choice::RoutingPolicy;
pub(crate) use choice::TargetChoice;
pub(crate) use state::CancelledCallTiming;
pub(crate) use state::TargetState;
pub(crate) use table::TargetIndex;
pub(crate) use table::TargetTable;
