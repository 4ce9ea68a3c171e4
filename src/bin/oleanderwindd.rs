//! The daemon of every VM.

use std::process::ExitCode;

use oleanderwind::Daemon;
use oleanderwind::DaemonSettings;
use oleanderwind::RawSettings;
use oleanderwind::start_logging;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Exit code for bad settings.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Exit code when the daemon could not run.
const EXIT_NOT_RUN: u8 = 3;

fn main() -> ExitCode {
    let raw: RawSettings = argh::from_env();
    let raw = raw.with_environment(|name| std::env::var(name).ok());
    let settings = match DaemonSettings::try_from(&raw) {
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
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("oleanderwindd could not run: {error:#}");
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}

/// Serves until SIGTERM or SIGINT, then drains.
fn run(settings: DaemonSettings) -> eyre::Result<()> {
    start_logging(&settings.vm, settings.log_level)?;
    actix_rt::System::new().block_on(async move {
        let mut terminate = signal(SignalKind::terminate())?;
        let mut interrupt = signal(SignalKind::interrupt())?;
        let daemon = Daemon::start(settings).await?;
        println!("{}", serde_json::to_string(daemon.addresses())?);
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
            () = daemon.drain_requested() => {}
        }
        daemon.drain().await;
        Ok(())
    })
}
