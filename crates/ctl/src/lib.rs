//! Operators' command line, a client of the admin API.
//!
//! [`run_command`] executes a parsed [`ControlCommand`] and returns the text to print and the exit
//! code.

mod client;
mod command;
mod render;
mod run;

pub use command::ContractAction;
pub use command::ControlAction;
pub use command::ControlCommand;
pub use run::CommandOutcome;
pub use run::run_command;
