//! Settings that can change while the process runs.

use std::cell::RefCell;
use std::rc::Rc;

use crate::settings::DaemonSettings;

/// The settings in force, shared by all services.
#[derive(Clone)]
pub(crate) struct LiveSettings {
    current: Rc<RefCell<Rc<DaemonSettings>>>,
}

/// The result of a change of settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct SettingsChange {
    /// Settings whose new value is in force, as `name=value`.
    pub(crate) applied: Vec<String>,
    /// Settings whose new value takes effect after a restart, as `name=value`.
    pub(crate) deferred: Vec<String>,
}

impl LiveSettings {
    /// Returns live settings with the initial values.
    pub(crate) fn new(settings: DaemonSettings) -> LiveSettings {
        LiveSettings { current: Rc::new(RefCell::new(Rc::new(settings))) }
    }

    /// Returns the settings in force.
    pub(crate) fn get(&self) -> Rc<DaemonSettings> {
        self.current.borrow().clone()
    }

    /// Applies the settings that can change while the process runs, and defers the others.
    pub(crate) fn apply(&self, wanted: &DaemonSettings) -> SettingsChange {
        let current = self.get();
        let merged = DaemonSettings {
            address_keep: wanted.address_keep,
            leave_notice: wanted.leave_notice,
            drain_patience: wanted.drain_patience,
            stop_grace: wanted.stop_grace,
            extra_permille: wanted.extra_permille,
            extra_slack: wanted.extra_slack,
            log_level: wanted.log_level,
            ..(*current).clone()
        };
        let change = SettingsChange {
            applied: changed_lines(&current, &merged),
            deferred: changed_lines(&merged, wanted),
        };
        self.current.replace(Rc::new(merged));
        change
    }
}

/// Returns the lines of `after` that differ from those of `before`, both printed by `Display`.
fn changed_lines(before: &DaemonSettings, after: &DaemonSettings) -> Vec<String> {
    let (before, after) = (before.to_string(), after.to_string());
    let pairs = before.lines().zip(after.lines());
    pairs.filter(|(old, new)| old != new).map(|(_, new)| new.to_owned()).collect()
}
