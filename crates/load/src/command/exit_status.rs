//! Exit codes and errors of commands.

use std::fmt;
use std::process::ExitCode;

use oleanderwind_policy::FindingList;

/// Exit status of the program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// 0: the command succeeded and every check held.
    Success,
    /// 1: a check failed: a contract term did not hold, a bound of `compare` was broken, or an
    /// answer was wrong.
    CheckFailed,
    /// 2: the flags or an input file are invalid.
    WrongUsage,
    /// 3: the command could not run to completion.
    CouldNotRun,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(match status {
            ExitStatus::Success => 0,
            ExitStatus::CheckFailed => 1,
            ExitStatus::WrongUsage => 2,
            ExitStatus::CouldNotRun => 3,
        })
    }
}

/// Error that stops a command.
pub(crate) enum CommandFailure {
    /// The flags or an input file are invalid.
    Usage(FindingList),
    /// The command failed while it ran.
    Run(eyre::Report),
}

impl CommandFailure {
    /// Returns the exit status for this error.
    pub(crate) fn exit_status(&self) -> ExitStatus {
        match self {
            CommandFailure::Usage(_) => ExitStatus::WrongUsage,
            CommandFailure::Run(_) => ExitStatus::CouldNotRun,
        }
    }
}

impl fmt::Display for CommandFailure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandFailure::Usage(findings) => write!(f, "{findings}"),
            CommandFailure::Run(report) => write!(f, "could not run: {report:#}"),
        }
    }
}

impl From<FindingList> for CommandFailure {
    fn from(findings: FindingList) -> CommandFailure {
        CommandFailure::Usage(findings)
    }
}

impl From<eyre::Report> for CommandFailure {
    fn from(report: eyre::Report) -> CommandFailure {
        CommandFailure::Run(report)
    }
}

impl From<std::io::Error> for CommandFailure {
    fn from(error: std::io::Error) -> CommandFailure {
        CommandFailure::Run(error.into())
    }
}
