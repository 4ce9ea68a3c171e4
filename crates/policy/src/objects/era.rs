//! Revisions of a store that may come back from a copy.
//!
//! A store that is restored from a copy has forgotten its latest changes and gives their revisions
//! out again. It counts its eras: each restore begins a new one. [`Revision`] orders the objects of
//! all eras: by era, then by the store's own revision, then an object that the store has at that
//! revision before one that VMs have carried over it.
//!
//! In era 0 a revision is the store's own number. Later eras use the upper bits for the era and the
//! lowest bit for the mark of carried objects.

use crate::Revision;

/// Number of a store's era, below 2^24; 0 for a store that was never restored or does not count.
pub type Era = u32;

/// Position of the era within a revision, in bits. The 39 bits left to the store's own revision last
/// for five years at 3,200 writes a second.
const ERA_SHIFT: u32 = 40;
/// Number of eras after which their numbers begin again.
const ERA_COUNT: u64 = 1 << (u64::BITS - ERA_SHIFT);
/// Bits of the store's own revision after era 0, with the mark below them.
const REVISION_NUMBER_BITS: u64 = (1 << (ERA_SHIFT - 1)) - 1;

/// Returns the era with the number that the store counts.
pub fn era_from_count(count: u64) -> Era {
    u32::try_from(count % ERA_COUNT).unwrap_or(0)
}

/// Returns the revision that the store gave as `revision_number` in `era`.
///
/// # Examples
///
/// ```
/// use oleanderwind_policy::{revision_in_era, revision_number};
///
/// assert_eq!(revision_in_era(0, 41), 41);
/// assert!(revision_in_era(2, 7) > revision_in_era(1, 900));
/// assert_eq!(revision_number(revision_in_era(2, 7)), 7);
/// ```
pub fn revision_in_era(era: Era, revision_number: u64) -> Revision {
    match era {
        0 => revision_number,
        era => u64::from(era) << ERA_SHIFT | (revision_number & REVISION_NUMBER_BITS) << 1,
    }
}

/// Returns the era of a revision.
pub fn era_of(revision: Revision) -> Era {
    u32::try_from(revision >> ERA_SHIFT).unwrap_or(Era::MAX)
}

/// Returns the number that the store gave for a revision.
pub fn revision_number(revision: Revision) -> u64 {
    match era_of(revision) {
        0 => revision,
        _ => revision >> 1 & REVISION_NUMBER_BITS,
    }
}

/// Returns the revision of an object that VMs carry over the one that the store has at `revision`.
pub(crate) fn carried(revision: Revision) -> Revision {
    match era_of(revision) {
        0 => revision,
        _ => revision | 1,
    }
}

/// Returns whether VMs carried an object of this revision over from an earlier era.
pub(crate) fn is_carried(revision: Revision) -> bool {
    era_of(revision) > 0 && revision & 1 == 1
}
