//! Top-level arguments and subcommands.

use argh::FromArgs;

use crate::command::contract::ContractCommand;
use crate::command::quarantine::QuarantineCommand;

/// Reads and changes an oleanderwind fleet through the admin API of one of its VMs.
///
/// Exit codes: 0 done, 1 refused (a conflict or findings), 2 bad usage, 3 not reached, 4 unknown:
/// it can't be told whether a change took effect.
#[derive(Clone, Debug, PartialEq, FromArgs)]
pub struct ControlCommand {
    /// ip:port of a VM's admin API; default: OLEANDERWIND_ADMIN, else 127.0.0.1:7401
    #[argh(option)]
    pub admin: Option<String>,
    /// operator token; default: OLEANDERWIND_OPERATOR_TOKEN
    #[argh(option)]
    pub token: Option<String>,
    /// print the API's JSON instead of text
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub action: ControlAction,
}

/// Top-level subcommands.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand)]
pub enum ControlAction {
    /// Reads, validates and edits contracts.
    Contract(ContractCommand),
    /// Changes a customer's placement on providers.
    Move(MoveCommand),
    /// Shows the status of one VM.
    Status(StatusCommand),
    /// Shows the routes, targets and unanswered requests of one VM.
    Routing(RoutingCommand),
    /// Shows all VMs with their configuration revisions.
    Fleet(FleetCommand),
    /// Shows whether each contract is met.
    Outcomes(OutcomesCommand),
    /// Shows which services and targets serve a request class.
    Explain(ExplainCommand),
    /// Lists, clears and blocks work that may end targets.
    Quarantine(QuarantineCommand),
    /// Shuts down one VM gracefully.
    Drain(DrainCommand),
}

/// Moves a customer's requests between providers, fully or by share.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "move")]
pub struct MoveCommand {
    /// the customer
    #[argh(positional)]
    pub customer: String,
    /// provider=permille, one for each provider; they add up to 1000
    #[argh(positional)]
    pub shares: Vec<String>,
    /// who makes the change, for the history
    #[argh(option, default = "String::new()")]
    pub operator: String,
}

/// Shows the state of the VM that is asked.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {}

/// Shows the routes' version, targets with what is left for extra calls, and why the last requests
/// got no answer.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "routing")]
pub struct RoutingCommand {}

/// Shows every VM as the asked one last heard of it, and which lag behind.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "fleet")]
pub struct FleetCommand {}

/// Shows for each class whether the contract's tail, coverage and extra load hold on the VM.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "outcomes")]
pub struct OutcomesCommand {}

/// Shows the service, providers, snapshots and targets of a class.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct ExplainCommand {
    /// the customer
    #[argh(positional)]
    pub customer: String,
    /// the class
    #[argh(positional)]
    pub class: String,
}

/// Starts a graceful shutdown of the VM that is asked.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct DrainCommand {}
