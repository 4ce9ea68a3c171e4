//! Settings of the daemon: flags over environment, checked together.

mod checked;
mod live;
mod raw;

pub use checked::DaemonSettings;
pub(crate) use live::LiveSettings;
pub(crate) use live::SettingsChange;
pub use raw::RawSettings;
