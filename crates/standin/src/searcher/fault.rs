//! Faults of a searcher.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use oleanderwind_policy::LoadReport;
use serde::Deserialize;
use serde::Serialize;

/// A whole, in thousandths.
const WHOLE_PERMILLE: u64 = 1_000;

/// What is wrong with a reply; the call itself runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReplyFault {
    /// The connection is closed instead of a reply.
    LostByClose,
    /// The connection goes silent instead of a reply.
    LostBySilence,
    /// The body breaks off half-way and the connection is closed.
    ClosedMidReply,
    /// The reply is another call's: its id and its hits.
    CrossedAnswer,
    /// The reply comes from another snapshot and names it.
    WrongSnapshot,
    /// The reply covers half of the shard and says so.
    HalfAnswer,
}

/// A fault of a searcher, in force until [`SearcherFault::Clear`] unless it says otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum SearcherFault {
    /// Each run takes longer by a fixed time.
    Delay {
        /// Additional time, in milliseconds.
        extra_ms: u64,
    },
    /// Each run takes a multiple of its time.
    Stretch {
        /// Multiple, in thousandths.
        factor_permille: u64,
    },
    /// Accepts calls and answers none of them until the fault ends.
    Freeze,
    /// Refuses every search and execute call.
    Shed,
    /// The connections that are open now go silent for good; new ones work.
    SilenceConnections,
    /// Spoils replies.
    SpoilReplies {
        /// What is wrong with them.
        reply: ReplyFault,
        /// Number of replies.
        count: u64,
    },
    /// Runs execute calls twice.
    DuplicateRuns {
        /// Number of calls.
        count: u64,
    },
    /// Gives the in-band drain sign at once; the target's object follows.
    Drain {
        /// Lag of the target's object, in milliseconds.
        object_lag_ms: u64,
    },
    /// Takes work again after a drain.
    Undrain,
    /// Runs are slow for a while.
    ColdStart {
        /// How long, in milliseconds.
        slow_ms: u64,
        /// Multiple of the service time meanwhile, in thousandths.
        factor_permille: u64,
    },
    /// Closes the port and every connection.
    Down,
    /// Listens again on the same port.
    Up,
    /// `GET /v1/health` says this whatever is true.
    MisleadHealth {
        /// What it says.
        well: bool,
    },
    /// `GET /v1/load` says this whatever is true.
    MisleadLoad {
        /// Calls that run, as told.
        busy: u32,
        /// Calls that wait, as told.
        queued: u32,
    },
    /// Ends every fault of the searcher but down and drain.
    Clear,
}

/// Faults in force.
#[derive(Debug, Default)]
pub(crate) struct FaultState {
    extra: Duration,
    factor_permille: Option<u64>,
    cold: Option<(Instant, u64)>,
    pub(crate) frozen: bool,
    pub(crate) shedding: bool,
    pub(crate) draining: bool,
    pub(crate) drained_at: Option<Instant>,
    pub(crate) told_health: Option<bool>,
    pub(crate) told_load: Option<LoadReport>,
    replies: VecDeque<(ReplyFault, u64)>,
    duplicates: u64,
}

impl FaultState {
    /// Puts a fault in force; what concerns the port or the platform is done by the caller.
    pub(crate) fn apply(&mut self, fault: SearcherFault, slots: u32, now: Instant) {
        match fault {
            SearcherFault::Delay { extra_ms } => self.extra = Duration::from_millis(extra_ms),
            SearcherFault::Stretch { factor_permille } => {
                self.factor_permille = Some(factor_permille);
            }
            SearcherFault::Freeze => self.frozen = true,
            SearcherFault::Shed => self.shedding = true,
            SearcherFault::SpoilReplies { reply, count } => self.replies.push_back((reply, count)),
            SearcherFault::DuplicateRuns { count } => self.duplicates = count,
            SearcherFault::Drain { .. } => {
                self.draining = true;
                self.drained_at = Some(now);
            }
            SearcherFault::Undrain => {
                self.draining = false;
                self.drained_at = None;
            }
            SearcherFault::ColdStart { slow_ms, factor_permille } => {
                self.cold = Some((now + Duration::from_millis(slow_ms), factor_permille));
            }
            SearcherFault::MisleadHealth { well } => self.told_health = Some(well),
            SearcherFault::MisleadLoad { busy, queued } => {
                self.told_load = Some(LoadReport { busy, queued, slots });
            }
            SearcherFault::Clear => self.clear(),
            SearcherFault::SilenceConnections | SearcherFault::Down | SearcherFault::Up => {}
        }
    }

    /// Ends every fault but a drain.
    fn clear(&mut self) {
        let draining = self.draining;
        let drained_at = self.drained_at;
        *self = FaultState { draining, drained_at, ..FaultState::default() };
    }

    /// How long a run takes that would take `base`.
    pub(crate) fn stretched(&self, base: Duration, now: Instant) -> Duration {
        let factor = self.factor_permille.unwrap_or(WHOLE_PERMILLE);
        let cold = self.cold.filter(|(until, _)| now < *until);
        let cold_factor = cold.map_or(WHOLE_PERMILLE, |(_, factor)| factor);
        let permille = factor.saturating_mul(cold_factor) / WHOLE_PERMILLE;
        let micros = u64::try_from(base.as_micros()).unwrap_or(u64::MAX);
        self.extra + Duration::from_micros(micros.saturating_mul(permille) / WHOLE_PERMILLE)
    }

    /// What is wrong with the next reply.
    pub(crate) fn take_reply_fault(&mut self) -> Option<ReplyFault> {
        while let Some((reply, left)) = self.replies.front_mut() {
            if *left > 0 {
                *left -= 1;
                return Some(*reply);
            }
            self.replies.pop_front();
        }
        None
    }

    /// Whether the next execute call runs twice.
    pub(crate) fn take_duplicate(&mut self) -> bool {
        let duplicate = self.duplicates > 0;
        self.duplicates = self.duplicates.saturating_sub(1);
        duplicate
    }
}
