//! Serves stand-ins of the platform and of the searchers.

use oleanderwind_standin::StandinCommand;

fn main() -> eyre::Result<()> {
    let command: StandinCommand = argh::from_env();
    oleanderwind_standin::run(command)
}
