//! Limits of a listener.

use std::time::Duration;

/// Limits that keep a misbehaving client from affecting others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Maximum number of open connections. At the limit, a new connection replaces an idle one or
    /// the slowest sender or reader, or is closed if all wait for this process.
    pub max_connections: usize,
    /// Maximum length of a request head as sent, in bytes. A longer one is refused with 431.
    pub max_head_bytes: usize,
    /// Maximum length of a request body, in bytes. A longer one is refused with 413.
    pub max_body_bytes: usize,
    /// Maximum time from the first to the last byte of a request head; then the connection is
    /// closed with 408.
    pub head_timeout: Duration,
    /// Maximum time to read a body; then the request is refused with 408.
    pub body_timeout: Duration,
    /// Time for which an idle connection is kept open.
    pub keep_alive: Duration,
}

impl Default for HttpLimits {
    fn default() -> HttpLimits {
        HttpLimits {
            max_connections: 4_096,
            max_head_bytes: 64 * 1_024,
            max_body_bytes: 64 * 1_024,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(5),
            keep_alive: Duration::from_secs(75),
        }
    }
}
