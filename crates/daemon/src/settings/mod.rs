//! Settings of the daemon, from flags, the environment and a settings file.

mod checked;
mod live;
mod raw;

pub use checked::DaemonSettings;
pub(crate) use live::LiveSettings;
pub(crate) use live::SettingsChange;
pub use raw::RawSettings;
