//! A daemon as a process: settings, logs, signals and exit codes.

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
use crate::process::reload::follow_settings;
use crate::start_logging;

/// Exit code for bad settings.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Time for the last lines of the log to be written; a line takes microseconds.
const LAST_LINES_TIME: Duration = Duration::from_millis(30);
/// Exit code when the daemon could not run.
const EXIT_NOT_RUN: u8 = 3;

/// Runs a daemon on `edges` until SIGTERM or SIGINT, then drains it.
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
            return ExitCode::from(EXIT_BAD_SETTINGS);
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
            eprintln!("the daemon could not run: {error:#}");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}

/// Serves until a signal or an operator ends it.
fn serve(raw: RawSettings, settings: DaemonSettings, edges: DaemonEdges) -> eyre::Result<()> {
    let buffered = start_logging(&settings.vm, settings.log_level)?;
    actix_rt::System::new().block_on(async move {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        log::info!(
            release = env!("CARGO_PKG_VERSION"),
            failure_domain = &*settings.failure_domain,
            platform:% = settings.platform;
            "the VM starts"
        );
        let daemon = Rc::new(Daemon::start_with_edges(settings, edges).await?);
        // Whoever started the process reads the addresses first.
        println!("{}", serde_json::to_string(daemon.addresses())?);
        buffered.start_writing()?;
        let following = actix_rt::spawn(follow_settings(raw, daemon.clone()));
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = daemon.drain_requested() => {}
        }
        daemon.drain().await;
        following.abort();
        tokio::time::sleep(LAST_LINES_TIME).await;
        Ok(())
    })
}
