//! One fake target: a service-time table and a slot count.

use std::collections::VecDeque;
use std::time::Duration;

use oleanderwind_policy::CallId;
use oleanderwind_policy::LoadReport;
use oleanderwind_policy::RefusalCause;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::fake_fleet::ms;

/// Service times in hundredths of a target's base time; one entry is drawn a call.
const SERVICE_PERCENT: [u32; 20] =
    [60, 70, 75, 80, 85, 90, 90, 95, 100, 100, 100, 105, 110, 110, 120, 130, 140, 160, 200, 300];

/// What a fake target does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    Serve,
    Silent,
    Fail,
    /// Can't be connected to.
    Unreachable,
    Refuse(RefusalCause),
    /// Covers only this many documents.
    Half(u64),
}

/// A target with its slots and its queue.
pub(crate) struct FakeTarget {
    pub(crate) behaviour: Behaviour,
    pub(crate) base: Duration,
    /// One call in a thousand of these takes ten times as long.
    pub(crate) straggle_permille: u32,
    /// Of a thousand calls, so many are refused although there is room.
    pub(crate) shed_permille: u32,
    pub(crate) queue_limit: usize,
    pub(crate) reported: Option<LoadReport>,
    pub(crate) draining: bool,
    pub(crate) received: u32,
    pub(crate) open: u32,
    pub(crate) slots: u32,
    pub(crate) running: Vec<CallId>,
    pub(crate) queue: VecDeque<CallId>,
}

impl FakeTarget {
    /// Serves from two slots in some 10 ms.
    pub(crate) fn new() -> FakeTarget {
        FakeTarget {
            straggle_permille: 0,
            shed_permille: 0,
            behaviour: Behaviour::Serve,
            base: ms(10),
            queue_limit: 8,
            reported: None,
            draining: false,
            received: 0,
            open: 0,
            slots: 2,
            running: Vec::new(),
            queue: VecDeque::new(),
        }
    }

    /// A service time from the table.
    pub(crate) fn service_time(&self, generator: &mut Pcg64Mcg) -> Duration {
        let percent = SERVICE_PERCENT[generator.random_range(0..SERVICE_PERCENT.len())];
        let is_straggler = generator.random_range(0..1_000) < self.straggle_permille;
        self.base * percent / 100 * if is_straggler { 10 } else { 1 }
    }

    /// The load that it tells, true or not.
    pub(crate) fn load(&self) -> LoadReport {
        self.reported.unwrap_or(LoadReport {
            busy: self.running.len() as u32,
            queued: self.queue.len() as u32,
            slots: self.slots,
        })
    }
}
