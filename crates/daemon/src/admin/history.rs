//! The history of a contract, kept in its own object.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use oleanderwind_policy::FieldDifference;
use oleanderwind_wire::HistoryEntry;
use oleanderwind_wire::ObjectDocument;
use oleanderwind_wire::ObjectMetadata;

/// Annotation that holds the history as JSON.
const HISTORY_ANNOTATION: &str = "oleanderwind/history";
/// Edits that the history keeps.
const HISTORY_LENGTH: usize = 16;

/// The entries of an object, newest first.
pub(crate) fn read_history(object: &ObjectDocument) -> Vec<HistoryEntry> {
    object
        .metadata
        .annotations
        .get(HISTORY_ANNOTATION)
        .and_then(|text| serde_json::from_str(text).ok())
        .unwrap_or_default()
}

/// Writes `history` with a new entry in front into the metadata.
pub(crate) fn write_history(
    metadata: &mut ObjectMetadata,
    mut history: Vec<HistoryEntry>,
    entry: HistoryEntry,
) {
    history.insert(0, entry);
    history.truncate(HISTORY_LENGTH);
    let text = serde_json::to_string(&history).unwrap_or_default();
    metadata.annotations.insert(HISTORY_ANNOTATION.to_owned(), text);
}

/// An entry for an edit made now.
pub(crate) fn new_entry(
    token: &str,
    operator: &str,
    differences: Vec<FieldDifference>,
) -> HistoryEntry {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    HistoryEntry {
        token: token.to_owned(),
        at_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
        operator: operator.to_owned(),
        differences,
    }
}
