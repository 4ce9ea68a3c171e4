//! Operators' command line over the admin API.
//!
//! [`run_command`] carries out a parsed [`ControlCommand`] and answers what to print and the exit
//! code.

mod client;
mod command;
mod print;
mod run;

pub use command::ContractAction;
pub use command::ControlAction;
pub use command::ControlCommand;
pub use run::CommandOutcome;
pub use run::run_command;
