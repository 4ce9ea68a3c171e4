//! At-most-once execution: a non-idempotent request is claimed in the platform before it is
//! dispatched.
//!
//! An idempotency key hashes to a segment, which is one object of kind `ledger` in the Object API.
//! A claim is a conditional update of that object, and the object's revision is the only fencing
//! token. There is no lease: a claim is never taken away from the VM that made it. A VM that was
//! paused and resumes either still holds its claim or fails to update the object.
//!
//! # State transitions of an entry
//!
//! | from | to | by whom |
//! |---|---|---|
//! | absent, `NotRun(n)` with n < attempt | `Claimed(token)` | any VM |
//! | `Claimed(token)` | `Done` | the VM that holds the token, after the target's reply |
//! | `Claimed(token)` | `NotRun(attempt)` | the VM that holds the token, once it can't dispatch |
//! | absent, `NotRun(n)` with n < attempt | `NotRun(attempt)` | a VM that abandoned its own claim |
//! | any | absent | any VM, once the key is older than the window plus the clock skew |
//!
//! Each attempt under a key carries an attempt number, which the caller counts up from 1.
//! `NotRun(n)` closes every attempt up to n. So an earlier attempt on a paused VM can't claim the
//! key after a caller was told `not run`. A refusal that is not recorded says `not run` only when
//! every earlier attempt is known to be closed (attempt 1 has none); otherwise it says `unknown`.
//!
//! A segment's object must never be deleted by hand, because an absent object means that no key
//! was claimed. A body that can't be parsed counts as a failed read, so requests for its keys are
//! refused.
//!
//! # Lost replies
//!
//! A write with base revision r takes effect only while the object is at revision r. So a claim in
//! doubt is resolved by the first body seen at a later revision: either that body holds the
//! claim's token, or the claim will never take effect. While the object stays at r, another write
//! at r resolves it.
//!
//! # Clocks
//!
//! The clocks of two VMs may differ by up to [`LedgerSettings::clock_skew`]. A key is refused once
//! its age exceeds the window, but an entry is pruned only once its age exceeds the window plus the
//! skew. So no VM accepts a key whose entry another VM has pruned.
//!
//! # Capacity
//!
//! These figures are calculated.
//!
//! Writes: claims and the outcomes of earlier requests share writes. With g claims in a group that
//! is 1/g writes per request under load, and 2/g when claims and outcomes don't coincide. At 300
//! writes/s the limit is 150 g to 300 g requests/s. One object per request, with claim and outcome
//! written apart, is limited to 150 requests/s. For g to grow, keys of one segment must reach the
//! same VM, so the front should prefer one VM per segment, as a hint.
//!
//! Size: the test `segment_entry_bytes` prints 86 bytes for a claim, 125 for an outcome with a
//! result of 40 bytes and 67 for `not run`. A segment counts an outcome as 96 bytes plus its
//! provider and its result: 144 here. So 6,250 outcomes fit in 900,000 bytes, and 400,000 in the
//! default 64 segments. Entries are kept for 630 s (window 600 s, skew 30 s), which allows 634
//! requests/s. With results of the maximum kept size, 256 bytes, it is 255 requests/s.
//!
//! Bytes: each write carries its whole segment. At 20 requests/s a segment holds about 197 entries,
//! or 25 KB. At the size limit each write carries close to 0.9 MB. More segments make writes
//! smaller, but also make groups smaller.

mod action;
mod answer;
mod cause;
mod commit;
mod completion;
mod deadlines;
mod engine;
mod event;
mod key;
mod request;
mod segment;
mod settings;

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
