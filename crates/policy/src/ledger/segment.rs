//! The body of a segment's object.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ProviderId;

/// Names one claim; drawn once and never used again.
pub type ClaimToken = u64;

/// Room for an entry besides its provider and result, in bytes of JSON.
const ENTRY_BYTES: usize = 96;
/// Room for a provider's name, in bytes of JSON.
const PROVIDER_BYTES: usize = 64;

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub enum EntryState {
    /// Claimed, and perhaps dispatched.
    #[serde(rename = "c")]
    Claimed(ClaimToken),
    /// Ran.
    #[serde(rename = "d")]
    Done {
        /// The provider whose target ran it.
        #[serde(rename = "p")]
        provider: ProviderId,
        /// The result, unless it was too long to keep.
        #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
        result: Option<String>,
    },
    /// Certainly did not run, and no try up to this attempt ever will.
    #[serde(rename = "n")]
    NotRun(u32),
}

/// The entry of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerEntry {
    /// When the key was issued, in milliseconds since 1970.
    #[serde(rename = "i")]
    pub issued_ms: u64,
    /// What is known of it.
    #[serde(rename = "s")]
    pub state: EntryState,
}

/// The keys of one segment, by the hash of customer and key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerSegment {
    /// Entries by hash in hexadecimal.
    #[serde(rename = "e")]
    pub entries: BTreeMap<String, LedgerEntry>,
}

impl LedgerSegment {
    /// The state of a key.
    pub(crate) fn state(&self, entry_name: &str) -> Option<&EntryState> {
        self.entries.get(entry_name).map(|entry| &entry.state)
    }

    /// Drops entries issued before a time in milliseconds.
    pub(crate) fn prune(&mut self, oldest_ms: u64) {
        self.entries.retain(|_, entry| entry.issued_ms >= oldest_ms);
    }

    /// Bytes of JSON kept free for a claim until its outcome is recorded.
    pub(crate) fn claim_bytes(max_result_bytes: usize) -> usize {
        ENTRY_BYTES + PROVIDER_BYTES + max_result_bytes
    }

    /// Bytes of JSON that the segment may come to once every claim has its longest result.
    pub(crate) fn reserved_bytes(&self, max_result_bytes: usize) -> usize {
        let entry_bytes = |entry: &LedgerEntry| match &entry.state {
            EntryState::Claimed(_) => Self::claim_bytes(max_result_bytes),
            EntryState::Done { provider, result } => {
                ENTRY_BYTES + json_bytes(provider) + result.as_deref().map_or(0, json_bytes)
            }
            EntryState::NotRun(_) => ENTRY_BYTES,
        };
        self.entries.values().map(entry_bytes).sum()
    }
}

/// Length of a text as JSON.
pub(crate) fn json_bytes(text: &str) -> usize {
    serde_json::to_string(text).map_or(usize::MAX, |json| json.len())
}
