//! The command `demo`.

use crate::command::ExitStatus;
use crate::command::exit_status::CommandFailure;
use crate::command::flags::DemoFlags;

/// Starts the tier and the stand-ins in this process and runs the load against them.
pub(crate) fn run(_flags: &DemoFlags) -> Result<ExitStatus, CommandFailure> {
    embed_tier()?;
    Ok(ExitStatus::Success)
}

/// Starts the stand-ins and the daemons.
fn embed_tier() -> eyre::Result<()> {
    eyre::bail!(
        "this build embeds no daemon and no stand-ins yet; \
         start them as programs and use `oleanderwind-load run`"
    )
}
