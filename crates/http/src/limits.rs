//! Bounds of a listener.

use std::time::Duration;

/// Bounds that keep one bad peer from harming the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpLimits {
    /// Connections served at once; one more is closed at once.
    pub max_connections: usize,
    /// Longest body in bytes; a longer one gets 413.
    pub max_body_bytes: usize,
    /// Longest time from the first byte of a head to its last; then the connection is closed
    /// with 408.
    pub head_timeout: Duration,
    /// Longest time to read a body; then 408.
    pub body_timeout: Duration,
    /// How long an idle connection is kept.
    pub keep_alive: Duration,
}

impl Default for HttpLimits {
    fn default() -> HttpLimits {
        HttpLimits {
            max_connections: 4_096,
            max_body_bytes: 64 * 1_024,
            head_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(5),
            keep_alive: Duration::from_secs(75),
        }
    }
}
