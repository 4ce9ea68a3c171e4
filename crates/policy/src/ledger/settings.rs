//! Settings of the ledger.

use std::time::Duration;

/// How claims are mapped to objects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimMode {
    /// Keys share segments; the claims of a segment are committed as a group.
    Grouped,
    /// One object per key, as a baseline for comparison: without group commit, and the objects are
    /// never pruned.
    PerRequestObject,
}

/// Settings of the ledger; window, skew and segments must be the same on every VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedgerSettings {
    /// How claims are mapped to objects.
    pub mode: ClaimMode,
    /// Number of segments that the keys are distributed over.
    pub segments: u64,
    /// Maximum size of a segment's body, in bytes.
    pub max_segment_bytes: usize,
    /// Maximum size of a result kept for repeated requests, in bytes of JSON text; a longer result
    /// is dropped, and the request is recorded as done without it.
    pub max_result_bytes: usize,
    /// Time after its issue for which a key is accepted.
    pub window: Duration,
    /// Maximum difference between the clocks of two VMs, or of a caller and a VM.
    pub clock_skew: Duration,
    /// Minimum time between two writes of a segment; changes made meanwhile share the next write.
    pub commit_interval: Duration,
    /// Number of tracked segments above which a segment without pending requests is dropped; a
    /// segment that stays cached saves a read.
    pub cached_segments: usize,
    /// Wait before the platform is called again after a failure.
    pub backoff: Duration,
    /// Time after which a refused caller should retry.
    pub retry_after: Duration,
    /// Seed that makes claim tokens unique; must differ at every start of every VM.
    pub token_seed: u64,
}

impl Default for LedgerSettings {
    fn default() -> LedgerSettings {
        LedgerSettings {
            mode: ClaimMode::Grouped,
            segments: 64,
            max_segment_bytes: 900_000,
            max_result_bytes: 256,
            window: Duration::from_secs(600),
            clock_skew: Duration::from_secs(30),
            commit_interval: Duration::from_millis(20),
            cached_segments: 8,
            backoff: Duration::from_millis(200),
            retry_after: Duration::from_secs(1),
            token_seed: 0,
        }
    }
}
