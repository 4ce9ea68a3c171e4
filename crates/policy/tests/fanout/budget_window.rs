//! Extra calls in a sliding window.

use std::time::Duration;

/// Window in which extra calls are bounded.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// A call, in thousandths.
pub(crate) const CALL: i64 = 1_000;

/// The most extra calls beyond their share in any window, rounded up.
///
/// Each event is its time and how much it adds in thousandths of a call: [`CALL`] for an extra call,
/// less than nothing for what earns a share.
pub(crate) fn worst_excess(mut events: Vec<(Duration, i64)>) -> i64 {
    events.sort_unstable();
    let mut worst = 0;
    for (index, (begin, _)) in events.iter().enumerate() {
        let mut excess = 0;
        for (at, change) in &events[index..] {
            if *at > *begin + BUDGET_WINDOW {
                break;
            }
            excess += change;
            worst = worst.max(excess);
        }
    }
    (worst + CALL - 1) / CALL
}
