//! How a command ends.

use std::fmt;
use std::process::ExitCode;

use oleanderwind_policy::FindingList;

/// The program's exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// 0: all well.
    Success,
    /// 1: a stated bound is broken.
    BoundBroken,
    /// 2: wrong usage.
    WrongUsage,
    /// 3: could not run.
    CouldNotRun,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(match status {
            ExitStatus::Success => 0,
            ExitStatus::BoundBroken => 1,
            ExitStatus::WrongUsage => 2,
            ExitStatus::CouldNotRun => 3,
        })
    }
}

/// Why a command did not run to its end.
pub(crate) enum CommandFailure {
    /// The flags or the files they name are wrong.
    Usage(FindingList),
    /// Something failed on the way.
    Run(eyre::Report),
}

impl CommandFailure {
    /// The exit code that tells it.
    pub(crate) fn status(&self) -> ExitStatus {
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
