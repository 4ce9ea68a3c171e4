//! Serving until a signal comes.

use std::io::Write;
use std::net::SocketAddr;

use eyre::WrapErr;
use eyre::eyre;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::command::SettingsSource;
use crate::command::StandinCommand;
use crate::server::StandinServer;
use crate::server::StandinSettings;

/// The line that is printed once everything serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ListenAddresses {
    /// Where the Object API listens.
    pub platform: SocketAddr,
    /// Where the control port listens.
    pub control: SocketAddr,
}

/// Serves until SIGTERM or Ctrl-C.
///
/// # Errors
///
/// Every finding about the settings, or the port that can't be bound.
pub fn run(command: StandinCommand) -> eyre::Result<()> {
    start_log()?;
    let source = SettingsSource::from_environment(command);
    let settings = StandinSettings::try_from(&source)
        .map_err(|findings| eyre!("settings are wrong\n{findings}"))?;
    actix_rt::System::new().block_on(serve(settings))
}

/// Starts, prints the addresses and waits for a signal.
async fn serve(settings: StandinSettings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("can't wait for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("can't wait for Ctrl-C")?;
    let server = StandinServer::start(settings)
        .wrap_err("can't bind a loopback port; give another --base-port")?;
    let line =
        ListenAddresses { platform: server.platform_address(), control: server.control_address() };
    let mut output = std::io::stdout();
    writeln!(output, "{}", serde_json::to_string(&line)?)?;
    output.flush()?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Logs JSON lines to standard error.
fn start_log() -> eyre::Result<()> {
    let dispatch = fern::Dispatch::new().level(log::LevelFilter::Warn).chain(std::io::stderr());
    let dispatch = dispatch.format(|out, message, record| {
        let line = json!({
            "level": record.level().as_str(),
            "target": record.target(),
            "message": message.to_string(),
        });
        out.finish(format_args!("{line}"));
    });
    dispatch.apply().wrap_err("the log was started before")
}
