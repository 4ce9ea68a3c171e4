//! The history of a contract, kept in its own object.

use oleanderwind_policy::FieldDifference;
use oleanderwind_wire::HistoryEntry;
use oleanderwind_wire::ObjectDocument;
use oleanderwind_wire::ObjectMetadata;

use crate::time::epoch_milliseconds;

/// Annotation that holds the history as JSON.
const HISTORY_ANNOTATION: &str = "oleanderwind/history";
/// Maximum number of entries in the history.
const MAX_HISTORY_ENTRIES: usize = 16;

/// Returns the history entries of an object, newest first.
pub(crate) fn read_history(object: &ObjectDocument) -> Vec<HistoryEntry> {
    object
        .metadata
        .annotations
        .get(HISTORY_ANNOTATION)
        .and_then(|text| serde_json::from_str(text).ok())
        .unwrap_or_default()
}

/// Returns the time of an object's last edit, in milliseconds since the epoch.
pub(crate) fn last_edit_ms(object: &ObjectDocument) -> Option<u64> {
    read_history(object).first().map(|entry| entry.at_ms)
}

/// Writes `history`, with a new entry in front, to the annotations of the object.
pub(crate) fn write_history(
    metadata: &mut ObjectMetadata,
    mut history: Vec<HistoryEntry>,
    entry: HistoryEntry,
) {
    history.insert(0, entry);
    history.truncate(MAX_HISTORY_ENTRIES);
    let text = serde_json::to_string(&history).unwrap_or_default();
    metadata.annotations.insert(HISTORY_ANNOTATION.to_owned(), text);
}

/// Returns an entry for an edit made now.
pub(crate) fn new_entry(
    token: &str,
    operator: &str,
    differences: Vec<FieldDifference>,
) -> HistoryEntry {
    HistoryEntry {
        token: token.to_owned(),
        at_ms: epoch_milliseconds(),
        operator: operator.to_owned(),
        differences,
    }
}
