//! Wall-clock time and durations in milliseconds.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the wall-clock time in milliseconds since the epoch.
pub(crate) fn epoch_milliseconds() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// Returns a duration in whole milliseconds, rounded down.
pub(crate) fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
