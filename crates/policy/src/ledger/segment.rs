//! Body of a segment's object.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::ProviderId;

/// Identifier of one claim, generated once and never reused.
pub type ClaimToken = u64;

/// Space reserved for an entry apart from its provider and result, in bytes of JSON.
const ENTRY_BYTES: usize = 96;
/// Space reserved for a provider's name, in bytes of JSON.
const PROVIDER_BYTES: usize = 64;

/// State of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub enum EntryState {
    /// A VM claimed the key and may have dispatched the request.
    #[serde(rename = "c")]
    Claimed(ClaimToken),
    /// The request ran.
    #[serde(rename = "d")]
    Done {
        /// Provider of the target that ran it.
        #[serde(rename = "p")]
        provider: ProviderId,
        /// Result, unless it was too long to keep.
        #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
        result: Option<String>,
    },
    /// The request did not run, and no attempt up to this number will ever run.
    #[serde(rename = "n")]
    NotRun(u32),
}

/// Entry of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerEntry {
    /// Issue time of the key, in milliseconds since 1970.
    #[serde(rename = "i")]
    pub issued_ms: u64,
    /// State of the key.
    #[serde(rename = "s")]
    pub state: EntryState,
}

/// Entries of one segment, by the hash of customer and key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerSegment {
    /// Entries by the hexadecimal hash of customer and key.
    #[serde(rename = "e")]
    pub entries: BTreeMap<String, LedgerEntry>,
}

impl LedgerSegment {
    /// Returns the state of a key.
    pub(crate) fn state(&self, entry_name: &str) -> Option<&EntryState> {
        self.entries.get(entry_name).map(|entry| &entry.state)
    }

    /// Removes entries whose key was issued before `oldest_ms`, in milliseconds since 1970.
    pub(crate) fn prune(&mut self, oldest_ms: u64) {
        self.entries.retain(|_, entry| entry.issued_ms >= oldest_ms);
    }

    /// Returns the space reserved for a claim until its outcome is recorded, in bytes of JSON.
    pub(crate) fn claim_bytes(max_result_bytes: usize) -> usize {
        ENTRY_BYTES + PROVIDER_BYTES + max_result_bytes
    }

    /// Returns the space that the segment needs if every claim ends with a result of the maximum
    /// size, in bytes of JSON.
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

/// Returns the length of a text as a JSON string, in bytes.
pub(crate) fn json_bytes(text: &str) -> usize {
    serde_json::to_string(text).map_or(usize::MAX, |json| json.len())
}
