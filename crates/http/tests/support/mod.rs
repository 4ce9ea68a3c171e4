//! Settings that tests of the client share.

use std::time::Duration;

use oleanderwind_http::ClientSettings;

/// Maximum length of a body in these tests, in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 64 * 1_024;
pub(crate) const SETTINGS: ClientSettings = ClientSettings {
    connect_timeout: Duration::from_secs(1),
    unacknowledged_timeout: Duration::from_secs(5),
    keepalive_interval: None,
    max_body_bytes: MAX_BODY_BYTES,
};
