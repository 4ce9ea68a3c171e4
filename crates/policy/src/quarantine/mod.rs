//! Recognition of requests that end the targets that run them.

mod fingerprint;

pub use fingerprint::WorkFingerprint;
