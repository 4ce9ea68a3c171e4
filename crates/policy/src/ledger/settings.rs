//! How the ledger groups, bounds and prunes.

use std::time::Duration;

/// Which object holds a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ClaimMode {
    /// Keys share segments; claims of a segment are committed together.
    Grouped,
    /// One object a key, as a baseline: no grouping, and nothing prunes the objects.
    PerRequestObject,
}

/// The ledger's settings; window, skew and segments must be the same on every VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LedgerSettings {
    /// Which object holds a claim.
    pub mode: ClaimMode,
    /// How many segments the keys are spread over.
    pub segments: u64,
    /// Largest body of a segment, in bytes.
    pub max_segment_bytes: usize,
    /// Longest result kept for repeats, in bytes of JSON text; a longer one is recorded as done
    /// without it.
    pub max_result_bytes: usize,
    /// How long after its issue a key is accepted.
    pub window: Duration,
    /// Largest difference between the clocks of two VMs, or of a caller and a VM.
    pub clock_skew: Duration,
    /// Least time between two writes of one segment, in which changes gather.
    pub commit_interval: Duration,
    /// Segments remembered, beyond those at work, to save a read.
    pub cached_segments: usize,
    /// Wait before the platform is tried again.
    pub backoff: Duration,
    /// When a refused caller should come back.
    pub retry_after: Duration,
    /// Makes tokens unique; must differ at every start of every VM.
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
