//! Definitions of the command-line arguments.

mod contract;
mod control;
mod quarantine;

pub use contract::ContractAction;
pub use control::ControlAction;
pub use control::ControlCommand;
pub(crate) use quarantine::QuarantineAction;
