//! Definitions of the command-line arguments.

mod contract;
mod control;

pub use contract::ContractAction;
pub use control::ControlAction;
pub use control::ControlCommand;
