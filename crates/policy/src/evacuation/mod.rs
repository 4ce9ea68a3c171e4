//! Evacuations: failure domains whose targets get no new calls until the operator takes that back.
//!
//! Each VM holds the latest record of each failure domain ([`EvacuationTable`]), from the platform or from peers. Every
//! heartbeat carries the records, and a change is passed on at once. Records are ordered by the revision of the
//! platform's store, so the order of messages does not matter.

mod record;
mod table;

pub use record::EvacuationRecord;
pub use table::EvacuationTable;
pub use table::FailureDomainRevision;
