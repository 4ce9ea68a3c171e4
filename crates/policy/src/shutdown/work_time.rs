//! Time that the requests of one route took of late.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of requests that are remembered.
const MAX_SAMPLES: usize = 64;

/// Times of the newest requests of a route.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkTimeTracker {
    times: VecDeque<Duration>,
}

impl WorkTimeTracker {
    /// Records how long a request took.
    pub(crate) fn record(&mut self, time: Duration) {
        if self.times.len() == MAX_SAMPLES {
            self.times.pop_front();
        }
        self.times.push_back(time);
    }

    /// Returns the time within which all but `slow_permille` of the remembered requests ended; `None` if there are none.
    pub(crate) fn bound(&self, slow_permille: usize) -> Option<Duration> {
        let mut times: Vec<Duration> = self.times.iter().copied().collect();
        times.sort_unstable();
        let slower = times.len() * slow_permille / 1_000;
        times.len().checked_sub(slower + 1).map(|last| times[last])
    }
}
