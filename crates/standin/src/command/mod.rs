//! Command line of `oleanderwind-standin`.

mod options;
mod run;
mod source;

pub use options::StandinCommand;
pub use run::ListenAddresses;
pub use run::run;
pub use source::SettingsSource;
