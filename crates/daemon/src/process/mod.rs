//! The daemon as a process: settings, logs, signals and exit codes.

mod reload;

use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::Daemon;
use crate::DaemonEdges;
use crate::DaemonSettings;
use crate::RawSettings;
use crate::process::reload::reload_on_change;
use crate::start_logging;

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;
/// Time for the log thread to write the last lines before the process exits. A line takes
/// microseconds.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(30);
/// Exit code if the daemon fails to start or to run.
const EXIT_FAILURE: u8 = 3;

/// Runs a daemon on `edges` until SIGTERM, SIGINT or an operator's request, then drains it.
pub fn run_daemon(
    raw: RawSettings,
    edges: impl FnOnce(&DaemonSettings) -> DaemonEdges,
) -> ExitCode {
    let raw = raw.with_environment(|name| std::env::var(name).ok());
    let settings = raw.with_file().and_then(|raw| DaemonSettings::try_from(&raw));
    let settings = match settings {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if raw.check {
        print!("{settings}");
        return ExitCode::SUCCESS;
    }
    let edges = edges(&settings);
    match serve(raw, settings, edges) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("daemon failed: {error:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Serves until a signal or an operator stops the daemon.
fn serve(raw: RawSettings, settings: DaemonSettings, edges: DaemonEdges) -> eyre::Result<()> {
    let buffered = start_logging(&settings.vm, settings.log_level)?;
    actix_rt::System::new().block_on(async move {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        log::info!(
            release = env!("CARGO_PKG_VERSION"),
            failure_domain = &*settings.failure_domain,
            platform:% = settings.platform;
            "VM is starting"
        );
        let daemon = Rc::new(Daemon::start_with_edges(settings, edges).await?);
        // The parent process expects the addresses on the first line of standard output.
        println!("{}", serde_json::to_string(daemon.addresses())?);
        buffered.start_writing()?;
        let reloads = actix_rt::spawn(reload_on_change(raw, daemon.clone()));
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = daemon.drain_requested() => {}
        }
        daemon.drain().await;
        reloads.abort();
        tokio::time::sleep(LOG_FLUSH_TIME).await;
        Ok(())
    })
}
