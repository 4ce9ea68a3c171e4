//! Settings of the daemon: flags over environment, checked together.

mod checked;
mod raw;

pub use checked::DaemonSettings;
pub use raw::RawSettings;
