//! Settings read again while the process runs.

use std::rc::Rc;
use std::time::Duration;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::DaemonSettings;
use crate::RawSettings;
use crate::daemon::Daemon;

/// How often the settings file is looked at, as it may change without a signal.
const FILE_POLL: Duration = Duration::from_secs(2);

/// Reads the settings again on SIGHUP and whenever the file has changed; never returns.
pub(crate) async fn follow_settings(raw: RawSettings, daemon: Rc<Daemon>) -> eyre::Result<()> {
    let mut hangup = signal(SignalKind::hangup())?;
    let mut seen = read_file(&raw);
    loop {
        let is_asked = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(FILE_POLL) => false,
        };
        let found = read_file(&raw);
        if is_asked || found != seen {
            reload(&raw, &daemon, is_asked);
        }
        seen = found;
    }
}

/// The file's text; a file that can't be read is reported by the reload that follows.
fn read_file(raw: &RawSettings) -> Option<String> {
    raw.settings_file.as_ref().and_then(|path| std::fs::read_to_string(path).ok())
}

fn reload(raw: &RawSettings, daemon: &Daemon, is_asked: bool) {
    let settings = raw.with_file().and_then(|raw| DaemonSettings::try_from(&raw));
    match settings {
        Ok(settings) => {
            let change = daemon.change_settings(&settings);
            log::info!(
                by_signal = is_asked,
                applied:serde = change.applied,
                after_restart:serde = change.deferred;
                "settings were read again"
            );
        }
        Err(findings) => {
            log::error!(
                by_signal = is_asked,
                findings:% = findings;
                "settings are wrong; the old ones stay in force"
            );
        }
    }
}
