//! Settings that may change while the process runs.

use std::cell::RefCell;
use std::rc::Rc;

use crate::settings::DaemonSettings;

/// The settings in force, shared by all services.
#[derive(Clone)]
pub(crate) struct LiveSettings {
    current: Rc<RefCell<Rc<DaemonSettings>>>,
}

/// What a change of the settings came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct SettingsChange {
    /// Settings that are in force with their new value, as `name=value`.
    pub(crate) applied: Vec<String>,
    /// Settings that keep their old value until the process starts again.
    pub(crate) deferred: Vec<String>,
}

impl LiveSettings {
    /// The settings that the process starts with.
    pub(crate) fn new(settings: DaemonSettings) -> LiveSettings {
        LiveSettings { current: Rc::new(RefCell::new(Rc::new(settings))) }
    }

    /// The settings in force.
    pub(crate) fn get(&self) -> Rc<DaemonSettings> {
        self.current.borrow().clone()
    }

    /// Puts in force what may change while the process runs.
    pub(crate) fn change(&self, wanted: &DaemonSettings) -> SettingsChange {
        let held = self.get();
        let merged = DaemonSettings {
            address_keep: wanted.address_keep,
            leave_notice: wanted.leave_notice,
            drain_patience: wanted.drain_patience,
            stop_grace: wanted.stop_grace,
            extra_permille: wanted.extra_permille,
            extra_slack: wanted.extra_slack,
            log_level: wanted.log_level,
            ..(*held).clone()
        };
        let change = SettingsChange {
            applied: changed_lines(&held, &merged),
            deferred: changed_lines(&merged, wanted),
        };
        self.current.replace(Rc::new(merged));
        change
    }
}

/// The printed settings of `after` that differ from those of `before`.
fn changed_lines(before: &DaemonSettings, after: &DaemonSettings) -> Vec<String> {
    let (before, after) = (before.to_string(), after.to_string());
    let pairs = before.lines().zip(after.lines());
    pairs.filter(|(old, new)| old != new).map(|(_, new)| new.to_owned()).collect()
}
