//! Faults that can be injected into a searcher.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::LoadReport;
use serde::Deserialize;
use serde::Serialize;

/// Factor of 1, in thousandths.
const FULL_PERMILLE: u64 = 1_000;

/// Fault of a single reply; the call itself runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplyFault {
    /// The connection is closed without a reply.
    LostByClose,
    /// The connection goes silent without a reply.
    LostBySilence,
    /// The connection is closed after the first bytes of the body.
    ClosedMidReply,
    /// The reply carries the id, and for a search the hits, of another call.
    CrossedAnswer,
    /// The reply comes from the next index version and names it.
    WrongSnapshot,
    /// The reply covers half of the documents of the shard and reports that number.
    HalfAnswer,
}

/// Fault of a searcher.
///
/// Unless its variant states otherwise, a fault lasts until [`SearcherFault::Clear`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum SearcherFault {
    /// Adds a fixed time to each service time.
    Delay {
        /// Added time in milliseconds.
        extra_ms: u64,
    },
    /// Multiplies each service time.
    Stretch {
        /// Factor in thousandths.
        factor_permille: u64,
    },
    /// Accepts calls but handles none of them until the fault ends.
    Freeze,
    /// Refuses every search and execute call, as if overloaded.
    Shed,
    /// All open connections go silent permanently; new connections work.
    SilenceConnections,
    /// Injects a fault into the next replies; several such orders take effect one after the other.
    SpoilReplies {
        /// Fault of each reply.
        reply: ReplyFault,
        /// Number of replies affected.
        count: u64,
    },
    /// Executes the next execute calls twice.
    DuplicateRuns {
        /// Number of calls affected.
        count: u64,
    },
    /// Starts a drain: replies signal it at once, the target's object follows after a lag.
    Drain {
        /// Lag of the target's object in milliseconds.
        object_lag_ms: u64,
    },
    /// Ends a drain.
    Undrain,
    /// Multiplies each service time for a limited time.
    ColdStart {
        /// Duration of the cold start in milliseconds.
        slow_ms: u64,
        /// Factor in thousandths.
        factor_permille: u64,
    },
    /// Closes the port and every connection, until [`SearcherFault::Up`].
    Down,
    /// Listens on the same port again.
    Up,
    /// `GET /v1/health` reports this state regardless of the actual one.
    MisleadHealth {
        /// Whether the searcher is reported as healthy.
        well: bool,
    },
    /// `GET /v1/load` reports this load regardless of the actual one.
    MisleadLoad {
        /// Reported number of running calls.
        busy: u32,
        /// Reported number of queued calls.
        queued: u32,
    },
    /// Ends every fault except [`SearcherFault::Down`], a drain, and the silence of connections.
    Clear,
}

/// Faults currently in effect.
#[derive(Debug, Default)]
pub(crate) struct FaultState {
    extra_time: Duration,
    factor_permille: Option<u64>,
    cold_start: Option<(Instant, u64)>,
    pub(crate) frozen: bool,
    pub(crate) shedding: bool,
    pub(crate) draining: bool,
    pub(crate) drained_at: Option<Instant>,
    pub(crate) health_override: Option<bool>,
    pub(crate) load_override: Option<LoadReport>,
    reply_faults: VecDeque<(ReplyFault, u64)>,
    duplicate_runs: u64,
}

impl FaultState {
    /// Applies a fault; its effects on the port, on connections and on the target's object are left
    /// to the caller.
    pub(crate) fn apply(&mut self, fault: SearcherFault, slots: u32, now: Instant) {
        match fault {
            SearcherFault::Delay { extra_ms } => self.extra_time = Duration::from_millis(extra_ms),
            SearcherFault::Stretch { factor_permille } => {
                self.factor_permille = Some(factor_permille);
            }
            SearcherFault::Freeze => self.frozen = true,
            SearcherFault::Shed => self.shedding = true,
            SearcherFault::SpoilReplies { reply, count } => {
                self.reply_faults.push_back((reply, count));
            }
            SearcherFault::DuplicateRuns { count } => self.duplicate_runs = count,
            SearcherFault::Drain { .. } => {
                self.draining = true;
                self.drained_at = Some(now);
            }
            SearcherFault::Undrain => {
                self.draining = false;
                self.drained_at = None;
            }
            SearcherFault::ColdStart { slow_ms, factor_permille } => {
                self.cold_start = Some((now + Duration::from_millis(slow_ms), factor_permille));
            }
            SearcherFault::MisleadHealth { well } => self.health_override = Some(well),
            SearcherFault::MisleadLoad { busy, queued } => {
                self.load_override = Some(LoadReport { busy, queued, slots, pace_percent: 0 });
            }
            SearcherFault::Clear => self.clear(),
            SearcherFault::SilenceConnections | SearcherFault::Down | SearcherFault::Up => {}
        }
    }

    /// Ends every fault except a drain.
    fn clear(&mut self) {
        let draining = self.draining;
        let drained_at = self.drained_at;
        *self = FaultState { draining, drained_at, ..FaultState::default() };
    }

    /// Returns the duration of a run whose sampled service time is `base`.
    pub(crate) fn run_time(&self, base: Duration, now: Instant) -> Duration {
        let factor = self.factor_permille.unwrap_or(FULL_PERMILLE);
        let cold = self.cold_start.filter(|(until, _)| now < *until);
        let cold_factor = cold.map_or(FULL_PERMILLE, |(_, factor)| factor);
        let permille = factor.saturating_mul(cold_factor) / FULL_PERMILLE;
        let micros = u64::try_from(base.as_micros()).unwrap_or(u64::MAX);
        self.extra_time + Duration::from_micros(micros.saturating_mul(permille) / FULL_PERMILLE)
    }

    /// Returns the fault of the next reply, if any, and counts it as injected.
    pub(crate) fn take_reply_fault(&mut self) -> Option<ReplyFault> {
        while let Some((reply, left)) = self.reply_faults.front_mut() {
            if *left > 0 {
                *left -= 1;
                return Some(*reply);
            }
            self.reply_faults.pop_front();
        }
        None
    }

    /// Returns whether the current execute call is to run twice, and counts it as injected.
    pub(crate) fn take_duplicate_run(&mut self) -> bool {
        let duplicate = self.duplicate_runs > 0;
        self.duplicate_runs = self.duplicate_runs.saturating_sub(1);
        duplicate
    }
}
