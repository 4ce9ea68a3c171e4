//! A simulated target with a service-time distribution and a number of slots.

use std::collections::VecDeque;
use std::time::Duration;

use oleanderwind_policy::CallId;
use oleanderwind_policy::LoadReport;
use oleanderwind_policy::RefusalCause;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::fake_fleet::ms;

/// Service times in percent of a target's base time. One entry is drawn for each call.
const SERVICE_PERCENT: [u32; 20] =
    [60, 70, 75, 80, 85, 90, 90, 95, 100, 100, 100, 105, 110, 110, 120, 130, 140, 160, 200, 300];

/// How a simulated target treats calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    Serve,
    /// Accepts calls and never answers them.
    Silent,
    Fail,
    /// Refuses connections, so that nothing of a call is sent.
    Unreachable,
    Refuse(RefusalCause),
    /// Answers with only this many documents covered.
    Partial(u64),
}

/// A simulated target with its slots and queue.
pub(crate) struct FakeTarget {
    pub(crate) behaviour: Behaviour,
    pub(crate) base_time: Duration,
    /// Fraction of calls that take ten times as long, in thousandths.
    pub(crate) straggler_permille: u32,
    /// Fraction of calls that are shed although there is room, in thousandths.
    pub(crate) shed_permille: u32,
    pub(crate) queue_limit: usize,
    /// Load to report instead of the true one.
    pub(crate) reported_load: Option<LoadReport>,
    pub(crate) draining: bool,
    pub(crate) received: u32,
    pub(crate) open: u32,
    pub(crate) slots: u32,
    pub(crate) running: Vec<CallId>,
    pub(crate) queue: VecDeque<CallId>,
}

impl FakeTarget {
    /// Returns a target with two slots and a service time of about 10 ms.
    pub(crate) fn new() -> FakeTarget {
        FakeTarget {
            straggler_permille: 0,
            shed_permille: 0,
            behaviour: Behaviour::Serve,
            base_time: ms(10),
            queue_limit: 8,
            reported_load: None,
            draining: false,
            received: 0,
            open: 0,
            slots: 2,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// Draws a service time.
    pub(crate) fn service_time(&self, rng: &mut Pcg64Mcg) -> Duration {
        let percent = SERVICE_PERCENT[rng.random_range(0..SERVICE_PERCENT.len())];
        let is_straggler = rng.random_range(0..1_000) < self.straggler_permille;
        self.base_time * percent / 100 * if is_straggler { 10 } else { 1 }
    }

    /// Returns the load that the target reports, which may be false.
    pub(crate) fn load(&self) -> LoadReport {
        self.reported_load.unwrap_or(LoadReport {
            busy: self.running.len() as u32,
            queued: self.queue.len() as u32,
            slots: self.slots,
            pace_percent: 0,
        })
    }
}
