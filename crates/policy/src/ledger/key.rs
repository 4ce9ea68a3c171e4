//! Idempotency keys.

use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_128;

use crate::CustomerId;
use crate::IdempotencyKey;

/// Number of a segment, from which its object's name is derived.
pub type SegmentId = u64;

/// Maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 128;
/// Latest accepted issue time, in milliseconds since 1970 (the year 9999).
const MAX_ISSUED_MS: u64 = 253_402_300_799_000;

/// Validated idempotency key: `{issue time in ms since 1970}-{caller's random part}`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LedgerKey {
    text: IdempotencyKey,
    issued_ms: u64,
}

/// Reason that a text is not a valid key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LedgerKeyError {
    /// The text is empty or longer than 128 bytes.
    Length,
    /// The text does not start with milliseconds since 1970 and `-`.
    IssueTime,
    /// The part after the issue time is empty or has a character other than `a-z`, `A-Z`, `0-9`,
    /// `-` and `_`.
    RandomPart,
}

impl LedgerKey {
    /// Returns the key as the caller sent it.
    pub fn text(&self) -> &IdempotencyKey {
        &self.text
    }

    /// Returns the time at which the caller issued the key, in milliseconds since 1970.
    pub fn issued_ms(&self) -> u64 {
        self.issued_ms
    }

    /// Returns the name of the key's entry in its segment.
    ///
    /// The name doesn't depend on the provider, so it stays the same when a customer's contract
    /// moves to another provider.
    pub(crate) fn entry_name(&self, customer: &CustomerId) -> String {
        format!("{:032x}", xxh3_128(&self.identity(customer)))
    }

    /// Returns a hash of customer and key, which selects the segment and the provider.
    pub(crate) fn hash(&self, customer: &CustomerId) -> u64 {
        xxh3_64(&self.identity(customer))
    }

    fn identity(&self, customer: &CustomerId) -> Vec<u8> {
        [customer.as_bytes(), &[0], self.text.as_bytes()].concat()
    }
}

impl TryFrom<&str> for LedgerKey {
    type Error = LedgerKeyError;

    fn try_from(text: &str) -> Result<LedgerKey, LedgerKeyError> {
        if text.is_empty() || text.len() > MAX_KEY_BYTES {
            return Err(LedgerKeyError::Length);
        }
        let (issued, random) = text.split_once('-').ok_or(LedgerKeyError::IssueTime)?;
        let issued_ms: u64 = issued.parse().map_err(|_| LedgerKeyError::IssueTime)?;
        if issued_ms > MAX_ISSUED_MS {
            return Err(LedgerKeyError::IssueTime);
        }
        let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
        if random.is_empty() || !random.bytes().all(is_allowed) {
            return Err(LedgerKeyError::RandomPart);
        }
        Ok(LedgerKey { text: text.into(), issued_ms })
    }
}

/// Readings of the monotonic clock and the wall clock of a VM at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClockReading {
    pub(crate) now: Instant,
    pub(crate) wall: SystemTime,
}

/// Returns milliseconds since 1970, or 0 for an earlier time.
pub(crate) fn wall_ms(wall: SystemTime) -> u64 {
    millis(wall.duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default())
}

/// Returns a duration in whole milliseconds, saturating at the maximum.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
