//! Runs the stand-ins until a signal arrives.

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

/// Addresses printed as one line of JSON once all ports are served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ListenAddresses {
    /// Address of the Object API.
    pub platform: SocketAddr,
    /// Address of the control port.
    pub control: SocketAddr,
}

/// Serves until SIGTERM or Ctrl-C.
///
/// # Errors
///
/// Returns an error with all findings if settings are invalid, or if a port cannot be bound, a
/// signal handler cannot be installed, or a logger has already been started.
pub fn run(command: StandinCommand) -> eyre::Result<()> {
    start_logging()?;
    let source = SettingsSource::from_environment(command);
    let settings = StandinSettings::try_from(&source)
        .map_err(|findings| eyre!("invalid settings\n{findings}"))?;
    actix_rt::System::new().block_on(serve(settings))
}

/// Starts the stand-ins, prints their addresses and waits for a signal.
async fn serve(settings: StandinSettings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())
        .wrap_err("failed to install the signal handler for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt())
        .wrap_err("failed to install the signal handler for SIGINT")?;
    let server = StandinServer::start(settings)
        .wrap_err("failed to bind a loopback port; choose another --base-port")?;
    let addresses =
        ListenAddresses { platform: server.platform_address(), control: server.control_address() };
    let mut output = std::io::stdout();
    writeln!(output, "{}", serde_json::to_string(&addresses)?)?;
    output.flush()?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Starts logging as JSON lines to standard error.
fn start_logging() -> eyre::Result<()> {
    let dispatch = fern::Dispatch::new().level(log::LevelFilter::Warn).chain(std::io::stderr());
    let dispatch = dispatch.format(|out, message, record| {
        let line = json!({
            "level": record.level().as_str(),
            "target": record.target(),
            "message": message.to_string(),
        });
        out.finish(format_args!("{line}"));
    });
    dispatch.apply().wrap_err("a logger has already been started")
}
