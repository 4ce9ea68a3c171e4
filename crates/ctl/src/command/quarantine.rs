//! Arguments of the commands about work that may end targets.

use argh::FromArgs;

/// Lists work that ended targets, clears or blocks it.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "quarantine")]
pub struct QuarantineCommand {
    /// what to do
    #[argh(subcommand)]
    pub action: QuarantineAction,
}

/// Subcommands about work that may end targets.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand)]
pub enum QuarantineAction {
    /// Lists what the VM knows.
    List(QuarantineListCommand),
    /// Forgets what is held against work.
    Clear(QuarantineClearCommand),
    /// Blocks work.
    Block(QuarantineBlockCommand),
}

/// Lists the work that ended targets, newest first, with the ends that count.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "list")]
pub struct QuarantineListCommand {}

/// Forgets what is held against work, on all VMs: it may reach targets again.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "clear")]
pub struct QuarantineClearCommand {
    /// fingerprint of the work, as in the list and in the logs
    #[argh(positional)]
    pub work: String,
}

/// Blocks work on all VMs for a day, or until it is cleared.
#[derive(Clone, Debug, PartialEq, FromArgs)]
#[argh(subcommand, name = "block")]
pub struct QuarantineBlockCommand {
    /// fingerprint of the work, as in the list and in the logs
    #[argh(positional)]
    pub work: String,
}
