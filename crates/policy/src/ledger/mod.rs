//! At most once: requests that may not be repeated, claimed in the platform before dispatch.
//!
//! A key hashes to a segment, one object of kind `ledger` in the Object API. The claim is a
//! conditional update of that object; its revision is the only fence. There is no lease: a claim
//! is never taken from its claimer, so a VM that was paused and wakes either still holds its
//! claim or loses its update.
//!
//! # Transitions of an entry
//!
//! | from | to | by whom |
//! |---|---|---|
//! | absent, `NotRun(n)` with n < attempt | `Claimed(token)` | any VM |
//! | `Claimed(token)` | `Done` | the VM that holds the token, after the reply |
//! | `Claimed(token)` | `NotRun(attempt)` | the VM that holds the token, once it can't dispatch |
//! | absent, `NotRun(n)` with n < attempt | `NotRun(attempt)` | a VM that gave its own claim up |
//! | any | absent | any VM, past the window and the skew |
//!
//! Each try of a key carries an attempt number that the caller counts up from 1. `NotRun(n)` says
//! that every try up to n is dead, so an earlier try on a paused VM can't claim after a caller
//! was told `not run`. A refusal that is not recorded says `not run` only when every earlier
//! attempt is known dead (attempt 1 has none); else it says `unknown`.
//!
//! A segment's object must never be deleted by hand: absent means that no key was claimed. A
//! body that can't be parsed counts as a failed read, so its keys are refused.
//!
//! # Lost replies
//!
//! A write at base revision r lands only while the object is at r. So an uncertain claim is
//! settled by the first body seen at a later revision: it holds the claim's token or the claim
//! will never land. While the object stays at r, another write at r settles it.
//!
//! # Clocks
//!
//! VMs' clocks may differ from each other by [`LedgerSettings::clock_skew`]. A key is refused
//! when its age passes the window and an entry is pruned only past window and skew, so no VM
//! accepts a key whose entry another VM has pruned.
//!
//! # Capacity, by arithmetic
//!
//! Writes: with g claims in a group, claims and earlier outcomes ride the same writes: 1/g writes
//! a request when busy, 2/g when they don't meet. At 300 writes/s the ceiling is 150 g to 300 g
//! requests/s; one object a request (claim and outcome apart) ends at 150. Keys of one segment
//! must meet on one VM for g to grow, so the front should prefer one VM a segment, as a hint.
//!
//! Size: `segment_entry_bytes` prints 86 bytes for a claim, 125 for an outcome with a result of
//! 40 bytes and 67 for `not run`. A segment counts an outcome as 96 bytes, its provider and its
//! result: 144 here, so 6,250 fit in 900,000 bytes, 400,000 in the default 64 segments, and over
//! the 630 s that entries are kept (window 600 s, skew 30 s) that is 634 requests/s. With results
//! of the longest kept size, 256 bytes, it is 255 requests/s.
//!
//! Bytes: a write carries its whole segment. At 20 requests/s a segment holds about 197 entries,
//! 25 KB; at the size ceiling every write carries close to 0.9 MB. More segments make writes
//! smaller and groups too.

mod action;
mod answer;
mod cause;
mod deadlines;
mod ends;
mod engine;
mod event;
mod key;
mod request;
mod segment;
mod settings;
mod settle;

pub use action::LedgerAction;
pub use cause::LedgerCause;
pub use engine::LedgerEngine;
pub use event::ExecuteOutcome;
pub use event::LedgerEvent;
pub use key::LedgerKey;
pub use key::LedgerKeyError;
pub use key::SegmentId;
pub use request::LedgerRequest;
pub use request::LedgerRequestId;
pub use segment::ClaimToken;
pub use segment::EntryState;
pub use segment::LedgerEntry;
pub use segment::LedgerSegment;
pub use settings::ClaimMode;
pub use settings::LedgerSettings;
