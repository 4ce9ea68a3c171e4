//! Membership: which VMs exist, combined from three sources that may disagree.
//!
//! [`MemberTable`] combines the platform's list, which lags, the records that VMs publish of
//! themselves and peers gossip, and the departure that a leaving VM announces.
//! [`MembershipEngine`] probes one peer per period in a random round and piggybacks updates on the
//! probes, after A. Das, I. Gupta and A. Motivala, "SWIM: Scalable Weakly-consistent
//! Infection-style Process Group Membership Protocol" (DSN 2002). A suspicion only moves a VM to
//! the back of address answers; nothing that keeps requests safe depends on it.

mod engine;
mod member;
mod message;
mod settings;
mod table;
mod update_queue;

pub use engine::MembershipAction;
pub use engine::MembershipEngine;
pub use member::MemberPhase;
pub use member::MemberRecord;
pub use member::MemberState;
pub use member::PlatformVm;
pub use message::ExchangeMessage;
pub use message::ObjectSummary;
pub use settings::MembershipSettings;
pub use settings::ProbePlan;
pub use table::MemberTable;
