//! Pace of the calls that wait for changes.

use std::time::Duration;

use crate::ObjectKind;
use crate::news::position::WatchPosition;

/// Time that the platform may take to answer a call whose wait is over, or that does not wait.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Time to list everything after a call that got no answer.
const LIST_TIME: Duration = Duration::from_millis(400);
/// Shortest period of the calls of one VM.
const MIN_PERIOD: Duration = Duration::from_millis(250);
/// Longest wait of a call, if the platform's history is not known.
const MAX_HOLD: Duration = Duration::from_secs(25);
/// Maximum part of the platform's history for which a call may wait. A call that outlasts the
/// history is refused at its end if objects of other kinds have changed, and costs new lists.
const HISTORY_PART: f64 = 0.75;

/// Decides how long the platform may hold the calls of watches open.
///
/// A call that was lost on the platform's side looks like a call that waits. Only its end tells. So
/// the calls of all watch holders end in turn, by the time of day: among `n` holders a call about
/// each kind ends once in the n-th part of the period, and what one VM hears then reaches the others
/// as gossip. The period is as long as the limit for a change allows with that many VMs, so that a
/// fleet makes as many calls as a lone VM does.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
///
/// use oleanderwind_policy::{ObjectKind, WatchPace, WatchPosition};
///
/// let pace = WatchPace::new(Duration::from_secs(3), Some(Duration::from_secs(20)));
/// assert_eq!(pace.period(ObjectKind::Routes, 1), Duration::from_millis(1_600));
/// assert_eq!(pace.period(ObjectKind::Routes, 7), Duration::from_millis(13_600));
/// assert_eq!(pace.period(ObjectKind::Routes, 14), Duration::from_secs(15));
/// let first = WatchPosition { rank: 0, holders: 7 };
/// let hold = pace.hold(ObjectKind::Routes, first, Duration::from_secs(13));
/// assert_eq!(hold, Duration::from_millis(600));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchPace {
    change_limit: Duration,
    max_hold: Duration,
}

impl WatchPace {
    /// Creates a pace for changes that have to take effect within `change_limit`, on a platform that
    /// keeps its changes for `history` if that is known.
    pub fn new(change_limit: Duration, history: Option<Duration>) -> WatchPace {
        let within_history = history.map_or(MAX_HOLD, |history| history.mul_f64(HISTORY_PART));
        WatchPace { change_limit, max_hold: within_history.min(MAX_HOLD) }
    }

    /// Returns the time between the ends of two calls of one VM about a kind that bring no changes.
    pub fn period(&self, kind: ObjectKind, holders: usize) -> Duration {
        match kind.has_change_limit() {
            true => self.limited_period(holders),
            false => self.max_hold,
        }
    }

    fn limited_period(&self, holders: usize) -> Duration {
        let interval = self.change_limit.saturating_sub(ANSWER_TIME);
        let turns = u32::try_from(holders.max(1)).unwrap_or(u32::MAX);
        let period = interval.saturating_mul(turns).saturating_sub(LIST_TIME);
        period.max(MIN_PERIOD).min(self.max_hold)
    }

    /// Returns how long the platform may hold a call about a kind open that begins at `time_of_day`,
    /// counted from any fixed moment.
    pub fn hold(
        &self,
        kind: ObjectKind,
        position: WatchPosition,
        time_of_day: Duration,
    ) -> Duration {
        Self::time_to_turn(self.period(kind, position.holders), position, time_of_day)
    }

    /// Returns how long the platform may hold a call about evacuations open, which have to take effect within a limit.
    pub fn evacuation_hold(&self, position: WatchPosition, time_of_day: Duration) -> Duration {
        Self::time_to_turn(self.limited_period(position.holders), position, time_of_day)
    }

    fn time_to_turn(period: Duration, position: WatchPosition, time_of_day: Duration) -> Duration {
        let period = period.as_millis().max(1);
        let holders = u128::try_from(position.holders.max(1)).unwrap_or(1);
        let turn = period * u128::try_from(position.rank).unwrap_or(0) / holders;
        let elapsed = (time_of_day.as_millis() + period - turn % period) % period;
        Duration::from_millis(u64::try_from(period - elapsed).unwrap_or(u64::MAX))
    }

    /// Returns the age of the last word at which the calls of a lone VM count as lost.
    pub fn lone_silence_limit(&self) -> Duration {
        self.limited_period(1) + ANSWER_TIME
    }
}
