//! Merging the records of several shards.

use bytes::Bytes;
use bytes::BytesMut;

/// Length of one record, in bytes.
pub const RECORD_BYTES: usize = 16;

/// Returns the `record_limit` greatest records of all parts, in descending byte order.
///
/// Duplicate records are kept. Trailing bytes shorter than a record are ignored.
///
/// # Examples
///
/// ```
/// use bytes::Bytes;
/// use oleanderwind_policy::merge_records;
///
/// let part = Bytes::from_static(b"aaaaaaaaaaaaaaaabbbbbbbbbbbbbbbbrest");
/// assert_eq!(merge_records(&[part], 1), "bbbbbbbbbbbbbbbb");
/// ```
pub fn merge_records(parts: &[Bytes], record_limit: usize) -> Bytes {
    let records = parts.iter().flat_map(|part| part.chunks_exact(RECORD_BYTES));
    let mut records: Vec<&[u8]> = records.collect();
    let kept = record_limit.min(records.len());
    if kept < records.len() {
        records.select_nth_unstable_by(kept, |left, right| right.cmp(left));
        records.truncate(kept);
    }
    records.sort_unstable_by(|left, right| right.cmp(left));
    let mut merged = BytesMut::with_capacity(records.len() * RECORD_BYTES);
    records.into_iter().for_each(|record| merged.extend_from_slice(record));
    merged.freeze()
}
