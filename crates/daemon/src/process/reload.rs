//! Reloading of the settings while the process runs.

use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::DaemonSettings;
use crate::RawSettings;
use crate::daemon::Daemon;

/// Interval at which the settings file is checked, as it may change without a signal.
const FILE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings on SIGHUP and when the settings file changes.
///
/// Returns only if the handler for SIGHUP can't be installed.
pub(crate) async fn reload_on_change(raw: RawSettings, daemon: Rc<Daemon>) -> eyre::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut previous = read_file(&raw);
    loop {
        let is_by_signal = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(FILE_POLL_INTERVAL) => false,
        };
        let current = read_file(&raw);
        if is_by_signal || current != previous {
            reload(&raw, &daemon, is_by_signal);
        }
        previous = current;
    }
}

/// Returns the text of the settings file, or `None` if it can't be read. The reload that follows
/// reports the error.
fn read_file(raw: &RawSettings) -> Option<String> {
    raw.settings_file.as_ref().and_then(|path| std::fs::read_to_string(path).ok())
}

fn reload(raw: &RawSettings, daemon: &Daemon, is_by_signal: bool) {
    let settings = raw.with_file().and_then(|raw| DaemonSettings::try_from(&raw));
    match settings {
        Ok(settings) => {
            let change = daemon.change_settings(&settings);
            log::info!(
                by_signal = is_by_signal,
                applied:serde = change.applied,
                after_restart:serde = change.deferred;
                "settings reloaded"
            );
        }
        Err(findings) => {
            log::error!(
                by_signal = is_by_signal,
                findings:% = findings;
                "invalid settings; the previous settings stay in force"
            );
        }
    }
}
