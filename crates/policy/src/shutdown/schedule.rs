//! Division of the time that a planned stop may take.

use std::time::Duration;

/// Minimum and maximum part of a grace period that is kept for the last message to peers and the exit of the process.
const EXIT_TIME_RANGE: (Duration, Duration) =
    (Duration::from_millis(450), Duration::from_millis(700));
/// That part of a grace period between them, as a divisor.
const EXIT_TIME_DIVISOR: u32 = 8;
/// Maximum part of a stop that is kept for writing the replies to requests that still run.
const MAX_REPLY_TIME: Duration = Duration::from_millis(200);
/// That part of a short stop, as a divisor.
const REPLY_TIME_DIVISOR: u32 = 10;
/// Part of a grace period in which connections are still accepted.
const NOTICE_FRACTION: f64 = 0.6;

/// Division of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Time for which connections are still accepted, as callers and peers learn only by and by that the VM leaves.
    pub notice: Duration,
    /// Time after the notice for which requests may be open.
    pub patience: Duration,
}

impl ShutdownSchedule {
    /// Divides a grace period, at whose end the process is killed.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    ///
    /// use oleanderwind_policy::ShutdownSchedule;
    ///
    /// let schedule = ShutdownSchedule::of_grace(Duration::from_secs(6));
    /// assert_eq!(schedule.notice, Duration::from_millis(3_180));
    /// assert_eq!(schedule.run_time(), Duration::from_millis(5_100));
    /// ```
    pub fn of_grace(grace: Duration) -> ShutdownSchedule {
        let (least, most) = EXIT_TIME_RANGE;
        let usable = grace.saturating_sub((grace / EXIT_TIME_DIVISOR).clamp(least, most));
        let notice = usable.mul_f64(NOTICE_FRACTION);
        ShutdownSchedule { notice, patience: usable.saturating_sub(notice) }
    }

    /// Returns the time after which requests that still run are cut, from the start of the stop.
    pub fn run_time(&self) -> Duration {
        self.notice + self.patience - self.reply_time()
    }

    /// Returns the time that is kept for writing the replies to requests that are cut.
    pub fn reply_time(&self) -> Duration {
        MAX_REPLY_TIME.min((self.notice + self.patience) / REPLY_TIME_DIVISOR)
    }
}
