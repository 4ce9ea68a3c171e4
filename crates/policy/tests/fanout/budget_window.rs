//! Computes how far extra calls exceed their budget in a sliding window.

use std::time::Duration;

/// Length of the window in which extra calls are bounded.
const BUDGET_WINDOW: Duration = Duration::from_secs(10);
/// One call, in thousandths.
pub(crate) const CALL_PERMILLE: i64 = 1_000;

/// Returns the largest number of extra calls beyond their budget in any window, rounded up.
///
/// Each event is a time and a change in thousandths of a call: [`CALL_PERMILLE`] for an extra call,
/// a negative amount for a call that earns budget.
pub(crate) fn max_window_excess(mut events: Vec<(Duration, i64)>) -> i64 {
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
    (worst + CALL_PERMILLE - 1) / CALL_PERMILLE
}
