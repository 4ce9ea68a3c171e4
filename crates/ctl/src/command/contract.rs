//! Arguments of the contract subcommands.

use argh::FromArgs;

/// Reads, checks and changes contracts.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "contract")]
pub struct ContractCommand {
    /// what to do
    #[argh(subcommand)]
    pub action: ContractAction,
}

/// Contract subcommands.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand)]
pub enum ContractAction {
    /// Lists the contracts in effect.
    List(ListCommand),
    /// Prints a contract.
    Get(GetCommand),
    /// Validates a contract file.
    Validate(ValidateCommand),
    /// Creates or replaces a contract from a file.
    Apply(ApplyCommand),
    /// Compares a contract file with the stored contract.
    Diff(DiffCommand),
    /// Shows the most recent edits of a contract.
    History(HistoryCommand),
}

/// Lists the contracts in force on the VM.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct ListCommand {}

/// Prints a contract as the platform holds it, ready to be edited and applied.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "get")]
pub struct GetCommand {
    /// the customer
    #[argh(positional)]
    pub customer: String,
}

/// Checks a contract file and prints every finding.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "validate")]
pub struct ValidateCommand {
    /// the file
    #[argh(positional)]
    pub file: String,
}

/// Puts a contract file in force.
///
/// Without --revision the contract is created. With it the change is made only if the contract
/// still is at that revision; else the other change is shown and nothing is written.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct ApplyCommand {
    /// the file
    #[argh(positional)]
    pub file: String,
    /// the revision that the file was made from
    #[argh(option)]
    pub revision: Option<u64>,
    /// who makes the change, for the history
    #[argh(option, default = "String::new()")]
    pub operator: String,
}

/// Shows what applying a contract file would change.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffCommand {
    /// the file
    #[argh(positional)]
    pub file: String,
}

/// Shows a contract's last accepted edits, newest first.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryCommand {
    /// the customer
    #[argh(positional)]
    pub customer: String,
}
